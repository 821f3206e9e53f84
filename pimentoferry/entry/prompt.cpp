#include "pimentoferry/entry/caller_api.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>

namespace pimentoferry::entry {

namespace {

constexpr std::string_view white_space = " \t\r\n\f\v";
constexpr std::uint32_t tokens_per_block = 1000;

/// Calls `visit` with each word that is delimited by white space.
template <class Visitor>
void for_each_word(std::string_view text, Visitor visit) {
    auto start = text.find_first_not_of(white_space);
    while (start != std::string_view::npos) {
        const auto end =
            std::min(text.find_first_of(white_space, start), text.size());
        visit(text.substr(start, end - start));
        start = text.find_first_not_of(white_space, end);
    }
}

} // namespace

std::uint32_t estimate_tokens(std::string_view prompt) {
    std::uint32_t words = 0;
    for_each_word(prompt, [&words](std::string_view) { ++words; });
    return words;
}

// Must match how engines identify their cached blocks: the words are joined by
// single spaces, and each hash is combined with the one before.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt) {
    std::vector<std::uint64_t> hashes;
    std::string block;
    std::uint32_t words = 0;
    std::uint64_t hash = 0;
    for_each_word(prompt, [&](std::string_view word) {
        block += block.empty() ? "" : " ";
        block += word;
        if (++words % tokens_per_block != 0) {
            return;
        }
        hash = base::hash_combine(hash, base::hash_bytes(block));
        hashes.push_back(hash);
        block.clear();
    });
    return hashes;
}

} // namespace pimentoferry::entry
