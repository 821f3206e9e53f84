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

/// Limits and intervals; the defaults are those of the design document.
struct settings {
    shard_number shards_{8}; ///< Equal at all entries; never changed.
    /// Minimum time between the starts of two writes of a shard.
    base::milliseconds write_interval_{200};
    std::size_t segment_bytes_{std::size_t{64} * 1024};
    /// Records of keys issued longer ago than this may be deleted, after the
    /// low watermark was raised.
    base::milliseconds window_{std::chrono::hours{24}};
    /// Maximum size of body and content type together; a larger result is not
    /// stored.
    std::size_t result_bytes_{std::size_t{4} * 1024};
    /// A claim without a verdict is abandoned after this time. It exceeds the
    /// duration of a takeover, so that the crash of an owner causes no refusal.
    base::milliseconds claim_timeout_{6000};
    /// Interval at which claims, reports and abandons are resent.
    base::milliseconds resend_interval_{500};
    /// Delay before a claim is resent after `not_owner`.
    base::milliseconds not_owner_backoff_{100};
    /// Delay before a store operation with an unknown outcome is retried.
    base::milliseconds store_retry_interval_{250};
    /// Interval at which a candidate owner compares the heads with its view.
    base::milliseconds head_poll_interval_{5000};
    /// An owner that was never listed in a view counts as dead after this time.
    base::milliseconds unknown_owner_grace_{3000};
    /// Minimum time before a shard lost to another entry may be taken over
    /// again.
    base::milliseconds fenced_backoff_{2000};
    std::size_t max_calls_{10'000}; ///< Open calls of this entry.
    std::size_t max_pending_claims_{
        2'000};                        ///< Claims per shard, not yet durable.
    std::size_t max_records_{200'000}; ///< Per shard.
    std::size_t max_result_memory_{std::size_t{16} << 20U}; ///< Per shard.
};

// Events.

/// A non-idempotent call arrived, with a key from `parse_idempotency_key`.
/// Exactly one `send_call`, `replay_result` or `refuse_call` follows.
struct call_arrived {
    base::request_id request_;
    key_id key_;
    std::uint64_t body_hash_{0}; ///< Over method, path and body.
};

/// The caller disconnected. The call is abandoned only if it was not sent yet.
struct caller_disconnected {
    base::request_id request_;
};

/// The upstream's complete response to a `send_call`, with any status.
struct upstream_answered {
    base::attempt_id attempt_;
    stored_result result_;
};

/// No upstream could be reached and no byte of the call was sent. The service
/// returns `refuse_call` (`no_upstream`, `not_run`).
struct upstream_not_reached {
    base::attempt_id attempt_;
};

/// The call was sent, completely or in part, and no complete response arrived
/// before the timeout. The service returns `refuse_call` (`upstream_failed`,
/// `unknown`).
struct upstream_answer_lost {
    base::attempt_id attempt_;
};

/// A message from another entry to this entry as the owner of a shard.
struct owner_message_received {
    base::instance_id from_;
    to_owner message_;
};

/// A message from the owner of a shard to this entry.
struct entry_message_received {
    base::instance_id from_;
    to_entry message_;
};

/// The result of a `use_store` action.
struct store_answered {
    store::result result_;
};

/// An entry whose membership state is alive or suspect.
struct live_entry {
    base::instance_id instance_;
    bool draining_{false};

    friend bool operator==(const live_entry&, const live_entry&) = default;
};

/// The owner of a shard; the higher epoch takes precedence. Owner 0 means that
/// the shard was released and has no new owner yet.
struct shard_ownership {
    shard_number shard_{0};
    std::uint64_t epoch_{0};
    base::instance_id owner_;

    friend bool operator==(const shard_ownership&,
                           const shard_ownership&) = default;
};

/// The complete membership view, passed at start and after each change. An
/// instance that is not listed is dead. `owners_` may be incomplete.
struct view_changed {
    std::vector<live_entry> live_;
    std::vector<shard_ownership> owners_;
};

/// The window in the ticket policy (`once_window_ms`) changed.
struct window_changed {
    base::milliseconds window_{0};
};

/// Starts the drain: every shard is released, none is taken over, and open
/// calls are completed.
struct drain_started {};

/// Runs the timers. Due at `next_wakeup`, and at least once a second.
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

/// Send the call to an upstream exactly once, and report the outcome with
/// exactly one of `upstream_answered`, `upstream_not_reached` and
/// `upstream_answer_lost`.
struct send_call {
    base::request_id request_;
    base::attempt_id attempt_;
};

/// Answer the caller with the stored result of an earlier attempt.
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

/// Run the operation and return its result with the same token. An operation
/// that times out must return `store::unavailable`.
struct use_store {
    store::operation operation_;
};

/// Disseminate the ownership by gossip; every entry passes the highest epoch of
/// each shard in its `view_changed`. The owner repeats the announcement every
/// `head_poll_interval_`, and each repetition must be disseminated anew to make
/// up for lost gossip.
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
