#include "pimentoferry/requests/cancel_tracker.hpp"

#include <algorithm>

namespace pimentoferry::requests {

cancel_tracker::cancel_tracker(cancel_limits limits) : limits_(limits) {}

void cancel_tracker::add(const cancel_order& order, base::time_point now) {
    const key k{order.engine_, order.attempt_};
    erase(k);
    entries_[k] =
        entry{order.hold_end_, now, limits_.first_repeat_, order.witness_};
    timers_.emplace(now, k);
}

void cancel_tracker::erase(const key& k) {
    const auto found = entries_.find(k);
    if (found == entries_.end()) {
        return;
    }
    timers_.erase({found->second.next_, k});
    entries_.erase(found);
}

bool cancel_tracker::confirmed(const base::upstream_name& engine,
                               const std::vector<base::attempt_id>& attempts) {
    const std::size_t before = entries_.size();
    for (const base::attempt_id attempt : attempts) {
        erase({engine, attempt});
    }
    return entries_.size() != before;
}

std::vector<crash_witness>
cancel_tracker::engine_gone(const base::upstream_name& engine) {
    std::vector<crash_witness> witnesses;
    auto next = entries_.lower_bound({engine, {}});
    while (next != entries_.end() && next->first.first == engine) {
        const std::optional<crash_witness>& witness = next->second.witness_;
        if (witness) {
            witnesses.push_back(*witness);
        }
        const key k = next->first;
        ++next;
        erase(k);
    }
    return witnesses;
}

std::vector<cancel_attempts> cancel_tracker::due(base::time_point now) {
    std::map<base::upstream_name, std::vector<base::attempt_id>> by_engine;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const key k = timers_.begin()->second;
        entry& e = entries_.at(k);
        if (e.hold_end_ <= now) {
            erase(k);
            continue;
        }
        by_engine[k.first].push_back(k.second);
        timers_.erase(timers_.begin());
        e.next_ = std::min(now + e.delay_, e.hold_end_);
        e.delay_ = std::min(e.delay_ * 2, limits_.longest_repeat_);
        timers_.emplace(e.next_, k);
    }
    std::vector<cancel_attempts> result;
    result.reserve(by_engine.size());
    for (auto& [engine, attempts] : by_engine) {
        result.push_back({engine, std::move(attempts)});
    }
    return result;
}

std::optional<base::time_point> cancel_tracker::next_due() const {
    if (timers_.empty()) {
        return std::nullopt;
    }
    return timers_.begin()->first;
}

std::vector<std::pair<base::attempt_id, base::upstream_name>>
cancel_tracker::open() const {
    std::vector<std::pair<base::attempt_id, base::upstream_name>> all;
    all.reserve(entries_.size());
    for (const auto& [k, unused] : entries_) {
        all.emplace_back(k.second, k.first);
    }
    return all;
}

} // namespace pimentoferry::requests
