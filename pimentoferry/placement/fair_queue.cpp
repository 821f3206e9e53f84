#include "pimentoferry/placement/fair_queue.hpp"

#include <algorithm>
#include <bit>
#include <iterator>

namespace pimentoferry::placement {

namespace {

// Shares of callers without a queued request that are kept beside those in use.
// Without them a caller could gain a new quantum by draining its backlog and
// returning within the same round.
constexpr std::size_t max_idle_shares = 64;

} // namespace

std::uint32_t fair_queue::level_of(const queued_item& item) {
    const auto urgency = static_cast<std::uint32_t>(255 - item.priority_);
    return urgency * 2 + (item.late_ ? 1 : 0);
}

std::size_t fair_queue::bucket_of(double tokens) {
    const auto whole = static_cast<std::uint64_t>(std::max(tokens, 0.0));
    const auto width = static_cast<std::size_t>(std::bit_width(whole));
    return std::min(width, bucket_count - 1);
}

void fair_queue::update_bucket(level& l, const caller_share& s, double sign) {
    bucket& b = l.buckets_.at(bucket_of(s.tokens_));
    b.callers_ += sign;
    b.tokens_ += sign * s.tokens_;
}

void fair_queue::add_ready(level& l,
                           const base::caller_name& caller,
                           caller_share& s) {
    const auto& [first_key, attempt] = *s.order_.begin();
    const double cost = items_.at(attempt).item_.tokens_;
    if (s.round_ < l.round_) {
        s.round_ = l.round_;
        s.deficit_ = quantum_tokens;
    }
    if (s.deficit_ < cost) {
        const double missing = (cost - s.deficit_) / quantum_tokens;
        const auto rounds = static_cast<std::uint64_t>(missing) + 1;
        s.round_ += rounds;
        s.deficit_ += static_cast<double>(rounds) * quantum_tokens;
    }
    l.ready_.emplace(caller_key{s.round_, std::get<0>(first_key), s.number_},
                     caller);
    update_bucket(l, s, 1);
}

void fair_queue::remove_ready(level& l, caller_share& s) {
    if (s.order_.empty()) {
        return;
    }
    const base::time_point deadline = std::get<0>(s.order_.begin()->first);
    l.ready_.erase(caller_key{s.round_, deadline, s.number_});
    update_bucket(l, s, -1);
}

void fair_queue::push(const queued_item& item) {
    const auto arrival = next_number_++;
    if (!items_.emplace(item.attempt_, queue_entry{item, arrival}).second) {
        return;
    }
    level& l = levels_[level_of(item)];
    const auto [found, added] = l.shares_.try_emplace(item.caller_);
    caller_share& s = found->second;
    if (added) {
        s.number_ = arrival;
    }
    remove_ready(l, s);
    s.order_.emplace(item_key{item.deadline_, arrival}, item.attempt_);
    s.tokens_ += item.tokens_;
    add_ready(l, item.caller_, s);
    l.tokens_ += item.tokens_;
    ++l.requests_;
}

const queued_item* fair_queue::front() const {
    if (levels_.empty()) {
        return nullptr;
    }
    const level& l = levels_.begin()->second;
    const caller_share& s = l.shares_.at(l.ready_.begin()->second);
    return &items_.at(s.order_.begin()->second).item_;
}

void fair_queue::pop() {
    if (const queued_item* next = front()) {
        erase(next->attempt_, true);
    }
}

bool fair_queue::remove(base::attempt_id attempt) {
    if (!items_.contains(attempt)) {
        return false;
    }
    erase(attempt, false);
    return true;
}

void fair_queue::erase(base::attempt_id attempt, bool charge) {
    const auto found = items_.find(attempt);
    const queued_item& item = found->second.item_;
    const auto at = levels_.find(level_of(item));
    level& l = at->second;
    caller_share& s = l.shares_.at(item.caller_);
    remove_ready(l, s);
    s.order_.erase(item_key{item.deadline_, found->second.arrival_});
    s.tokens_ -= item.tokens_;
    if (charge) {
        l.round_ = std::max(l.round_, s.round_);
        s.deficit_ -= item.tokens_;
    }
    if (!s.order_.empty()) {
        add_ready(l, item.caller_, s);
    }
    l.tokens_ -= item.tokens_;
    --l.requests_;
    items_.erase(found);
    if (l.requests_ == 0) {
        levels_.erase(at);
        return;
    }
    erase_idle_shares(l);
}

void fair_queue::erase_idle_shares(level& l) {
    if (l.shares_.size() <= 2 * l.ready_.size() + max_idle_shares) {
        return;
    }
    std::erase_if(l.shares_, [&l](const auto& entry) {
        return entry.second.order_.empty() && entry.second.round_ <= l.round_;
    });
}

const queued_item* fair_queue::find(base::attempt_id attempt) const {
    const auto found = items_.find(attempt);
    return found == items_.end() ? nullptr : &found->second.item_;
}

work_ahead fair_queue::ahead_of(const queued_item& item) const {
    const std::uint32_t own_level = level_of(item);
    work_ahead ahead;
    auto at = levels_.begin();
    for (; at != levels_.end() && at->first < own_level; ++at) {
        ahead.tokens_ += at->second.tokens_;
        ahead.requests_ += static_cast<double>(at->second.requests_);
    }
    if (at == levels_.end() || at->first != own_level) {
        return ahead;
    }
    const level& l = at->second;
    const auto found = l.shares_.find(item.caller_);
    const double own = found == l.shares_.end() ? 0 : found->second.tokens_;
    // While the caller is served this many tokens, each other caller is served
    // as many, or its whole backlog if that is smaller.
    const double reach = std::max(own + item.tokens_, quantum_tokens);
    double tokens = 0;
    for (const bucket& b : l.buckets_) {
        tokens += std::min(b.tokens_, b.callers_ * reach);
    }
    const double mean = l.tokens_ / static_cast<double>(l.requests_);
    ahead.tokens_ += tokens;
    ahead.requests_ += mean > 0 ? tokens / mean : 0;
    return ahead;
}

double fair_queue::tokens() const {
    double sum = 0;
    for (const auto& [key, l] : levels_) {
        sum += l.tokens_;
    }
    return sum;
}

} // namespace pimentoferry::placement
