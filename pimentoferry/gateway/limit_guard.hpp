/// Shares among the gateways which instances announced a limit.
///
/// An instance tells its limit to the gateways that it answers, but the limit
/// is one figure for all. A gateway sends a new limit to all others at once,
/// changes at most every 200 ms, and all it knows to one of them every 500 ms,
/// so that gateways that start or were cut off have it soon.
/// `routing::announced_limits` orders the evidence.
///
/// The guard also sets the rates of `runtime::allowances_`: the gateway that
/// owns a service counts the requests to its limited instances for the fleet,
/// the others have a small share for the time in which the owner does not
/// answer.
#ifndef PIMENTOFERRY_GATEWAY_LIMIT_GUARD_HPP
#define PIMENTOFERRY_GATEWAY_LIMIT_GUARD_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/routing/announced_limits.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::gateway {

class limit_guard {
public:
    limit_guard(peers& peer_gateways, runtime& shared)
        : peers_(peer_gateways), shared_(shared) {}

    /// Takes note of what an answer of `instance` says. `sent_at`: when its
    /// request was sent, by `base::boot_now`.
    void answer_received(const routing::instance& instance,
                         const http::field_list& fields,
                         base::time_point sent_at);

    void receive(base::instance_id from, const heard_limits& message);

    /// The limit of an instance in requests a second, for log lines; "none"
    /// without one.
    std::string limit_text(const base::upstream_name& instance) const;

    /// The gateway that counts the requests to the instances of a service.
    base::instance_id owner_of(const base::service_name& service) const;

    /// Limited instances for which this gateway counts.
    std::vector<base::upstream_name> owned_instances() const;

    /// A gateway joined or left, so that owners and shares may have changed.
    void member_changed(base::time_point now);

    /// Must be called at least every 100 ms.
    void tick(base::time_point now);

private:
    routing::limit_change merge(const routing::announced_limit& heard,
                                std::string_view told_by);
    void send_changes(base::time_point boot_now);
    void update_allowances(base::time_point now);
    void update_fleet_size(base::time_point now);
    bool is_current(const routing::announced_limit& heard,
                    base::time_point now) const;
    void log_unreadable(const base::upstream_name& instance,
                        const std::string& text,
                        base::time_point now);

    peers& peers_;
    runtime& shared_;
    routing::announced_limits limits_;
    /// Instances with a change that the others have not been told yet.
    std::set<base::upstream_name> unsent_;
    /// Whether this gateway counts for the fleet, by limited instance.
    std::map<base::upstream_name, bool> counts_for_fleet_;
    /// The largest number of live gateways in recent time, and when it was
    /// seen.
    std::uint32_t largest_fleet_{0};
    base::time_point largest_fleet_at_;
    base::time_point next_exchange_;
    base::time_point next_changes_;
    base::time_point next_unreadable_line_;
};

} // namespace pimentoferry::gateway

#endif
