/// Serves the requests of callers: finds the route of each, and relays it or
/// refuses it.
#ifndef PIMENTOFERRY_GATEWAY_CALLER_SERVICE_HPP
#define PIMENTOFERRY_GATEWAY_CALLER_SERVICE_HPP

#include "pimentoferry/gateway/runtime.hpp"

#include <string>
#include <variant>

namespace pimentoferry::gateway {

class caller_service {
public:
    explicit caller_service(runtime& shared) : shared_(shared) {}

    http::awaitable<void> serve(http::exchange& exchange);

private:
    http::awaitable<void> route(http::exchange& exchange,
                                caller_request request,
                                base::time_point arrived);
    /// The service that is to serve the request, or why none is.
    http::awaitable<std::variant<base::service_name, base::refusal>>
    service_of(const caller_request& request,
               const routing::route_table& routes,
               const routing::route& route);
    /// What the quota of its account counts for the call; 0 without a quota.
    static double quota_cost_of(const routed_call& call);
    /// Refuses the call if its account has used its quota.
    http::awaitable<bool> within_quota(const routed_call& call, double cost);
    /// Refuses a request that has no route yet.
    http::awaitable<void> refuse_unrouted(http::exchange& exchange,
                                          std::string request,
                                          base::refusal refusal);

    runtime& shared_;
};

} // namespace pimentoferry::gateway

#endif
