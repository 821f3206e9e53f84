/// What the requests in progress of a gateway share.
#ifndef PIMENTOFERRY_GATEWAY_RUNTIME_HPP
#define PIMENTOFERRY_GATEWAY_RUNTIME_HPP

#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/registry.hpp"
#include "pimentoferry/gateway/stream_placement.hpp"
#include "pimentoferry/gateway/upstream_protocol.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/http/exchange.hpp"
#include "pimentoferry/requests/retry_budget.hpp"
#include "pimentoferry/routing/replica_picker.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The part of the fleet's retry budget that one gateway may use. Gateways do
/// not agree on who retries, so each takes an equal share, and only half of
/// it: a restarted gateway does not know what it used before.
requests::retry_limits retry_share(const config::retry_settings& fleet,
                                   std::uint32_t gateways);

struct runtime {
    runtime(boost::asio::io_context& io,
            const config::gateway_settings& settings,
            upstream_protocol protocol,
            registry_codec codec,
            std::uint64_t seed);

    /// The retry budget of a service.
    requests::retry_budget& retries(const base::service_name& service);

    /// The fleet has so many live gateways.
    void note_fleet(std::uint32_t gateways);

    /// A number from 0 up to but excluding 1.
    double random_point();

    boost::asio::io_context& io_;
    config::gateway_settings settings_;
    const upstream_protocol protocol_;
    registry registry_;
    http::client client_;
    routing::replica_picker picker_;
    metrics metrics_;
    stream_placement* streams_{nullptr};
    bool draining_{false};
    std::uint32_t in_flight_{0};

private:
    requests::retry_limits share() const;
    std::map<base::service_name, requests::retry_budget> retries_;
    /// The largest fleet seen: gateways that are cut off still retry.
    std::uint32_t gateways_{0};
    std::mt19937_64 random_;
};

/// A request of a caller in progress.
struct routed_call {
    http::exchange& exchange_;
    caller_request request_;
    std::shared_ptr<const routing::route_table> routes_;
    const routing::route& route_;
    base::service_name service_;
    base::time_point arrived_;
    /// An answer is due: the caller leaves, or the route's limit is reached.
    base::time_point due_;
};

std::string_view to_string(routing::call_kind kind);

/// Time from `now` until an answer is due, never negative.
base::milliseconds time_left(const routed_call& call, base::time_point now);

/// Answers with a refusal, logs and counts it.
http::awaitable<void>
refuse(runtime& shared, const routed_call& call, base::refusal refusal);

/// Logs and counts the end of a request.
void note_end(runtime& shared,
              const routed_call& call,
              std::string_view outcome,
              int status);

} // namespace pimentoferry::gateway

#endif
