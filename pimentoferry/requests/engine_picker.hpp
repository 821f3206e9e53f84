/// Choice of engines without the cell owner.
///
/// While the owner is silent, an entry takes the better of two random engines
/// by their last known free places less its own attempts there. The numbers
/// are old; an engine that is full after all refuses with 429.
///
///     engine_picker picker{seed};
///     picker.update(known); // an engines_updated event
///     picker.pick(cell, engine_role::decode, lost, own_load);
#ifndef PIMENTOFERRY_REQUESTS_ENGINE_PICKER_HPP
#define PIMENTOFERRY_REQUESTS_ENGINE_PICKER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/requests/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace pimentoferry::requests {

enum class engine_role : std::uint8_t { prefill, decode };

/// Attempts of this entry at each engine.
using engine_load = std::map<base::upstream_name, std::uint32_t>;

class engine_picker {
public:
    explicit engine_picker(std::uint64_t seed) : random_(seed) {}

    /// Replaces what is known of the cell.
    void update(const engines_updated& e);

    /// The better of two random engines of the role that are not in
    /// `excluded`; nothing when there is none.
    std::optional<base::upstream_name>
    pick(const base::cell_name& cell,
         engine_role role,
         const std::vector<base::upstream_name>& excluded,
         const engine_load& local_load);

private:
    std::map<base::cell_name, std::vector<engine_candidate>> cells_;
    std::mt19937_64 random_;
};

} // namespace pimentoferry::requests

#endif
