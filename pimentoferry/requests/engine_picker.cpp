#include "pimentoferry/requests/engine_picker.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests {

namespace {

std::int64_t headroom(const engine_candidate& candidate,
                      const engine_load& local_load) {
    const auto load = local_load.find(candidate.engine_);
    const std::int64_t used = load == local_load.end() ? 0 : load->second;
    return std::int64_t{candidate.free_decode_slots_} - used;
}

} // namespace

void engine_picker::update(const engines_updated& e) {
    if (e.engines_.empty()) {
        cells_.erase(e.cell_);
        return;
    }
    cells_[e.cell_] = e.engines_;
}

std::optional<base::upstream_name>
engine_picker::pick(const base::cell_name& cell,
                    engine_role role,
                    const std::vector<base::upstream_name>& excluded,
                    const engine_load& local_load) {
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
    const bool second_better = headroom(*usable[second], local_load) >
                               headroom(*usable[first], local_load);
    return usable[second_better ? second : first]->engine_;
}

} // namespace pimentoferry::requests
