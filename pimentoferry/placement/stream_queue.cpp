#include "pimentoferry/placement/stream_queue.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// A refused caller retries within a third of its remaining time, which is at
// most some seconds.
constexpr base::milliseconds refusal_retention{15'000};
constexpr std::size_t max_refusals = 8192;

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
