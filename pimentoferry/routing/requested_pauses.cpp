#include "pimentoferry/routing/requested_pauses.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::routing {

bool requested_pauses::note(const instance& asking,
                            base::milliseconds duration,
                            base::time_point now) {
    if (duration <= base::milliseconds{0}) {
        return false;
    }
    const bool begins = !paused(asking, now);
    auto& known = pauses_[asking.id_];
    const auto until = now + std::min(duration, longest_pause);
    known.until_ = begins ? until : std::max(known.until_, until);
    known.started_at_ms_ = asking.started_at_ms_;
    return begins;
}

bool requested_pauses::paused(const instance& candidate,
                              base::time_point now) const {
    const auto found = pauses_.find(candidate.id_);
    return found != pauses_.end() && found->second.until_ > now &&
           found->second.started_at_ms_ == candidate.started_at_ms_;
}

std::optional<base::milliseconds>
requested_pauses::wait_for_any(const std::vector<const instance*>& candidates,
                               base::time_point now) const {
    if (candidates.empty() ||
        !std::ranges::all_of(candidates, [&](const instance* each) {
            return paused(*each, now);
        })) {
        return std::nullopt;
    }
    const auto end_of = [this](const instance* each) {
        return pauses_.at(each->id_).until_;
    };
    const auto* first = *std::ranges::min_element(candidates, {}, end_of);
    return std::chrono::ceil<base::milliseconds>(end_of(first) - now);
}

std::vector<base::upstream_name>
requested_pauses::expire(base::time_point now) {
    std::vector<base::upstream_name> ended;
    std::erase_if(pauses_, [&](const auto& entry) {
        const bool over = entry.second.until_ <= now;
        if (over) {
            ended.push_back(entry.first);
        }
        return over;
    });
    return ended;
}

} // namespace pimentoferry::routing
