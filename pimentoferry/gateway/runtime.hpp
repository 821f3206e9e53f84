/// State that is shared by the requests in progress of a gateway.
#ifndef PIMENTOFERRY_GATEWAY_RUNTIME_HPP
#define PIMENTOFERRY_GATEWAY_RUNTIME_HPP

#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/registry.hpp"
#include "pimentoferry/gateway/request_account.hpp"
#include "pimentoferry/gateway/stream_placement.hpp"
#include "pimentoferry/gateway/upstream_protocol.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/http/exchange.hpp"
#include "pimentoferry/requests/allowance.hpp"
#include "pimentoferry/requests/retry_budget.hpp"
#include "pimentoferry/routing/replica_picker.hpp"
#include "pimentoferry/routing/requested_pauses.hpp"
#include "pimentoferry/routing/upstream_reach.hpp"
#include "pimentoferry/store/availability.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The part of the fleet's retry budget that one gateway may use. Gateways do
/// not coordinate their retries, so each has an equal share, and uses only half
/// of it: a restarted gateway does not know what it used before.
requests::retry_limits retry_share(const config::retry_settings& fleet,
                                   std::uint32_t gateways);

class peers;
class crash_guard;
class limit_guard;
class upstream_statements;
class call_permits;
class account_quotas;
class call_placement;
class origin_exchange;
class peer_relay;

struct runtime {
    runtime(boost::asio::io_context& io,
            const config::gateway_settings& settings,
            upstream_protocol protocol,
            registry_codec codec,
            std::uint64_t seed);

    /// The retry budget of a service.
    requests::retry_budget& retries(const base::service_name& service);

    /// Sets the number of live gateways in the fleet, which divides the
    /// constant part of the retry budget. A lower number than before is
    /// ignored.
    void update_fleet_size(std::uint32_t gateways);

    /// A random number in [0, 1).
    double random_fraction();

    /// The age of the view of the instances, for log lines: the time in ms
    /// since the store last answered this gateway or a peer, or "none".
    std::string view_age(base::time_point now) const;

    boost::asio::io_context& io_;
    config::gateway_settings settings_;
    const upstream_protocol protocol_;
    registry registry_;
    http::client client_;
    routing::replica_picker picker_;
    routing::requested_pauses pauses_;
    metrics metrics_;
    /// Counts the requests to instances that announced a limit.
    requests::allowance_table allowances_;
    peers* peers_{nullptr};
    stream_placement* streams_{nullptr};
    crash_guard* crashes_{nullptr};
    limit_guard* limits_{nullptr};
    upstream_statements* statements_{nullptr};
    call_permits* permits_{nullptr};
    account_quotas* quotas_{nullptr};
    call_placement* call_places_{nullptr};
    origin_exchange* origins_{nullptr};
    peer_relay* relay_{nullptr};
    const store::availability* store_answers_{nullptr};
    /// When the process ends at the latest; unset unless it drains.
    std::optional<base::time_point> ends_at_;
    std::uint32_t in_flight_{0};
    /// The ids of the requests in flight, for log lines.
    std::multiset<std::string> ids_in_flight_;

private:
    requests::retry_limits share() const;
    std::map<base::service_name, requests::retry_budget> retries_;
    /// The largest number of live gateways seen: gateways that are unreachable
    /// from here still retry.
    std::uint32_t largest_fleet_{0};
    std::mt19937_64 random_;
};

/// A caller's request in progress, and the route that it matched.
struct routed_call {
    http::exchange& exchange_;
    caller_request request_;
    std::shared_ptr<const routing::route_table> routes_;
    const routing::route& route_;
    base::service_name service_;
    base::time_point arrived_;
    /// When the caller gives up, or the route's timeout ends if that is sooner.
    base::time_point deadline_;
    /// Unset if the configuration has no accounts.
    std::optional<request_account> account_{};
    /// The addresses to which the request has been sent.
    std::set<base::endpoint> sent_to_{};

    /// Records a send to the address. Returns whether it needs a new
    /// connection, because the request was sent there before: all its sends
    /// bear the same id, so on one connection a copy of the first answer could
    /// not be told from the second one. Instances do not decide this; an
    /// address may be that of several.
    bool needs_fresh_connection(const base::endpoint& address) {
        return !sent_to_.insert(address).second;
    }

    /// What an upstream is told about the account, see `send_options`.
    std::optional<base::account_name> account_name() const;
    std::uint32_t priority() const { return priority_of(account_, route_); }
};

/// Whether the key of the request is still in force.
bool is_authorized(const runtime& shared, const routed_call& call);

std::string_view to_string(routing::call_kind kind);

/// Time from `now` until the deadline, never negative.
base::milliseconds time_left(const routed_call& call, base::time_point now);

/// Answers with a refusal, logs and counts it.
http::awaitable<void>
refuse(runtime& shared, const routed_call& call, base::refusal refusal);

/// Refuses a request whose key was taken away while it waited.
http::awaitable<void> refuse_unauthorized(runtime& shared,
                                          const routed_call& call);

/// Refuses a request that has crashed upstreams, see `crash_guard`. `left`: the
/// rest of its quarantine.
http::awaitable<void> refuse_quarantined(runtime& shared,
                                         const routed_call& call,
                                         base::milliseconds left);

/// Logs and counts the end of a request.
void record_end(runtime& shared,
                const routed_call& call,
                std::string_view outcome,
                int status);

} // namespace pimentoferry::gateway

#endif
