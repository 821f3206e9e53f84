/// At-most-once execution of non-idempotent calls, for one entry.
///
/// Joins both sides: the claimant of the calls that this entry took, and the
/// owner of the shards of keys that this entry holds. It has no sockets, no
/// threads and no clock; messages to itself never leave it.
///
///     once::once_service once{settings, instance};
///     perform(once.handle(once::view_changed{live, owners}, now));
///
///     // A caller's call, with the key from parse_idempotency_key:
///     perform(once.handle(once::call_arrived{request, key, body_hash}, now));
///     // ... one of these actions follows, at once or later:
///     //   send_call      send it upstream once, then report its outcome:
///     once.handle(once::upstream_answered{attempt, result}, now);
///     once.handle(once::upstream_not_reached{attempt}, now);  // no byte sent
///     once.handle(once::upstream_answer_lost{attempt}, now);  // may have run
///     //   replay_result  answer the caller with the stored result
///     //   refuse_call    answer the caller with the refusal
///
///     // Peers and store:
///     perform(once.handle(once::owner_message_received{from, msg}, now));
///     perform(once.handle(once::entry_message_received{from, msg}, now));
///     perform(once.handle(once::store_answered{result}, now));
///
///     // Timer, at next_wakeup() and at least once a second:
///     perform(once.handle(once::tick{wall_now}, now));
///
/// `perform` executes every action of the returned list in order. After
/// `upstream_answered` the daemon answers the caller itself, without waiting
/// for the record; after the other two outcomes it waits for `refuse_call`.
/// Actions of the other libraries with store operations need tokens of their
/// own: tokens are unique within one `once_service` only.
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
    /// `instance` must be new at each start of the process: attempts of an
    /// earlier run are never taken up again.
    once_service(const settings& settings, base::instance_id instance);

    /// Handles one event; the actions are to be performed in order. `now` is
    /// the steady clock and never runs back.
    std::vector<action> handle(const event& event, base::time_point now);

    /// When `tick` is due next; none if nothing waits for time to pass.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

    /// Shards that this entry owns, ready to judge claims.
    [[nodiscard]] std::vector<shard_number> owned_shards() const;

    /// True when no shard is held, no call is open, and no report or abandon
    /// waits for its confirmation: the process may end.
    [[nodiscard]] bool drained() const;

    /// Calls, reports and abandons of this entry that are not settled.
    [[nodiscard]] std::size_t open_calls() const;

    /// Records that the owned shards hold in memory.
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
