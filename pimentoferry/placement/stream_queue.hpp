/// Queue of the requests that wait for engines, the use of engine memory by
/// client accounts, and the set of prompts whose requests were refused.
///
///     queue.insert({request, expires_at, gives_up_at});
///     while (!queue.empty() && queue.front().expires_at_ < now) { ... }
///     const auto next = queue.next(use, now);
///     queue.erase(next);
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
    /// Latest start at which the first event meets its deadline; in the queue
    /// of late requests, at which it comes before the caller gives up.
    base::time_point expires_at_;
    /// Latest start at which the first event comes before the caller gives up.
    base::time_point gives_up_at_;
};

/// Engine memory that accounts were granted recently, relative to their
/// weights. Requests without an account share one entry.
class account_shares {
public:
    void add(const stream_request& granted, base::time_point now);
    double recent(std::uint64_t account, base::time_point now) const;
    void remove_expired(base::time_point now);

private:
    struct entry {
        double tokens_{0};
        base::time_point updated_;
    };
    std::unordered_map<std::uint64_t, entry> entries_;
};

/// Queue ordered by `expires_at_`, earliest first. A large prompt takes longer
/// to prefill, so it expires earlier and stands further ahead; it also needs
/// more memory of one engine, which takes longer to become free.
///
/// Load: a client account or a less urgent route that sends many times its
/// usual. The next request is the one with the most urgent priority; within a
/// priority the accounts with the least recent use go first, and within an
/// account the request that expires first. With one priority and no accounts
/// that is the order of expiry.
class stream_queue {
public:
    void insert(const queued_request& queued);
    void pop_front();
    void erase(std::size_t position);

    /// Position of the request to serve next. The queue must not be empty.
    std::size_t next(const account_shares& use, base::time_point now) const;

    const queued_request& at(std::size_t position) const {
        return items_[position];
    }
    void erase_if(const std::function<bool(const stream_request&)>& predicate);

    const queued_request& front() const { return items_.front(); }
    bool empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }
    /// Total length of the prompts in the queue.
    std::uint64_t prompt_tokens() const { return prompt_tokens_; }

    struct backlog {
        std::size_t requests_{0};
        std::uint64_t prompt_tokens_{0};
    };
    /// The requests that go before a new one of this priority.
    backlog ahead_of(std::uint32_t priority) const;

private:
    std::deque<queued_request> items_;
    std::uint64_t prompt_tokens_{0};
};

/// Set of recently refused prompts, which tells a retry after a refusal from a
/// new request.
class refused_prompts {
public:
    /// Records a refusal. An id of 0 stands for an unknown prompt and is not
    /// recorded.
    void add(std::uint64_t prompt_id, base::time_point now);
    bool contains(std::uint64_t prompt_id, base::time_point now);

private:
    void remove_expired(base::time_point now);

    std::unordered_map<std::uint64_t, base::time_point> expiry_;
    /// Expiry times and ids, earliest first.
    std::deque<std::pair<base::time_point, std::uint64_t>> expirations_;
};

} // namespace pimentoferry::placement

#endif
