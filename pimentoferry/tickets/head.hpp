/// Keys and value formats of the tickets in the store.
///
/// The value of `tickets/head` is text: a line with the format version, a line
/// with the numbers and the generation, and one line of canonical JSON for each
/// recent ticket.
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

/// Size of one part of a compacted state. A store value holds at most 1 MB;
/// parts stay well below that.
inline constexpr std::size_t part_bytes = 512UL * 1024;
/// A larger ticket does not fit into the head beside others.
inline constexpr std::size_t ticket_limit_bytes = 256UL * 1024;
/// Maximum size of the head's value.
inline constexpr std::size_t head_limit_bytes = 1000UL * 1000;
/// The head is compacted when it holds this many tickets or bytes of tickets.
inline constexpr std::size_t compaction_tickets = 100;
inline constexpr std::size_t compaction_bytes = 384UL * 1024;

struct head {
    std::uint64_t number_{0};      ///< Number of the last accepted ticket.
    std::uint64_t base_number_{0}; ///< Last ticket in the compacted state.
    /// Generation of the compacted state; empty before the first compaction.
    std::string generation_;
    std::uint64_t parts_{0}; ///< Number of parts of the compacted state.
    std::vector<std::string> tickets_; ///< `base_number_ + 1` to `number_`.
};

std::string encode(const head& value);
/// Returns nullopt if the text is not a valid head.
std::optional<head> decode_head(std::string_view text);

/// Total size of the recent tickets in bytes.
std::size_t ticket_bytes(const head& value);

std::string history_key(std::uint64_t number);
std::string part_key(const std::string& generation, std::uint64_t part);

/// The generation that `instance` writes when it compacts up to `base_number`,
/// such as `200-00000000000000ff`. It contains the instance so that two
/// instances never write the same part keys.
std::string generation_name(std::uint64_t base_number,
                            base::instance_id instance);

/// The fields of a part key.
struct part_name {
    std::uint64_t base_number_{0};
    std::string generation_;
};
/// Returns nullopt if `key` is not a part key.
std::optional<part_name> parse_part_key(std::string_view key);

} // namespace pimentoferry::tickets

#endif
