/// Queue of a cell, ordered by priority, fair shares of callers and deadline.
///
/// Higher priorities are served first. Within a priority, callers share by
/// deficit round robin over tokens: each round gives every waiting caller a
/// quantum, and within a round the earliest deadline is served first. Late
/// requests (those that can no longer meet their first-token target) are served
/// after all other requests of their priority.
///
///     fair_queue queue;
///     queue.push({attempt, caller, priority, late, deadline, tokens});
///     while (const queued_item* next = queue.front()) {
///         ...
///         queue.pop();
///     }
///
/// All operations are logarithmic in the number of waiting requests.
#ifndef PIMENTOFERRY_PLACEMENT_FAIR_QUEUE_HPP
#define PIMENTOFERRY_PLACEMENT_FAIR_QUEUE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <unordered_map>

namespace pimentoferry::placement {

struct queued_item {
    base::attempt_id attempt_;
    base::caller_name caller_;
    std::uint8_t priority_{0};
    bool late_{false};
    base::time_point deadline_;
    std::uint32_t tokens_{0}; ///< Cost charged to the caller.
};

/// Estimated work that is served before a request.
struct work_ahead {
    double tokens_{0};
    double requests_{0};
};

class fair_queue {
public:
    /// Does nothing if the attempt is queued already.
    void push(const queued_item& item);

    /// The request to serve next, or null if the queue is empty. The pointer is
    /// valid until the queue changes.
    [[nodiscard]] const queued_item* front() const;

    /// Removes `front()` and charges its tokens to its caller.
    void pop();

    /// Removes a request without charging its caller; false if it is unknown.
    bool remove(base::attempt_id attempt);

    [[nodiscard]] const queued_item* find(base::attempt_id attempt) const;

    /// Estimates the work that would be served before `item` if it were pushed
    /// now.
    [[nodiscard]] work_ahead ahead_of(const queued_item& item) const;

    [[nodiscard]] std::size_t size() const { return items_.size(); }
    [[nodiscard]] double tokens() const;

private:
    // Share of a caller per round: about two prompts of typical length.
    static constexpr double quantum_tokens = 8'000;
    static constexpr std::size_t bucket_count = 40;
    using item_key = std::tuple<base::time_point, std::uint64_t>;
    using caller_key =
        std::tuple<std::uint64_t, base::time_point, std::uint64_t>;

    struct queue_entry {
        queued_item item_;
        std::uint64_t arrival_{0};
    };
    struct caller_share {
        std::uint64_t number_{0}; ///< Breaks ties between callers.
        std::uint64_t round_{0};  ///< Round that serves its next request.
        double deficit_{0};
        double tokens_{0}; ///< Of all waiting requests.
        std::map<item_key, base::attempt_id> order_;
    };
    /// Sums over callers whose backlog is in one power-of-two range.
    struct bucket {
        double callers_{0};
        double tokens_{0};
    };
    struct level {
        std::unordered_map<base::caller_name, caller_share> shares_;
        std::map<caller_key, base::caller_name> ready_;
        std::array<bucket, bucket_count> buckets_{};
        std::uint64_t round_{0};
        double tokens_{0};
        std::size_t requests_{0};
    };

    static std::uint32_t level_of(const queued_item& item);
    static std::size_t bucket_of(double tokens);
    static void update_bucket(level& l, const caller_share& s, double sign);
    void add_ready(level& l, const base::caller_name& caller, caller_share& s);
    void remove_ready(level& l, caller_share& s);
    void erase(base::attempt_id attempt, bool charge);
    void erase_idle_shares(level& l);

    std::unordered_map<base::attempt_id, queue_entry> items_;
    std::map<std::uint32_t, level> levels_;
    std::uint64_t next_number_{0};
};

} // namespace pimentoferry::placement

#endif
