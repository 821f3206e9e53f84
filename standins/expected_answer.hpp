/// What an engine answers to a prompt, so that a test knows what a request
/// must get, byte for byte.
///
/// One token is one word of the prompt, words being separated by whitespace.
/// Token `i` of the answer is `t<i>-<8 hexadecimal digits>` followed by one
/// space; the digits are the low 32 bits of
/// `hash_combine(hash_bytes(prompt), i)` with the hashes of
/// `pimentoferry/base/hash.hpp`. The answer depends on nothing else: every
/// engine gives the same one, whatever its model, role or state.
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

/// Tokens of one memory piece and of one block of the prefix cache.
inline constexpr std::uint32_t tokens_per_piece = 1000;

std::uint32_t count_tokens(std::string_view prompt);

/// Pieces that hold this many tokens.
std::uint32_t pieces_for(std::uint32_t tokens);

/// The token at a position of the answer, with its trailing space.
std::string answer_token(std::string_view prompt, std::uint32_t position);

/// The same, for callers that keep `base::hash_bytes(prompt)`.
std::string answer_token(std::uint64_t prompt_hash, std::uint32_t position);

/// Length of the answer in tokens.
std::uint32_t answer_length(std::string_view prompt, std::uint32_t max_tokens);

/// The whole answer: all its tokens, one after the other.
std::string expected_answer(std::string_view prompt, std::uint32_t max_tokens);

/// One hash for each full block of 1,000 words. Hash `i` covers the prompt
/// from its first word to the last word of block `i`: it is
/// `hash_combine(hash i-1, hash_bytes(words of the block))`, starting from 0,
/// the words joined by single spaces.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

} // namespace pimentoferry::standins

#endif
