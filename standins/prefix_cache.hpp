/// Prefix cache of an engine, in the memory that no attempt holds.
///
/// One block is one piece (1,000 tokens) and is named by the hash of the
/// prompt up to its end (`prefix_hashes`). The least recently used block goes
/// first. Every change is a cache event; events become visible late, and each
/// N-th one is lost but keeps its number.
///
///     cache.add(hashes, free_pieces, now);
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
    std::chrono::steady_clock::time_point at_;
};

class prefix_cache {
public:
    using time_point = std::chrono::steady_clock::time_point;
    using milliseconds = std::chrono::milliseconds;

    /// How many leading blocks are cached; marks them as used.
    std::size_t match(const std::vector<std::uint64_t>& hashes);
    /// Adds the blocks and evicts down to `room` blocks.
    void add(const std::vector<std::uint64_t>& hashes,
             std::int64_t room,
             time_point now);
    /// Evicts down to `room` blocks.
    void trim(std::int64_t room, time_point now);
    std::int64_t size() const { return std::ssize(order_); }

    /// Each `gap`-th event is lost from now on; 0: none.
    void set_gap(std::int64_t gap) { gap_ = gap; }
    /// Events numbered above `after` that are at least `lag` old.
    std::vector<cache_event>
    events(std::uint64_t after, milliseconds lag, time_point now) const;

private:
    void report(std::uint64_t prefix, bool added, time_point now);

    std::list<std::uint64_t> order_; ///< Least recently used first.
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        blocks_;
    std::deque<cache_event> events_;
    std::uint64_t last_event_{0};
    std::int64_t gap_{0};
};

} // namespace pimentoferry::standins

#endif
