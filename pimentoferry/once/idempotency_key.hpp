/// Parses the header `Idempotency-Key`.
///
///     auto parsed = once::parse_idempotency_key(
///         service, caller, "018f3c5a-7b00-7000-8000-000000000001", wall);
///     if (auto* key = std::get_if<once::key_id>(&parsed)) { ... }
///     else refuse(once::refusal_for(parsed));
///
/// A key is a UUID of version 7 (RFC 9562), because that contains its issue
/// time: the owner of its shard can refuse a key whose record may have been
/// deleted.
#ifndef PIMENTOFERRY_ONCE_IDEMPOTENCY_KEY_HPP
#define PIMENTOFERRY_ONCE_IDEMPOTENCY_KEY_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/messages.hpp"

#include <string_view>
#include <variant>

namespace pimentoferry::once {

/// Maximum time by which the issue time of a key may be ahead of this entry's
/// clock.
inline constexpr std::chrono::minutes key_issue_ahead{5};

/// The header is absent or empty.
struct key_missing {};
/// Not the 36 characters of a UUID of version 7 and variant 10.
struct key_not_uuid7 {};
/// Issued more than `key_issue_ahead` after `now`.
struct key_issued_ahead {
    base::milliseconds ahead_{0};
};

using key_parse_result =
    std::variant<key_id, key_missing, key_not_uuid7, key_issued_ahead>;

/// Parses the key of a call and hashes it with its service and caller, so that
/// equal keys of two callers have different `key_id`s.
key_parse_result parse_idempotency_key(const base::service_name& service,
                                       const base::caller_name& caller,
                                       std::string_view text,
                                       base::wall_time now);

/// The refusal for a failed parse: `key_required` or `key_malformed`, both
/// `not_run`. The argument must not hold a `key_id`.
base::refusal refusal_for(const key_parse_result& failed);

/// The shard of a key; `shards` is at least 1.
shard_number shard_of(const key_id& key, shard_number shards);

} // namespace pimentoferry::once

#endif
