/// Format of the keys and values of a shard's log in the store.
///
///     std::string segment = new_segment(shard, 1);
///     append_record(segment, claim{...});
///     append_mark(segment, epoch, batch);
///     auto read = decode_segment(segment);  // segment or log_corrupt
///
/// A value is a sequence of msgpack arrays, so that a write appends bytes to
/// the value that was read and never encodes earlier records again.
#ifndef PIMENTOFERRY_ONCE_LOG_FORMAT_HPP
#define PIMENTOFERRY_ONCE_LOG_FORMAT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/messages.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimentoferry::once::internal {

/// The log records the messages that the owner received.
using log_record = to_owner;

using segment_number = std::uint64_t;

/// The value of `once/<shard>/head`.
struct log_head {
    base::instance_id owner_; ///< 0 when the shard was released.
    std::uint64_t epoch_{0};
    base::wall_time low_watermark_{};
    segment_number first_segment_{1};
};

struct segment {
    shard_number shard_{0};
    segment_number number_{0};
    std::vector<log_record> records_;
    /// Highest epoch among the marks in the segment.
    std::uint64_t epoch_{0};
    /// Set when the segment is sealed.
    std::optional<segment_number> successor_;
};

/// The value does not have this format.
struct log_corrupt {};

std::string shard_prefix(shard_number shard);
std::string head_key(shard_number shard);
std::string segment_key(shard_number shard, segment_number number);
/// The number in a segment's key; none for the head and for keys outside the
/// shard.
std::optional<segment_number> parse_segment_number(shard_number shard,
                                                   std::string_view key);

std::string encode_head(const log_head& head);
std::variant<log_head, log_corrupt> decode_head(std::string_view value);

std::string new_segment(shard_number shard, segment_number number);
void append_record(std::string& value, const log_record& record);
/// Ends a write. No two writes of a shard have the same mark, so that a writer
/// recognizes its own write when it reads the value back.
void append_mark(std::string& value, std::uint64_t epoch, std::uint64_t batch);
void append_seal(std::string& value, segment_number successor);
std::variant<segment, log_corrupt> decode_segment(std::string_view value);

const key_id& key_of(const log_record& record);
base::attempt_id attempt_of(const log_record& record);

} // namespace pimentoferry::once::internal

#endif
