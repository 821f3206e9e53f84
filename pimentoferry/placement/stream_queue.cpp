#include "pimentoferry/placement/stream_queue.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <tuple>

namespace pimentoferry::placement {

namespace {

// A refused caller retries within a third of its remaining time, which is at
// most some seconds.
constexpr base::milliseconds refusal_retention{15'000};
constexpr std::size_t max_refusals = 8192;
// About the time of an answer: the memory that an account was granted before
// that is free again.
constexpr std::chrono::duration<double> use_memory{4};

} // namespace

void stream_queue::insert(const queued_request& queued) {
    const auto position = std::ranges::upper_bound(
        items_, queued.expires_at_, {}, &queued_request::expires_at_);
    items_.insert(position, queued);
    prompt_tokens_ += queued.request_.prompt_tokens_;
}

void stream_queue::pop_front() {
    prompt_tokens_ -= items_.front().request_.prompt_tokens_;
    items_.pop_front();
}

void stream_queue::erase(std::size_t position) {
    prompt_tokens_ -= items_[position].request_.prompt_tokens_;
    items_.erase(items_.begin() + static_cast<std::ptrdiff_t>(position));
}

std::size_t stream_queue::next(const account_shares& use,
                               base::time_point now) const {
    const auto first =
        std::ranges::min_element(items_, {}, [&](const queued_request& each) {
            return std::tuple{each.request_.priority_,
                              use.recent(each.request_.account_, now),
                              each.expires_at_};
        });
    return static_cast<std::size_t>(std::distance(items_.begin(), first));
}

stream_queue::backlog stream_queue::ahead_of(std::uint32_t priority) const {
    backlog ahead;
    for (const auto& each : items_) {
        if (each.request_.priority_ <= priority) {
            ++ahead.requests_;
            ahead.prompt_tokens_ += each.request_.prompt_tokens_;
        }
    }
    return ahead;
}

void account_shares::add(const stream_request& granted, base::time_point now) {
    if (granted.account_ == 0) {
        return;
    }
    const double tokens = static_cast<double>(granted.prompt_tokens_) +
                          granted.expected_output_tokens_;
    const double weight = std::max(granted.account_weight_, 1U);
    entries_[granted.account_] = {
        recent(granted.account_, now) + tokens / weight, now};
}

double account_shares::recent(std::uint64_t account,
                              base::time_point now) const {
    const auto found = entries_.find(account);
    if (found == entries_.end()) {
        return 0;
    }
    const std::chrono::duration<double> age = now - found->second.updated_;
    return found->second.tokens_ * std::exp(-(age / use_memory));
}

void account_shares::remove_expired(base::time_point now) {
    std::erase_if(entries_, [now](const auto& each) {
        return now - each.second.updated_ > 8 * use_memory;
    });
}

void stream_queue::erase_if(
    const std::function<bool(const stream_request&)>& predicate) {
    std::erase_if(items_, [&](const queued_request& waiting) {
        const bool erased = predicate(waiting.request_);
        prompt_tokens_ -= erased ? waiting.request_.prompt_tokens_ : 0;
        return erased;
    });
}

void refused_prompts::add(std::uint64_t prompt_id, base::time_point now) {
    remove_expired(now);
    if (prompt_id == 0) {
        return;
    }
    expiry_[prompt_id] = now + refusal_retention;
    expirations_.emplace_back(now + refusal_retention, prompt_id);
    if (expirations_.size() > max_refusals) {
        expiry_.erase(expirations_.front().second);
        expirations_.pop_front();
    }
}

bool refused_prompts::contains(std::uint64_t prompt_id, base::time_point now) {
    remove_expired(now);
    return expiry_.contains(prompt_id);
}

void refused_prompts::remove_expired(base::time_point now) {
    while (!expirations_.empty() && expirations_.front().first <= now) {
        const auto [at, id] = expirations_.front();
        expirations_.pop_front();
        const auto found = expiry_.find(id);
        // A later refusal of the same prompt has extended its expiry.
        if (found != expiry_.end() && found->second <= at) {
            expiry_.erase(found);
        }
    }
}

} // namespace pimentoferry::placement
