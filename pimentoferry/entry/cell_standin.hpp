/// Temporary stand-in for the library `placement`: grants at once, in turn.
#ifndef PIMENTOFERRY_ENTRY_CELL_STANDIN_HPP
#define PIMENTOFERRY_ENTRY_CELL_STANDIN_HPP

#include "pimentoferry/config/state.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/placement/messages.hpp"

#include <cstddef>
#include <optional>

namespace pimentoferry::entry {

class cell_standin {
public:
    std::optional<placement::to_entry>
    answer(const snapshot& state,
           const base::cell_name& cell,
           const placement::to_owner& message);

private:
    base::upstream_name next(const snapshot& state,
                             const base::cell_name& cell,
                             config::engine_role role);

    std::size_t turn_{0};
};

} // namespace pimentoferry::entry

#endif
