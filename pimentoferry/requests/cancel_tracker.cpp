#include "pimentoferry/requests/cancel_tracker.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests {

cancel_tracker::cancel_tracker(cancel_limits limits) : limits_(limits) {}

void cancel_tracker::add(const cancel_order& order, base::time_point now) {
    const key k{order.engine_, order.attempt_};
    erase(k);
    const base::time_point next = now + limits_.first_repeat_;
    entries_[k] = entry{order.hold_end_, next, limits_.first_repeat_ * 2,
                        order.crash_candidate_};
    added_.insert(k);
    timers_.emplace(next, k);
    if (order.unanswered_) {
        unanswered_calls_.emplace(order.attempt_, order.engine_);
    }
}

void cancel_tracker::erase(const key& k) {
    const auto found = entries_.find(k);
    if (found == entries_.end()) {
        return;
    }
    timers_.erase({found->second.next_, k});
    unanswered_calls_.erase({k.second, k.first});
    added_.erase(k);
    entries_.erase(found);
}

void cancel_tracker::call_answered(
    base::attempt_id attempt,
    const std::optional<base::upstream_name>& engine,
    bool sent) {
    const auto found = unanswered_calls_.lower_bound(
        {attempt, engine.value_or(base::upstream_name{})});
    if (found == unanswered_calls_.end() || found->first != attempt ||
        (engine && found->second != *engine)) {
        return;
    }
    const base::upstream_name at = found->second;
    unanswered_calls_.erase(found);
    if (!sent) {
        erase({at, attempt});
    }
}

bool cancel_tracker::awaits_answer(base::attempt_id attempt,
                                   const base::upstream_name& engine) const {
    return unanswered_calls_.contains({attempt, engine});
}

bool cancel_tracker::confirm(const base::upstream_name& engine,
                             const std::vector<base::attempt_id>& attempts) {
    const std::size_t before = entries_.size();
    for (const base::attempt_id attempt : attempts) {
        erase({engine, attempt});
    }
    return entries_.size() != before;
}

std::vector<crash_candidate> cancel_tracker::drop_crashed_engine(
    const base::upstream_name& engine,
    const std::set<base::attempt_id>& attempts) {
    std::vector<crash_candidate> candidates;
    for (const base::attempt_id attempt : attempts) {
        const auto found = entries_.find({engine, attempt});
        if (found == entries_.end()) {
            continue;
        }
        const std::optional<crash_candidate>& candidate =
            found->second.crash_candidate_;
        if (candidate) {
            candidates.push_back(*candidate);
        }
        erase({engine, attempt});
    }
    return candidates;
}

std::vector<cancel_attempts>
cancel_tracker::group_by_engine(const std::set<key>& keys) {
    std::vector<cancel_attempts> result;
    for (const auto& [engine, attempt] : keys) {
        if (result.empty() || result.back().engine_ != engine) {
            result.push_back({engine, {}});
        }
        result.back().attempts_.push_back(attempt);
    }
    return result;
}

std::vector<cancel_attempts> cancel_tracker::take_added() {
    const std::set<key> keys = std::exchange(added_, {});
    return group_by_engine(keys);
}

std::vector<cancel_attempts> cancel_tracker::take_due(base::time_point now) {
    std::set<key> repeated;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        const key k = timers_.begin()->second;
        entry& e = entries_.at(k);
        if (e.hold_end_ <= now) {
            erase(k);
            continue;
        }
        repeated.insert(k);
        timers_.erase(timers_.begin());
        e.next_ = std::min(now + e.delay_, e.hold_end_);
        e.delay_ = std::min(e.delay_ * 2, limits_.longest_repeat_);
        timers_.emplace(e.next_, k);
    }
    return group_by_engine(repeated);
}

bool cancel_tracker::may_run(std::uint64_t fingerprint) const {
    return std::ranges::any_of(entries_, [&](const auto& each) {
        const std::optional<crash_candidate>& candidate =
            each.second.crash_candidate_;
        return candidate && candidate->fingerprint_ == fingerprint;
    });
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
