#include "pimentoferry/base/hash.hpp"

#include "pimentoferry/base/ids.hpp"

#include <xxhash.h>

#include <array>

namespace pimentoferry::base {

std::uint64_t hash_bytes(std::string_view bytes) {
    return XXH3_64bits(bytes.data(), bytes.size());
}

std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second) {
    const std::array<std::uint64_t, 2> pair{first, second};
    return XXH3_64bits(pair.data(), sizeof pair);
}

std::uint64_t rendezvous_score(std::string_view key, std::uint64_t node) {
    return hash_combine(hash_bytes(key), node);
}

std::string to_hex(std::uint64_t value) {
    constexpr char digits[] = "0123456789abcdef";
    constexpr int digit_count = 16;
    constexpr int bits_per_digit = 4;
    std::string text(digit_count, '0');
    for (int i = digit_count - 1; i >= 0; --i) {
        text[static_cast<std::size_t>(i)] = digits[value & 0xF];
        value >>= bits_per_digit;
    }
    return text;
}

std::string to_string(attempt_id attempt) {
    return to_hex(attempt.instance_.value_) + "-" + to_hex(attempt.sequence_);
}

} // namespace pimentoferry::base
