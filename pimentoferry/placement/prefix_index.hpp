/// Estimate of the prompt prefixes in the cache of a prefill engine.
///
/// Built from the engine's cache events, which arrive late and with gaps, and
/// from the owner's own grants. A wrong estimate costs only the prefill time
/// that a cache hit would have saved.
///
///     prefix_index index{8'192};
///     index.add_granted(request.prefix_hashes_);
///     index.apply({{17, hash, true}});
///     index.cached_blocks(request.prefix_hashes_); // leading blocks
#ifndef PIMENTOFERRY_PLACEMENT_PREFIX_INDEX_HPP
#define PIMENTOFERRY_PLACEMENT_PREFIX_INDEX_HPP

#include "pimentoferry/placement/events.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <unordered_set>

namespace pimentoferry::placement {

class prefix_index {
public:
    /// Keeps at most `limit` prefixes and evicts the oldest first.
    explicit prefix_index(std::size_t limit);

    /// Applies changes in the order of their sequence numbers. A gap in the
    /// sequence drops all prefixes from before the gap. Changes that were
    /// applied already are ignored.
    void apply(std::span<const cache_change> changes);

    /// Adds prefixes that the engine will compute, and thus cache.
    void add_granted(std::span<const std::uint64_t> prefixes);

    /// Number of leading blocks that are probably cached.
    [[nodiscard]] std::uint32_t
    cached_blocks(std::span<const std::uint64_t> prefixes) const;

    /// For a restarted engine: its cache is empty and its sequence starts anew.
    void clear();

    [[nodiscard]] std::size_t size() const { return prefixes_.size(); }

private:
    void add(std::uint64_t prefix);

    std::size_t limit_;
    std::uint64_t last_sequence_{0};
    std::unordered_set<std::uint64_t> prefixes_;
    /// In order of insertion; may hold prefixes that were removed since.
    std::deque<std::uint64_t> order_;
};

} // namespace pimentoferry::placement

#endif
