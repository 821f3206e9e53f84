/// Deterministic output of the simulated engines, so that a test can compare
/// the answer of a request byte for byte.
///
/// One token is one word of the prompt, words being separated by whitespace.
/// Token `i` of the answer is `t<i>-<8 hexadecimal digits>` followed by one
/// space; the digits are the low 32 bits of
/// `hash_combine(hash_bytes(prompt), i)` with the hashes of
/// `pimentoferry/base/hash.hpp`. The answer depends on nothing else: every
/// engine returns the same one, regardless of model, role and state.
///
/// The answer has `max_tokens` tokens, or `N` if that is fewer and the prompt
/// contains the word `answer_tokens=N`.
///
///     CPPUNIT_ASSERT_EQUAL(expected_answer("mouldy silage", 12), received);
#ifndef PIMENTOFERRY_STANDINS_EXPECTED_ANSWER_HPP
#define PIMENTOFERRY_STANDINS_EXPECTED_ANSWER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::standins {

/// Tokens per KV block, which is also the block of the prefix cache.
inline constexpr std::uint32_t tokens_per_block = 1000;

std::uint32_t count_tokens(std::string_view prompt);

/// Returns the number of KV blocks that hold this many tokens.
std::uint32_t kv_blocks_for(std::uint32_t tokens);

/// Returns the token at a position of the answer, with its trailing space.
std::string answer_token(std::string_view prompt, std::uint32_t position);

/// As above, for callers that have `base::hash_bytes(prompt)`.
std::string answer_token(std::uint64_t prompt_hash, std::uint32_t position);

/// Returns the length of the answer in tokens.
std::uint32_t answer_length(std::string_view prompt, std::uint32_t max_tokens);

/// Returns the whole answer: the concatenation of its tokens.
std::string expected_answer(std::string_view prompt, std::uint32_t max_tokens);

/// Returns one hash for each full block of 1,000 words. Hash `i` covers the
/// prompt from its first word to the last word of block `i`: it is
/// `hash_combine(hash i-1, hash_bytes(words of the block))`, starting from 0,
/// the words joined by single spaces.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

} // namespace pimentoferry::standins

#endif
