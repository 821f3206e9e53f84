#include "standins/expected_answer.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/ids.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

namespace pimentoferry::standins {
namespace {

constexpr std::string_view whitespace = " \t\r\n\f\v";
constexpr std::string_view length_marker = "answer_tokens=";
constexpr std::size_t token_digits = 8;

// Removes the first word from `rest` and returns it; returns an empty view at
// the end.
std::string_view next_word(std::string_view& rest) {
    const auto start = rest.find_first_not_of(whitespace);
    if (start == std::string_view::npos) {
        rest = {};
        return {};
    }
    rest.remove_prefix(start);
    const auto word = rest.substr(0, rest.find_first_of(whitespace));
    rest.remove_prefix(word.size());
    return word;
}

std::optional<std::uint32_t> marked_length(std::string_view word) {
    std::uint32_t length = 0;
    if (!word.starts_with(length_marker)) {
        return std::nullopt;
    }
    word.remove_prefix(length_marker.size());
    const auto* end = word.data() + word.size();
    if (std::from_chars(word.data(), end, length).ptr != end) {
        return std::nullopt;
    }
    return length;
}

} // namespace

std::uint32_t count_tokens(std::string_view prompt) {
    std::uint32_t count = 0;
    while (!next_word(prompt).empty()) {
        ++count;
    }
    return count;
}

std::uint32_t kv_blocks_for(std::uint32_t tokens) {
    return (tokens + tokens_per_block - 1) / tokens_per_block;
}

std::string answer_token(std::string_view prompt, std::uint32_t position) {
    return answer_token(base::hash_bytes(prompt), position);
}

std::string answer_token(std::uint64_t prompt_hash, std::uint32_t position) {
    const auto digits = base::to_hex(base::hash_combine(prompt_hash, position));
    return "t" + std::to_string(position) + "-" +
           digits.substr(digits.size() - token_digits) + " ";
}

std::uint32_t answer_length(std::string_view prompt, std::uint32_t max_tokens) {
    if (prompt.find(length_marker) == std::string_view::npos) {
        return max_tokens;
    }
    for (auto word = next_word(prompt); !word.empty();
         word = next_word(prompt)) {
        if (const auto length = marked_length(word)) {
            return std::min(max_tokens, *length);
        }
    }
    return max_tokens;
}

std::string expected_answer(std::string_view prompt, std::uint32_t max_tokens) {
    const auto hash = base::hash_bytes(prompt);
    const auto length = answer_length(prompt, max_tokens);
    std::string answer;
    for (std::uint32_t position = 0; position < length; ++position) {
        answer += answer_token(hash, position);
    }
    return answer;
}

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    std::string block;
    std::uint64_t last = 0;
    std::uint32_t count = 0;
    for (auto word = next_word(prompt); !word.empty();
         word = next_word(prompt)) {
        block += block.empty() ? "" : " ";
        block += word;
        if (++count % tokens_per_block == 0) {
            last = base::hash_combine(last, base::hash_bytes(block));
            hashes.push_back(last);
            block.clear();
        }
    }
    return hashes;
}

} // namespace pimentoferry::standins
