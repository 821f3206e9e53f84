/// Events and actions of `ticket_log`.
#ifndef PIMENTOFERRY_TICKETS_EVENTS_HPP
#define PIMENTOFERRY_TICKETS_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/error.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/store/operations.hpp"
#include "pimentoferry/tickets/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::tickets {

/// Identifies a request of an operator until it is answered.
using operator_request = base::strong_id<struct operator_request_tag>;

// ---- events ----

/// The process has started. Must be the first event.
struct start {};

/// Advances time. Must be sent at least every 500 ms, and before the first
/// request that is admitted after a wait, because a gap of more than 2 s
/// between two events counts as a pause of the process.
struct tick {};

/// An operator submits a ticket.
struct apply {
    operator_request request_;
    std::string ticket_; ///< JSON with comments.
};

/// An operator requests one accepted ticket.
struct history_query {
    operator_request request_;
    std::uint64_t number_{0};
};

struct peer_message {
    base::instance_id from_;
    message message_;
};

/// A frame of any kind arrived from a peer, which is therefore reachable.
struct peer_frame_received {
    base::instance_id from_;
};

struct live_peer {
    base::instance_id instance_;
    std::string name_; ///< Name of the entry, kept across restarts.
    std::uint64_t applied_{0};
};

/// The membership view, without this entry. Must be sent whenever it changes,
/// at most once per tick.
struct peers_updated {
    std::vector<live_peer> live_;
    std::vector<std::string> left_; ///< Names of entries that left cleanly.
    /// Names of entries according to the `entries/` keys or the platform's
    /// list, including this one. They count as known even before a frame of
    /// theirs arrives. Empty while no list has been read.
    std::vector<std::string> listed_;
};

/// The wall clock of the process jumped, so the process may have been paused.
struct clock_jump {
    base::milliseconds distance_{0};
};

using event = std::variant<start,
                           tick,
                           apply,
                           history_query,
                           peer_message,
                           peer_frame_received,
                           peers_updated,
                           clock_jump,
                           store::result>;

// ---- answers to operators ----

/// The ticket is accepted, either now or earlier with the same nonce.
struct accepted {
    std::uint64_t number_{0};
};

/// Another ticket was accepted under this number.
struct number_taken {
    std::uint64_t number_{0};
    std::string operator_;
    std::vector<config::object_ref> objects_; ///< Objects that ticket changes.
};

/// The store did not answer before the deadline.
struct store_unavailable {
    /// The write was sent and may take effect. Submitting the same ticket again
    /// shows whether it did.
    bool may_be_accepted_{false};
};

struct invalid {
    config::config_error error_;
};

/// Answer to a history query.
struct history_found {
    std::uint64_t number_{0};
    std::string ticket_; ///< Canonical JSON.
};

struct history_absent {
    std::uint64_t number_{0};
};

using answer = std::variant<accepted,
                            number_taken,
                            store_unavailable,
                            invalid,
                            history_found,
                            history_absent>;

// ---- actions ----

/// Sends the operation to the store; its result must be returned as an event.
/// Tokens are unique within this `ticket_log`.
struct store_call {
    store::operation operation_;
};

struct send_message {
    base::instance_id to_;
    message message_;
};

/// A newer state is in force. Numbers strictly increase, possibly with gaps.
struct applied {
    std::uint64_t number_{0};
    std::shared_ptr<const config::state> state_;
};

struct operator_answer {
    operator_request request_;
    answer answer_;
};

/// Why new work is or is not admitted.
enum class serving_reason : std::uint8_t {
    in_force,         ///< Allowed.
    no_configuration, ///< No state is known.
    unconfirmed,      ///< Not confirmed since the last start, pause, isolation
                      ///< or partition.
    isolated,         ///< Neither a peer nor the store was reached for 5 s.
    partitioned,      ///< Store unreachable and too few entries live.
    behind,           ///< A newer number is known but could not be fetched.
};

/// Whether new work is allowed, and why. Emitted when either changes. Before
/// the first one, no work is allowed.
struct serving_status {
    bool allowed_{false};
    serving_reason reason_{serving_reason::no_configuration};
};

using action = std::
    variant<store_call, send_message, applied, operator_answer, serving_status>;

/// The refusal code that callers receive while work is not allowed.
constexpr base::refusal_code refusal_for(serving_reason reason) {
    return reason == serving_reason::no_configuration
               ? base::refusal_code::no_configuration
               : base::refusal_code::isolated;
}

} // namespace pimentoferry::tickets

#endif
