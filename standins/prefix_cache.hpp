/// Prefix cache of a simulated engine; it uses the KV blocks that no attempt
/// holds.
///
/// A cached block is one KV block (1,000 tokens), identified by the hash of the
/// prompt up to its end (`prefix_hashes`). The least recently used block is
/// evicted first. Every change is recorded as a cache event. Events become
/// visible after a delay; every N-th event is lost, which leaves a gap in the
/// sequence numbers.
///
///     cache.add(hashes, free_kv_blocks, now);
///     const auto blocks = cache.match(hashes);
#ifndef PIMENTOFERRY_STANDINS_PREFIX_CACHE_HPP
#define PIMENTOFERRY_STANDINS_PREFIX_CACHE_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace pimentoferry::standins {

struct cache_event {
    std::uint64_t sequence_{0};
    std::uint64_t prefix_{0};
    bool added_{false};
    std::chrono::steady_clock::time_point recorded_at_;
};

class prefix_cache {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// Returns how many leading blocks are cached and marks them as used.
    std::size_t match(const std::vector<std::uint64_t>& hashes);
    /// Adds the blocks and evicts down to `max_blocks` blocks.
    void add(const std::vector<std::uint64_t>& hashes,
             std::int64_t max_blocks,
             time_point now);
    /// Evicts down to `max_blocks` blocks.
    void trim(std::int64_t max_blocks, time_point now);
    std::int64_t size() const { return std::ssize(lru_order_); }

    /// Loses every `gap`-th event from now on; 0: none.
    void set_gap(std::int64_t gap) { event_gap_ = gap; }
    /// Returns the events numbered above `after` that are at least `lag` old.
    std::vector<cache_event>
    events(std::uint64_t after, milliseconds lag, time_point now) const;

private:
    void record_event(std::uint64_t prefix, bool added, time_point now);

    std::list<std::uint64_t> lru_order_; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::deque<cache_event> events_;
    std::uint64_t last_event_{0};
    std::int64_t event_gap_{0};
};

} // namespace pimentoferry::standins

#endif
