/// Hashes that are equal in every process and build.
///
/// `std::hash` may differ between builds, so values that are compared between
/// processes (shard numbers, rendezvous scores, fingerprints) use XXH3.
#ifndef PIMENTOFERRY_BASE_HASH_HPP
#define PIMENTOFERRY_BASE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace pimentoferry::base {

/// 64-bit XXH3 of the bytes.
std::uint64_t hash_bytes(std::string_view bytes);

/// Combines two hashes; not commutative.
std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second);

/// Score of a node for a key in rendezvous hashing: the live node with the
/// highest score owns the key, so the loss of a node moves only its own keys.
std::uint64_t rendezvous_score(std::string_view key, std::uint64_t node);

} // namespace pimentoferry::base

#endif
