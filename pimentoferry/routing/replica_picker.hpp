/// Chooses a replica of a plain service by the results of earlier calls.
///
/// A health check may pass for a failing replica and fail for a working one, so
/// a replica is rated by the results of its calls: a decaying failure score and
/// a decaying mean of the response time. Among the healthy replicas, one in the
/// gateway's own failure domain is preferred, then the one with the fewest
/// calls in flight. An unhealthy replica still gets a probe call from time to
/// time, so that its recovery is noticed.
///
/// A replica that refuses connections has ended, although its registration may
/// last for some seconds. It is not chosen for a pause that grows with each
/// refusal; after that one call tries it.
///
///     const auto* chosen =
///         picker.choose(candidates, tried, domain, may_repeat, now);
///     picker.started(chosen->id_);
///     picker.ended(chosen->id_, call_result::answered, took, now);
#ifndef PIMENTOFERRY_ROUTING_REPLICA_PICKER_HPP
#define PIMENTOFERRY_ROUTING_REPLICA_PICKER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <vector>

namespace pimentoferry::routing {

enum class call_result : std::uint8_t {
    answered,
    rejected, ///< Full; the replica reported that it did not run the call.
    failed,   ///< No complete response, or an error of the replica.
    abandoned ///< Ended for a reason that says nothing about the replica.
};

class replica_picker {
public:
    explicit replica_picker(std::uint64_t seed) : random_(seed) {}

    /// Returns a replica outside `tried` that does not refuse connections; null
    /// if there is none. Only a call
    /// that may be repeated is used to probe an unhealthy replica.
    const instance* choose(const std::vector<const instance*>& candidates,
                           const std::set<base::upstream_name>& tried,
                           const base::failure_domain& own_domain,
                           bool may_repeat,
                           base::time_point now);

    /// The replicas among which a choice has to be made: healthy ones that do
    /// not refuse connections, or one unhealthy replica that is due for a probe
    /// or the only one left.
    std::vector<const instance*>
    eligible(const std::vector<const instance*>& candidates,
             const std::set<base::upstream_name>& tried,
             bool may_repeat,
             base::time_point now);

    /// Whether `chosen`, out of `candidates`, is expected to serve a call: it
    /// is healthy and has not rejected a call as full just now.
    bool accepts(const instance& chosen,
                 const std::vector<const instance*>& candidates,
                 base::time_point now) const;

    /// Records that a call was sent to the replica.
    void started(const base::upstream_name& id);
    /// Records the result of a started call and its duration.
    void ended(const base::upstream_name& id,
               call_result result,
               base::milliseconds duration,
               base::time_point now);

    /// Records that the replica refused a connection, to this gateway or to
    /// another one. Returns whether that is news.
    bool connection_refused(const base::upstream_name& id,
                            base::time_point now);

    /// Whether connections to the replica were refused just now.
    bool refuses(const base::upstream_name& id, base::time_point now) const;

    /// Whether a call that may end the replica that runs it, out of
    /// `candidates`, would put the last running one at risk while others have
    /// ended.
    bool is_last_running(const std::vector<const instance*>& candidates) const;

    /// Erases the records of replicas that are not in `replicas` and have no
    /// call in flight.
    void retain(const std::set<base::upstream_name>& replicas);

    /// Decaying share of failed calls, from 0 to 1.
    double failure_score(const base::upstream_name& id,
                         base::time_point now) const;

private:
    struct record {
        std::uint32_t in_flight_{0};
        double failures_{0}; ///< Failure score at `updated_`.
        /// Mean response time of answered calls; 0 before the first.
        double mean_ms_{0};
        base::time_point updated_;
        base::time_point full_until_;   ///< After a rejection.
        base::time_point next_probe_;   ///< Of an unhealthy replica.
        std::uint32_t refusals_{0};     ///< Of connections, in a row.
        base::time_point unused_until_; ///< After a refusal.
    };

    double
    fastest_mean_ms(const std::vector<const instance*>& candidates) const;
    bool is_healthy(const instance& candidate,
                    double fastest_ms,
                    base::time_point now) const;
    double cost(const instance& candidate,
                const base::failure_domain& own_domain,
                base::time_point now);

    std::map<base::upstream_name, record> records_;
    std::mt19937_64 random_;
};

} // namespace pimentoferry::routing

#endif
