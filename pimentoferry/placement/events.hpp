/// Events and actions of the cell scheduler.
///
/// The daemon converts peer messages, load reports and timers into events and
/// performs the returned actions in order.
#ifndef PIMENTOFERRY_PLACEMENT_EVENTS_HPP
#define PIMENTOFERRY_PLACEMENT_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/messages.hpp"

#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

namespace pimentoferry::placement {

enum class engine_role : std::uint8_t { prefill, decode };

/// One engine of the cell as configured by the tickets in force.
struct engine_description {
    base::upstream_name engine_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    bool leaving_{false};    ///< Receives no new work.
    std::uint32_t slots_{0}; ///< Requests that the engine runs concurrently.
    std::uint32_t kv_blocks_{0}; ///< KV memory, 1,000 tokens each; 0: unknown.
};

/// A message of an entry; `from_` is the instance that sent it.
struct entry_message {
    base::instance_id from_;
    to_owner message_;
};

/// Reply of an engine to `GET /v1/load`.
struct load_report {
    base::upstream_name engine_;
    base::milliseconds age_{0}; ///< Time since it was taken.
    std::uint32_t slots_{0};    ///< Zero: as in the description.
    std::uint32_t running_{0};
    std::uint32_t kv_blocks_{0}; ///< Zero: as in the description.
    std::uint32_t free_kv_blocks_{0};
    std::uint32_t queue_{0};
    bool draining_{false};
    std::vector<base::attempt_id> attempts_; ///< All that the engine holds.
};

/// One change of the prefix cache of an engine.
struct cache_change {
    std::uint64_t sequence_{0};
    std::uint64_t prefix_{0}; ///< As in `placement_request::prefix_hashes_`.
    bool added_{true};
};

/// Reply of an engine to `GET /v1/cache_events`. Skipped sequence numbers mean
/// that events were lost.
struct cache_events {
    base::upstream_name engine_;
    std::vector<cache_change> changes_;
};

/// The complete engine set of the cell; engines not listed are removed.
struct engines_changed {
    std::vector<engine_description> engines_;
};

/// The engine process crashed. The engine receives work again after a report
/// that was taken after the crash.
struct engine_crashed {
    base::upstream_name engine_;
};

/// Membership declared the entry dead. Its attempts are cancelled now, and
/// later whenever a load report lists them.
struct entry_dead {
    base::instance_id instance_;
};

/// This entry became the owner of the cell.
struct became_owner {};

/// Another entry became the owner of the cell. All state is dropped, and queued
/// requests are refused with `not_owner`.
struct lost_ownership {};

struct tick {};

using event = std::variant<entry_message,
                           load_report,
                           cache_events,
                           engines_changed,
                           engine_crashed,
                           entry_dead,
                           became_owner,
                           lost_ownership,
                           tick>;

struct send_to_entry {
    base::instance_id to_;
    to_entry message_;
};

/// Sends `POST /v1/cancel` to the engine and repeats it until it succeeds.
struct cancel_attempts {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// Publishes the headroom of the cell by gossip. `version_` grows with each
/// action.
struct publish_headroom {
    base::cell_name cell_;
    std::uint64_t version_{0};
    std::uint32_t free_decode_slots_{0};
    std::uint32_t queued_{0};
};

/// An engine that was considered in a decision; a lower score is better. The
/// score of a prefill engine is the predicted time until the prefill ends, in
/// microseconds. That of a decode engine is the used share of its batch, in
/// thousandths.
struct candidate {
    base::upstream_name engine_;
    std::int64_t score_{0}; ///< Unit: see above.
};

enum class decision_kind : std::uint8_t {
    grant,
    bind,
    queue,
    refuse,
    expire, ///< Refused after a wait in the queue.
};

/// One structured log line. `choice_` is empty if no engine was chosen.
struct decision_record {
    base::attempt_id attempt_;
    decision_kind kind_{decision_kind::grant};
    std::vector<candidate> candidates_;
    base::upstream_name choice_;
    std::string_view reason_;                     ///< A string literal.
    base::microseconds predicted_first_token_{0}; ///< From now.
};

/// Proposes a role change to the `orders` library, at most once per
/// `scheduler_settings::role_change_pause_` and never for the last engine of a
/// pool.
struct propose_role_change {
    base::upstream_name engine_;
    engine_role role_{engine_role::decode}; ///< The new role.
    std::string_view reason_;
};

using action = std::variant<send_to_entry,
                            cancel_attempts,
                            publish_headroom,
                            decision_record,
                            propose_role_change>;

} // namespace pimentoferry::placement

#endif
