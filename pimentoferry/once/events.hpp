/// Events and actions of `once_service`.
#ifndef PIMENTOFERRY_ONCE_EVENTS_HPP
#define PIMENTOFERRY_ONCE_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/messages.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

namespace pimentoferry::once {

/// Limits and intervals; the defaults are those of the design page.
struct settings {
    shard_number shards_{8}; ///< The same at every entry, for ever.
    /// Under load, writes of a shard start at least this far apart.
    base::milliseconds write_interval_{200};
    std::size_t segment_bytes_{std::size_t{64} * 1024};
    /// Records older than this may be deleted, once the floor is raised.
    base::milliseconds window_{std::chrono::hours{24}};
    /// Results with a longer body and content type are not stored.
    std::size_t result_bytes_{std::size_t{4} * 1024};
    /// A claim without a verdict is given up after this time. It is longer
    /// than a takeover, so that the death of an owner refuses no call.
    base::milliseconds claim_timeout_{6000};
    /// Claims, reports and abandons are repeated at this interval.
    base::milliseconds repeat_{500};
    /// A claim is repeated this soon after `not_owner`.
    base::milliseconds not_owner_pause_{100};
    /// An outcome that is not known yet is asked for at this interval.
    base::milliseconds store_retry_{250};
    /// A candidate owner compares the heads with its view at this interval.
    base::milliseconds head_poll_{5000};
    /// An owner that the view never held counts as dead after this time.
    base::milliseconds unknown_owner_grace_{3000};
    /// A shard that was lost to another entry is not taken back sooner.
    base::milliseconds fenced_pause_{2000};
    std::size_t max_calls_{10'000};    ///< Open calls of this entry.
    std::size_t max_waiting_{2'000};   ///< Claims per shard not yet durable.
    std::size_t max_records_{200'000}; ///< Per shard.
    std::size_t max_result_memory_{std::size_t{16} << 20U}; ///< Per shard.
};

// Events.

/// A caller's non-idempotent call arrived, with a key that was parsed by
/// `parse_idempotency_key`. It is answered by exactly one `send_call`,
/// `replay_result` or `refuse_call`.
struct call_arrived {
    base::request_id request_;
    key_id key_;
    std::uint64_t body_hash_{0}; ///< Over method, path and body.
};

/// The caller disconnected. Only a call that was not sent yet is given up.
struct caller_disconnected {
    base::request_id request_;
};

/// The upstream's complete answer to a `send_call`, of any status.
struct upstream_answered {
    base::attempt_id attempt_;
    stored_result result_;
};

/// No upstream could be reached and not one byte of the call was sent. The
/// service answers with `refuse_call` (`no_upstream`, `not_run`).
struct upstream_not_reached {
    base::attempt_id attempt_;
};

/// The call was sent, wholly or in part, and its answer did not arrive in
/// time. The service answers with `refuse_call` (`upstream_failed`,
/// `unknown`).
struct upstream_answer_lost {
    base::attempt_id attempt_;
};

/// A message of another entry to an owner of shards.
struct owner_message_received {
    base::instance_id from_;
    to_owner message_;
};

/// A message of an owner of shards.
struct entry_message_received {
    base::instance_id from_;
    to_entry message_;
};

struct store_answered {
    store::result result_;
};

/// An entry that membership holds for alive or suspect.
struct live_entry {
    base::instance_id instance_;
    bool draining_{false};

    friend bool operator==(const live_entry&, const live_entry&) = default;
};

/// Who owns a shard; the higher epoch wins. An owner of 0 means that the
/// shard was handed over and waits for its next owner.
struct shard_ownership {
    shard_number shard_{0};
    std::uint64_t epoch_{0};
    base::instance_id owner_;

    friend bool operator==(const shard_ownership&,
                           const shard_ownership&) = default;
};

/// The whole view of membership, sent at start and after each change. An
/// instance that is not listed is dead. `owners_` may be incomplete.
struct view_changed {
    std::vector<live_entry> live_;
    std::vector<shard_ownership> owners_;
};

/// The policy of the tickets has another window (`once_window_ms`).
struct window_changed {
    base::milliseconds window_{0};
};

/// Drain: hand over every shard and take no other. Open calls are finished.
struct drain_started {};

/// Time passed. Due at `next_wakeup`, and at least once a second.
struct tick {
    base::wall_time wall_;
};

using event = std::variant<call_arrived,
                           caller_disconnected,
                           upstream_answered,
                           upstream_not_reached,
                           upstream_answer_lost,
                           owner_message_received,
                           entry_message_received,
                           store_answered,
                           view_changed,
                           window_changed,
                           drain_started,
                           tick>;

// Actions.

/// Send the call to an upstream, once. Report the outcome with exactly one
/// of `upstream_answered`, `upstream_not_reached`, `upstream_answer_lost`.
struct send_call {
    base::request_id request_;
    base::attempt_id attempt_;
};

/// Answer the caller with the result of an earlier attempt.
struct replay_result {
    base::request_id request_;
    stored_result result_;
};

struct refuse_call {
    base::request_id request_;
    base::refusal refusal_;
};

struct send_to_owner {
    base::instance_id to_;
    to_owner message_;
};

struct send_to_entry {
    base::instance_id to_;
    to_entry message_;
};

/// Run the operation and return its result with the same token. A missing
/// answer must end in `store::unavailable` after a timeout.
struct use_store {
    store::operation operation_;
};

/// Spread by gossip; every entry puts the highest epoch of each shard into
/// its `view_changed`. Repeated every `head_poll_` by the owner, to be spread
/// again each time: it heals gossip that was lost.
struct announce_owner {
    shard_ownership ownership_;
};

using action = std::variant<send_call,
                            replay_result,
                            refuse_call,
                            send_to_owner,
                            send_to_entry,
                            use_store,
                            announce_owner>;

} // namespace pimentoferry::once

#endif
