/// Events and actions of the cell scheduler.
///
/// The daemon turns peer frames, load reports and timers into events and
/// carries out the actions in the order in which they are returned.
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

/// One engine of the cell by the state in force.
struct engine_description {
    base::upstream_name engine_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    bool leaving_{false};        ///< Receives no new work.
    std::uint32_t slots_{0};     ///< Requests that the engine runs at once.
    std::uint32_t kv_blocks_{0}; ///< KV memory, 1,000 tokens each; 0: unknown.
};

/// A message of an entry; `from_` is the instance that sent the frame.
struct entry_message {
    base::instance_id from_;
    to_owner message_;
};

/// `GET /v1/load` of an engine.
struct load_report {
    base::upstream_name engine_;
    base::milliseconds age_{0}; ///< Time since the state it describes.
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

/// `GET /v1/cache_events` of an engine; a jump in the sequence is a gap.
struct cache_events {
    base::upstream_name engine_;
    std::vector<cache_change> changes_;
};

/// The whole engine set of the cell; engines that are missing are removed.
struct engines_changed {
    std::vector<engine_description> engines_;
};

/// The engine process is gone. It receives work again after its next report
/// that is not older than the crash.
struct engine_crashed {
    base::upstream_name engine_;
};

/// The entry is dead by membership. Its attempts are cancelled, now and
/// whenever a load report lists them.
struct entry_dead {
    base::instance_id instance_;
};

/// This entry owns the cell from now on.
struct became_owner {};

/// Another entry owns the cell: all state is dropped, and queued requests are
/// refused with `not_owner`.
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

/// `POST /v1/cancel` at the engine, repeated until it is answered.
struct cancel_attempts {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// Headroom of the cell for gossip; `version_` grows with each.
struct publish_headroom {
    base::cell_name cell_;
    std::uint64_t version_{0};
    std::uint32_t free_decode_slots_{0};
    std::uint32_t queued_{0};
};

/// An engine that was weighed in a decision; a lower score is better. For a
/// prefill it is the predicted time to its end, for a decode the used share
/// of the batch in thousandths.
struct candidate {
    base::upstream_name engine_;
    std::int64_t score_{0}; ///< Microseconds or thousandths.
};

enum class decision_kind : std::uint8_t {
    grant,
    bind,
    queue,
    refuse,
    expire, ///< Refused after waiting in the queue.
};

/// One structured log line. `choice_` is empty where nothing was chosen.
struct decision_record {
    base::attempt_id attempt_;
    decision_kind kind_{decision_kind::grant};
    std::vector<candidate> candidates_;
    base::upstream_name choice_;
    std::string_view reason_; ///< A fixed text with static lifetime.
    base::microseconds predicted_first_token_{0}; ///< From now.
};

/// Suggests a role change to the `orders` library. It is made at most once
/// in `scheduler_settings::role_change_pause_` and never for the last engine
/// of a pool.
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
