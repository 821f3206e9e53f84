#include "pimentoferry/placement/stream_queue.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// A caller that was refused returns within a third of the time that it has
// left, which is at most some seconds.
constexpr base::milliseconds refusal_memory{15'000};
constexpr std::size_t remembered_refusals = 8192;

} // namespace

void stream_queue::insert(const queued_request& wanted) {
    const auto place = std::ranges::upper_bound(items_, wanted.expires_, {},
                                                &queued_request::expires_);
    items_.insert(place, wanted);
    prompt_tokens_ += wanted.request_.prompt_tokens_;
}

void stream_queue::pop_front() {
    prompt_tokens_ -= items_.front().request_.prompt_tokens_;
    items_.pop_front();
}

void stream_queue::erase_if(
    const std::function<bool(const stream_request&)>& gone) {
    std::erase_if(items_, [&](const queued_request& waiting) {
        const bool erased = gone(waiting.request_);
        prompt_tokens_ -= erased ? waiting.request_.prompt_tokens_ : 0;
        return erased;
    });
}

void refused_prompts::add(std::uint64_t prompt_id, base::time_point now) {
    forget_old(now);
    if (prompt_id == 0) {
        return;
    }
    until_[prompt_id] = now + refusal_memory;
    order_.emplace_back(now + refusal_memory, prompt_id);
    if (order_.size() > remembered_refusals) {
        until_.erase(order_.front().second);
        order_.pop_front();
    }
}

bool refused_prompts::contains(std::uint64_t prompt_id, base::time_point now) {
    forget_old(now);
    return until_.contains(prompt_id);
}

void refused_prompts::forget_old(base::time_point now) {
    while (!order_.empty() && order_.front().first <= now) {
        const auto [at, id] = order_.front();
        order_.pop_front();
        const auto found = until_.find(id);
        // A later refusal of the same prompt is remembered for longer.
        if (found != until_.end() && found->second <= at) {
            until_.erase(found);
        }
    }
}

} // namespace pimentoferry::placement
