/// At-most-once execution of non-idempotent calls, for one entry.
///
/// Combines the two roles of an entry: the claimant of the calls that it
/// accepted, and the owner of the key shards that are assigned to it. Each call
/// is sent to an upstream at most once per idempotency key, and only after the
/// claim of its key is durable in the store. The class has no sockets, threads
/// or clock; a message from this entry to itself is handled without an action.
///
///     once::once_service once{settings, instance};
///     perform(once.handle(once::view_changed{live, owners}, now));
///
///     // A call with the key from parse_idempotency_key:
///     perform(once.handle(once::call_arrived{request, key, body_hash}, now));
///     // One of these actions is returned now or by a later event:
///     //   send_call      send it upstream once, then report its outcome:
///     once.handle(once::upstream_answered{attempt, result}, now);
///     once.handle(once::upstream_not_reached{attempt}, now);  // no byte sent
///     once.handle(once::upstream_answer_lost{attempt}, now);  // may have run
///     //   replay_result  answer the caller with the stored result
///     //   refuse_call    answer the caller with the refusal
///
///     // Messages of peers and results of the store:
///     perform(once.handle(once::owner_message_received{from, msg}, now));
///     perform(once.handle(once::entry_message_received{from, msg}, now));
///     perform(once.handle(once::store_answered{result}, now));
///
///     // Timer, due at next_wakeup() and at least once a second:
///     perform(once.handle(once::tick{wall_now}, now));
///
/// `perform` executes every action of the returned list in order. After
/// `upstream_answered` the daemon answers the caller itself, without waiting
/// for the result to be stored; after the other two outcomes it waits for
/// `refuse_call`. Tokens of store operations are unique within one
/// `once_service` only, so a daemon that runs store operations of other
/// libraries must keep their tokens apart.
#ifndef PIMENTOFERRY_ONCE_ONCE_SERVICE_HPP
#define PIMENTOFERRY_ONCE_ONCE_SERVICE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/claimant.hpp"
#include "pimentoferry/once/context.hpp"
#include "pimentoferry/once/events.hpp"
#include "pimentoferry/once/shard_set.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace pimentoferry::once {

class once_service {
public:
    /// `instance` must be unique to this start of the process, because the
    /// attempts of an earlier run are never resumed.
    once_service(const settings& settings, base::instance_id instance);

    /// Handles one event and returns the actions to perform, in order. `now`
    /// is the time of the steady clock and never decreases.
    std::vector<action> handle(const event& event, base::time_point now);

    /// When the next `tick` is due; none if no timer is pending.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

    /// Shards that this entry owns and whose logs are open, so that it decides
    /// their claims.
    [[nodiscard]] std::vector<shard_number> owned_shards() const;

    /// True when no shard is owned, no call is open, and no report or abandon
    /// awaits its confirmation. The process may then exit.
    [[nodiscard]] bool drained() const;

    /// Calls, reports and abandons of this entry that are not yet complete.
    [[nodiscard]] std::size_t open_calls() const;

    /// Number of in-memory records of the owned shards.
    [[nodiscard]] std::size_t record_count() const;

private:
    void dispatch(const event& event, internal::context& ctx);
    void deliver_local(internal::context& ctx);

    internal::entry_view view_;
    internal::outbox out_;
    internal::claimant calls_;
    internal::shard_set shards_;
    base::wall_time wall_{};
};

} // namespace pimentoferry::once

#endif
