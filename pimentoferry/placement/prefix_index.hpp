/// Which prompt prefixes a prefill engine probably has in its cache.
///
/// Built from the engine's cache events, which come late and with gaps, and
/// from the owner's own grants. A wrong guess costs only the saving.
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
    /// Keeps at most `limit` prefixes; the oldest is dropped first.
    explicit prefix_index(std::size_t limit);

    /// Applies changes in the order of their sequence. A jump in the sequence
    /// drops everything older than the jump; changes seen before are ignored.
    void apply(std::span<const cache_change> changes);

    /// The engine will compute, and thus cache, these prefixes.
    void add_granted(std::span<const std::uint64_t> prefixes);

    /// Number of leading prefixes that the engine probably has.
    [[nodiscard]] std::uint32_t
    cached_blocks(std::span<const std::uint64_t> prefixes) const;

    /// The engine restarted: its cache is empty and its sequence new.
    void clear();

    [[nodiscard]] std::size_t size() const { return prefixes_.size(); }

private:
    void add(std::uint64_t prefix);

    std::size_t limit_;
    std::uint64_t last_sequence_{0};
    std::unordered_set<std::uint64_t> prefixes_;
    /// In order of arrival; may hold prefixes that were removed since.
    std::deque<std::uint64_t> order_;
};

} // namespace pimentoferry::placement

#endif
