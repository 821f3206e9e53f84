#include "pimentoferry/once/idempotency_key.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace pimentoferry::once {
namespace {

constexpr std::size_t uuid_characters = 36;
constexpr std::array<std::size_t, 4> hyphen_positions{8, 13, 18, 23};
constexpr unsigned version_shift = 12;
constexpr unsigned variant_shift = 62;
constexpr unsigned time_shift = 16;

std::optional<unsigned> hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return static_cast<unsigned>(c - '0');
    }
    if (c >= 'a' && c <= 'f') {
        return static_cast<unsigned>(c - 'a') + 10U;
    }
    if (c >= 'A' && c <= 'F') {
        return static_cast<unsigned>(c - 'A') + 10U;
    }
    return std::nullopt;
}

bool is_hyphen_position(std::size_t position) {
    for (const auto hyphen : hyphen_positions) {
        if (hyphen == position) {
            return true;
        }
    }
    return false;
}

/// Parses the text form of a UUID into its high and low 64 bits; none if the
/// text is malformed.
std::optional<std::pair<std::uint64_t, std::uint64_t>>
parse_uuid(std::string_view text) {
    if (text.size() != uuid_characters) {
        return std::nullopt;
    }
    std::uint64_t high = 0;
    std::uint64_t low = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (is_hyphen_position(i)) {
            if (text[i] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto digit = hex_digit(text[i]);
        if (!digit) {
            return std::nullopt;
        }
        high = (high << 4U) | (low >> 60U);
        low = (low << 4U) | *digit;
    }
    return std::pair{high, low};
}

std::uint64_t scope_hash(const base::service_name& service,
                         const base::caller_name& caller) {
    return base::hash_combine(base::hash_bytes(service.value_),
                              base::hash_bytes(caller.value_));
}

} // namespace

key_parse_result parse_idempotency_key(const base::service_name& service,
                                       const base::caller_name& caller,
                                       std::string_view text,
                                       base::wall_time now) {
    if (text.empty()) {
        return key_missing{};
    }
    const auto uuid = parse_uuid(text);
    if (!uuid || ((uuid->first >> version_shift) & 0xFU) != 7U ||
        (uuid->second >> variant_shift) != 2U) {
        return key_not_uuid7{};
    }
    const base::wall_time issued{base::milliseconds{
        static_cast<std::int64_t>(uuid->first >> time_shift)}};
    if (issued > now + key_issue_ahead) {
        return key_issued_ahead{issued - now};
    }
    const auto scope = scope_hash(service, caller);
    return key_id{base::hash_combine(
                      scope, base::hash_combine(uuid->first, uuid->second)),
                  base::hash_combine(
                      base::hash_combine(uuid->second, uuid->first), scope),
                  issued};
}

base::refusal refusal_for(const key_parse_result& failed) {
    using base::ran_state;
    using base::refusal_code;
    return std::visit(
        base::overloaded{
            [](const key_id&) {
                return base::refusal{refusal_code::internal_error,
                                     ran_state::not_run,
                                     {},
                                     "The key was parsed."};
            },
            [](const key_missing&) {
                return base::refusal{
                    refusal_code::key_required,
                    ran_state::not_run,
                    {},
                    "This call needs the header Idempotency-Key."};
            },
            [](const key_not_uuid7&) {
                return base::refusal{
                    refusal_code::key_malformed,
                    ran_state::not_run,
                    {},
                    "Idempotency-Key must be a UUID of version 7."};
            },
            [](const key_issued_ahead& ahead) {
                return base::refusal{refusal_code::key_malformed,
                                     ran_state::not_run,
                                     {},
                                     "Idempotency-Key was issued " +
                                         std::to_string(ahead.ahead_.count()) +
                                         " ms ahead of this entry's clock."};
            }},
        failed);
}

shard_number shard_of(const key_id& key, shard_number shards) {
    return static_cast<shard_number>(key.high_ % shards);
}

} // namespace pimentoferry::once
