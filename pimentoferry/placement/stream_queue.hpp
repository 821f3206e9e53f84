/// Requests that wait for a place, in the order in which they expire, and the
/// prompts that were refused a place.
///
///     queue.insert({request, expires, gives_up});
///     while (!queue.empty() && queue.front().expires_ < now) { ... }
#ifndef PIMENTOFERRY_PLACEMENT_STREAM_QUEUE_HPP
#define PIMENTOFERRY_PLACEMENT_STREAM_QUEUE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/stream_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>

namespace pimentoferry::placement {

struct queued_request {
    stream_request request_;
    /// Afterwards its first event, if it began then, would be late; in the
    /// late queue: would come after its caller gave up.
    base::time_point expires_;
    base::time_point gives_up_;
};

/// A large prompt takes longer to read, so it expires earlier and stands
/// further ahead; it also needs more memory of one engine, which takes longer
/// to come free.
class stream_queue {
public:
    void insert(const queued_request& wanted);
    void pop_front();
    void erase_if(const std::function<bool(const stream_request&)>& gone);

    const queued_request& front() const { return items_.front(); }
    bool empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }
    /// Of all prompts in the queue.
    std::uint64_t prompt_tokens() const { return prompt_tokens_; }

private:
    std::deque<queued_request> items_;
    std::uint64_t prompt_tokens_{0};
};

/// Tells callers that return after a refusal from fresh ones.
class refused_prompts {
public:
    /// An id of 0 is that of an unknown prompt and is not remembered.
    void add(std::uint64_t prompt_id, base::time_point now);
    bool contains(std::uint64_t prompt_id, base::time_point now);

private:
    void forget_old(base::time_point now);

    std::unordered_map<std::uint64_t, base::time_point> until_;
    /// In the order in which they are forgotten.
    std::deque<std::pair<base::time_point, std::uint64_t>> order_;
};

} // namespace pimentoferry::placement

#endif
