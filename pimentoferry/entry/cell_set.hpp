/// The cells that this entry schedules.
#ifndef PIMENTOFERRY_ENTRY_CELL_SET_HPP
#define PIMENTOFERRY_ENTRY_CELL_SET_HPP

#include "pimentoferry/entry/cell_standin.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/placement/messages.hpp"

#include <optional>

namespace pimentoferry::entry {

class cell_set {
public:
    std::optional<placement::to_entry>
    handle(const snapshot& state,
           const base::cell_name& cell,
           const placement::to_owner& message) {
        return standin_.answer(state, cell, message);
    }

private:
    cell_standin standin_;
};

} // namespace pimentoferry::entry

#endif
