/// Hashes that every process computes alike.
///
/// `std::hash` may differ between builds, so what is compared between
/// processes (shard numbers, rendezvous scores, fingerprints) uses XXH3.
#ifndef PIMENTOFERRY_BASE_HASH_HPP
#define PIMENTOFERRY_BASE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace pimentoferry::base {

/// 64-bit XXH3 of the bytes.
std::uint64_t hash_bytes(std::string_view bytes);

/// Mixes two hashes; the order matters.
std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second);

/// Score of a node for a key: the live node with the highest score owns the
/// key (rendezvous hashing), so a node's loss moves only what it owned.
std::uint64_t rendezvous_score(std::string_view key, std::uint64_t node);

} // namespace pimentoferry::base

#endif
