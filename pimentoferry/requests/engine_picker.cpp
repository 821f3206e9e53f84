#include "pimentoferry/requests/engine_picker.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests {

namespace {

std::int64_t headroom(const engine_candidate& candidate,
                      const engine_load& own) {
    const auto load = own.find(candidate.engine_);
    const std::int64_t used = load == own.end() ? 0 : load->second;
    return std::int64_t{candidate.free_decode_slots_} - used;
}

} // namespace

void engine_picker::update(const engines_updated& known) {
    if (known.engines_.empty()) {
        cells_.erase(known.cell_);
        return;
    }
    cells_[known.cell_] = known.engines_;
}

std::optional<base::upstream_name>
engine_picker::pick(const base::cell_name& cell,
                    engine_role role,
                    const std::vector<base::upstream_name>& excluded,
                    const engine_load& own) {
    const auto found = cells_.find(cell);
    if (found == cells_.end()) {
        return std::nullopt;
    }
    std::vector<const engine_candidate*> usable;
    for (const engine_candidate& candidate : found->second) {
        const bool decode = role == engine_role::decode;
        if (candidate.decode_ == decode &&
            std::ranges::find(excluded, candidate.engine_) == excluded.end()) {
            usable.push_back(&candidate);
        }
    }
    if (usable.empty()) {
        return std::nullopt;
    }
    const std::size_t first = random_() % usable.size();
    std::size_t second = first;
    if (usable.size() > 1) {
        second = (first + 1 + random_() % (usable.size() - 1)) % usable.size();
    }
    const bool second_better =
        headroom(*usable[second], own) > headroom(*usable[first], own);
    return usable[second_better ? second : first]->engine_;
}

} // namespace pimentoferry::requests
