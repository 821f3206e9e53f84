/// Choice among the replicas of a plain service by what requests show.
///
/// Health answers may be false either way, so a replica is judged by its own
/// answers: a decaying score of failures and a decaying mean of the time that
/// an answer takes. Among the replicas that are fit, one in the own failure
/// domain comes first, then the one with the fewest calls in flight. A replica
/// that is not fit still gets a call now and then, so that its recovery is
/// noticed.
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
    rejected, ///< Full; the replica said that it did not run the call.
    failed,   ///< No whole answer, or an error of the replica.
    abandoned ///< Ended for a reason that says nothing about the replica.
};

class replica_picker {
public:
    explicit replica_picker(std::uint64_t seed) : random_(seed) {}

    /// A replica outside `tried`; null when there is none. Only a call that
    /// may be repeated is used to try a replica that is not fit.
    const instance* choose(const std::vector<const instance*>& candidates,
                           const std::set<base::upstream_name>& tried,
                           const base::failure_domain& own_domain,
                           bool may_repeat,
                           base::time_point now);

    void started(const base::upstream_name& id);
    void ended(const base::upstream_name& id,
               call_result result,
               base::milliseconds took,
               base::time_point now);

    /// Forgets replicas that are not among `known`.
    void retain(const std::set<base::upstream_name>& known);

    /// Decaying share of failed calls, 0 to 1.
    double failure_score(const base::upstream_name& id,
                         base::time_point now) const;

private:
    struct record {
        std::uint32_t in_flight_{0};
        double failures_{0}; ///< At `updated_`.
        double mean_ms_{0};  ///< Of answered calls; 0 before the first.
        base::time_point updated_;
        base::time_point full_until_; ///< After a rejection.
        base::time_point next_trial_; ///< Of a replica that is not fit.
    };

    bool is_fit(const instance& candidate,
                double usual_ms,
                base::time_point now) const;
    double cost(const instance& candidate,
                const base::failure_domain& own_domain,
                base::time_point now);

    std::map<base::upstream_name, record> records_;
    std::mt19937_64 random_;
};

} // namespace pimentoferry::routing

#endif
