/// Places the calls of all gateways at the replicas of one plain service.
///
/// Load: many gateways before few places. A gateway that sees one or two calls
/// of its own chooses a replica nearly blindly, so calls wait at one replica
/// while another has places free. One gateway, the owner of the service, knows
/// the calls in progress at every replica and the results of all.
///
/// A replica gets as many calls as it has places, and a few more that wait
/// there while messages are on their way. Further calls wait at the owner:
///
/// * by priority, the most urgent first;
/// * within a priority those that can still meet their latency objective, then
///   the late ones, which are still owed an answer. Under overload, serving by
///   arrival alone would make every call late;
/// * among those, accounts share by least recent use, and the earliest
///   deadline goes first;
/// * one place in eight goes to the call that has waited longest, so that no
///   priority and no account waits for good.
///
/// A call goes to a replica of its own failure domain unless leaving pays, see
/// `domain_choice`. What leaves is what the domain cannot serve in time, and a
/// free place goes to a waiting call of its own domain first, so that a domain
/// that helps another one serves its own callers as before.
///
/// A call that is not expected to get a place in time is refused at once, with
/// the time at which the calls before it are expected to have left.
///
///     call_scheduler scheduler{seed};
///     scheduler.set_replicas(usable, now);
///     perform(scheduler.request(request, now));
///     perform(scheduler.released(message, now));
///     perform(scheduler.tick(now));   // about every 20 ms
///
/// It has no sockets, threads or clock; the caller passes the current time,
/// which must never decrease.
#ifndef PIMENTOFERRY_ROUTING_CALL_SCHEDULER_HPP
#define PIMENTOFERRY_ROUTING_CALL_SCHEDULER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/routing/call_messages.hpp"
#include "pimentoferry/routing/instance_table.hpp"
#include "pimentoferry/routing/replica_picker.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace pimentoferry::routing {

/// Totals for metrics and logs.
struct call_usage {
    std::size_t waiting_{0};
    std::size_t running_{0};
    std::size_t places_{0};
    base::milliseconds service_time_{0};
};

class call_scheduler {
public:
    /// Decisions on the call that was passed and on waiting ones.
    using decisions = std::vector<place_decision>;

    explicit call_scheduler(std::uint64_t seed) : picker_(seed) {}

    void set_domain_price(const domain_price& price) { price_ = price; }

    /// Replaces the set of replicas. Calls at a removed one stay recorded until
    /// they end.
    decisions set_replicas(const std::vector<const instance*>& replicas,
                           base::time_point now);

    /// Returns no decision on the call if it waits.
    decisions request(const place_request& call, base::time_point now);

    /// Records a call that was sent without a grant.
    void taken(const place_taken& call, base::time_point now);

    decisions released(const place_released& message, base::time_point now);

    /// A gateway left or crashed; its calls ended with it.
    decisions gateway_lost(base::instance_id gateway, base::time_point now);

    /// Decides on waiting calls, and forgets calls whose end was never
    /// reported.
    decisions tick(base::time_point now);

    call_usage usage() const;

private:
    struct waiting_call {
        place_request request_;
        base::time_point arrived_;
        base::time_point objective_;
        base::time_point expires_at_; ///< Latest start that is of use.
    };
    struct running_call {
        base::upstream_name replica_;
        base::time_point forgotten_at_;
    };
    /// Places granted to an account, decaying.
    struct account_use {
        double places_{0};
        base::time_point updated_;
    };

    std::size_t places() const;
    std::size_t running_at(const base::upstream_name& replica) const;
    /// Replicas with room for another call.
    std::vector<const instance*> open_replicas() const;
    double recent_use(std::uint64_t account, base::time_point now) const;
    /// Time until a call that comes after all waiting ones gets a place.
    fractional_ms expected_wait() const;
    std::vector<waiting_call>::iterator next_call(base::time_point now);
    struct chosen_replica {
        const instance* replica_{nullptr};
        leave_reason left_domain_{leave_reason::stays};
    };
    /// The replica that is expected to answer first, null if none is open.
    chosen_replica choose(const place_request& call, base::time_point now);
    fractional_ms service_time() const;
    fractional_ms completion_at(const instance& replica) const;
    bool is_late(const waiting_call& call, base::time_point now) const;
    /// A waiting call of the replica's own domain that is as urgent as `first`;
    /// else `first`.
    std::vector<waiting_call>::iterator
    own_call_before(std::vector<waiting_call>::iterator first,
                    const instance& replica,
                    base::time_point now);
    place_grant grant(const place_request& call,
                      const chosen_replica& chosen,
                      base::time_point now);
    place_refusal refuse(const place_request& call) const;
    void start(base::attempt_id attempt,
               const base::upstream_name& replica,
               base::milliseconds time_left,
               base::time_point now);
    void dispatch(decisions& made, base::time_point now);
    void observe_arrival(base::time_point now);

    replica_picker picker_;
    domain_price price_;
    std::vector<instance> replicas_;
    std::vector<waiting_call> waiting_;
    std::map<base::attempt_id, running_call> running_;
    std::map<base::upstream_name, std::size_t> running_by_replica_;
    std::map<std::uint64_t, account_use> accounts_;
    /// Mean duration of the recent answers of each replica.
    std::map<base::upstream_name, fractional_ms> paces_;
    /// Mean duration of answered calls.
    fractional_ms service_time_{0};
    /// Mean deviation from it. A call that would be in time only if it took no
    /// longer than the mean is late half of the time.
    fractional_ms deviation_{0};
    /// Calls a ms, decaying.
    double arrival_rate_{0};
    base::time_point last_arrival_;
    std::uint64_t queued_grants_{0};
};

} // namespace pimentoferry::routing

#endif
