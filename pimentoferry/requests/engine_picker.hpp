/// Selects engines without the cell owner.
///
/// While the owner is unresponsive, an entry takes the better of two random
/// engines by their last reported free slots less its own attempts there. The
/// reports may be outdated; an engine that is full refuses with HTTP 429.
///
///     engine_picker picker{seed};
///     picker.update(engines); // an engines_updated event
///     picker.pick(cell, engine_role::decode, failed, local_load);
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

/// Number of attempts of this entry per engine.
using engine_load = std::map<base::upstream_name, std::uint32_t>;

class engine_picker {
public:
    explicit engine_picker(std::uint64_t seed) : random_(seed) {}

    /// Replaces the engines of a cell.
    void update(const engines_updated& e);

    /// The better of two random engines of the role that are not in `excluded`;
    /// empty when there is none.
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
