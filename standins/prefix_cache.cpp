#include "standins/prefix_cache.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// A reader that is further behind than this sees a gap.
constexpr std::size_t max_events = 10'000;

} // namespace

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& hashes) {
    std::size_t count = 0;
    for (const auto hash : hashes) {
        const auto found = blocks_.find(hash);
        if (found == blocks_.end()) {
            break;
        }
        order_.splice(order_.end(), order_, found->second);
        ++count;
    }
    return count;
}

void prefix_cache::add(const std::vector<std::uint64_t>& hashes,
                       std::int64_t room,
                       time_point now) {
    for (const auto hash : hashes) {
        if (!blocks_.contains(hash) && room > 0) {
            trim(room - 1, now);
            blocks_[hash] = order_.insert(order_.end(), hash);
            report(hash, true, now);
        }
    }
    trim(room, now);
}

void prefix_cache::trim(std::int64_t room, time_point now) {
    while (!order_.empty() && size() > room) {
        const auto oldest = order_.front();
        order_.pop_front();
        blocks_.erase(oldest);
        report(oldest, false, now);
    }
}

void prefix_cache::report(std::uint64_t prefix, bool added, time_point now) {
    ++last_event_;
    const bool lost =
        gap_ > 0 && last_event_ % static_cast<std::uint64_t>(gap_) == 0;
    if (lost) {
        return;
    }
    events_.push_back({last_event_, prefix, added, now});
    if (events_.size() > max_events) {
        events_.pop_front();
    }
}

std::vector<cache_event> prefix_cache::events(std::uint64_t after,
                                              milliseconds lag,
                                              time_point now) const {
    std::vector<cache_event> result;
    std::ranges::copy_if(
        events_, std::back_inserter(result), [&](const cache_event& event) {
            return event.sequence_ > after && event.at_ + lag <= now;
        });
    return result;
}

} // namespace pimentoferry::standins
