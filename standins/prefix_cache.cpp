#include "standins/prefix_cache.hpp"

#include <algorithm>

namespace pimentoferry::standins {
namespace {

// Number of events kept; a reader that is further behind sees a gap.
constexpr std::size_t max_events = 10'000;

} // namespace

std::size_t prefix_cache::match(const std::vector<std::uint64_t>& hashes) {
    std::size_t count = 0;
    for (const auto hash : hashes) {
        const auto found = blocks_.find(hash);
        if (found == blocks_.end()) {
            break;
        }
        lru_order_.splice(lru_order_.end(), lru_order_, found->second);
        ++count;
    }
    return count;
}

void prefix_cache::add(const std::vector<std::uint64_t>& hashes,
                       std::int64_t max_blocks,
                       time_point now) {
    for (const auto hash : hashes) {
        if (!blocks_.contains(hash) && max_blocks > 0) {
            trim(max_blocks - 1, now);
            blocks_[hash] = lru_order_.insert(lru_order_.end(), hash);
            record_event(hash, true, now);
        }
    }
    trim(max_blocks, now);
}

void prefix_cache::trim(std::int64_t max_blocks, time_point now) {
    while (!lru_order_.empty() && size() > max_blocks) {
        const auto oldest = lru_order_.front();
        lru_order_.pop_front();
        blocks_.erase(oldest);
        record_event(oldest, false, now);
    }
}

void prefix_cache::record_event(std::uint64_t prefix,
                                bool added,
                                time_point now) {
    ++last_event_;
    const bool lost = event_gap_ > 0 &&
                      last_event_ % static_cast<std::uint64_t>(event_gap_) == 0;
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
            return event.sequence_ > after && event.recorded_at_ + lag <= now;
        });
    return result;
}

} // namespace pimentoferry::standins
