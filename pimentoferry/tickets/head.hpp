/// Keys and values of the tickets in the store.
///
/// The value of `tickets/head` is text: a line with the version, a line with
/// the numbers, and one line of canonical JSON for each recent ticket.
#ifndef PIMENTOFERRY_TICKETS_HEAD_HPP
#define PIMENTOFERRY_TICKETS_HEAD_HPP

#include "pimentoferry/base/ids.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::tickets {

inline constexpr std::string_view head_key = "tickets/head";
inline constexpr std::string_view state_prefix = "tickets/state/";

/// A store value holds 1 MB; parts stay well below it.
inline constexpr std::size_t part_bytes = 512UL * 1024;
/// A ticket above this does not fit beside others in the head.
inline constexpr std::size_t ticket_limit_bytes = 256UL * 1024;
/// Limit of the head's value.
inline constexpr std::size_t head_limit_bytes = 1000UL * 1000;
/// The head is compacted at this many tickets, or at this size.
inline constexpr std::size_t compaction_tickets = 100;
inline constexpr std::size_t compaction_bytes = 384UL * 1024;

struct head {
    std::uint64_t number_{0};      ///< Of the last accepted ticket.
    std::uint64_t base_number_{0}; ///< The compacted state includes it.
    std::string generation_;       ///< Of the compacted state; may be empty.
    std::uint64_t parts_{0};       ///< Of the compacted state.
    std::vector<std::string> tickets_; ///< `base_number_ + 1` to `number_`.
};

std::string encode(const head& value);
/// Nothing when the text is not a head.
std::optional<head> decode_head(std::string_view text);

/// Bytes of the recent tickets.
std::size_t ticket_bytes(const head& value);

std::string history_key(std::uint64_t number);
std::string part_key(const std::string& generation, std::uint64_t part);

/// Name of a compaction by one instance, such as `200-00000000000000ff`, so
/// that two instances never write the same part keys.
std::string generation_name(std::uint64_t base_number,
                            base::instance_id instance);

/// A part key taken apart.
struct part_name {
    std::uint64_t base_number_{0};
    std::string generation_;
};
std::optional<part_name> parse_part_key(std::string_view key);

} // namespace pimentoferry::tickets

#endif
