#include "pimentoferry/gateway/caller_service.hpp"

#include "pimentoferry/gateway/account_quotas.hpp"
#include "pimentoferry/gateway/origin_exchange.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/plain_relay.hpp"
#include "pimentoferry/gateway/stream_relay.hpp"
#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <variant>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds no_configuration_retry_after{500};
constexpr base::milliseconds quota_unknown_retry_after{500};
// Callers that were refused together do not return together.
constexpr base::milliseconds quota_retry_spread{100};

base::refusal not_run(base::refusal_code code, std::string detail) {
    return {code, base::ran_state::not_run, std::nullopt, std::move(detail)};
}

/// Whether streams of the route are served by engines.
bool leads_to_engines(const routing::route_table& routes,
                      const routing::route& route) {
    return route.kind_ == routing::call_kind::stream &&
           std::ranges::any_of(route.services_, [&routes](const auto& share) {
               const auto* service = routes.find_service(share.service_);
               return service != nullptr && service->engine_;
           });
}

} // namespace

http::awaitable<void> caller_service::refuse_unrouted(http::exchange& exchange,
                                                      std::string request,
                                                      base::refusal refusal) {
    shared_.metrics_.count_refusal(to_string(refusal.code_));
    const auto routes = shared_.registry_.routes();
    log::log_info(
        "refuse",
        {{"request", request},
         {"code", std::string{to_string(refusal.code_)}},
         {"ran", std::string{to_string(refusal.ran_)}},
         {"configuration", routes ? std::to_string(routes->version()) : "none"},
         {"detail", refusal.detail_}});
    const auto answer = shared_.protocol_.write_refusal_(refusal);
    co_await exchange.respond(answer);
}

double caller_service::quota_cost_of(const routed_call& call) {
    const bool limited = call.account_ && call.account_->account_.quota_;
    return limited ? quota_cost(*call.account_->account_.quota_,
                                call.request_.prompt_)
                   : 0;
}

http::awaitable<bool> caller_service::within_quota(const routed_call& call,
                                                   double cost) {
    if (cost <= 0) {
        co_return true;
    }
    const auto decision =
        co_await shared_.quotas_->admit(call.account_->account_.name_, cost);
    if (const auto* exceeded = std::get_if<quota_exceeded>(&decision)) {
        const auto spread = std::chrono::duration_cast<base::milliseconds>(
            quota_retry_spread * shared_.random_fraction());
        base::refusal refusal{
            base::refusal_code::caller_limit, base::ran_state::not_run,
            exceeded->wait_ + spread, "the client account has used its quota"};
        co_await refuse(shared_, call, std::move(refusal));
        co_return false;
    }
    if (const auto* undecided = std::get_if<quota_undecided>(&decision)) {
        base::refusal refusal{base::refusal_code::quota_unknown,
                              base::ran_state::not_run,
                              quota_unknown_retry_after, undecided->reason_};
        co_await refuse(shared_, call, std::move(refusal));
        co_return false;
    }
    co_return true;
}

http::awaitable<void> caller_service::serve(http::exchange& exchange) {
    const auto arrived = base::clock::now();
    auto read = shared_.protocol_.read_request_(exchange.call());
    if (const auto* malformed = std::get_if<malformed_request>(&read)) {
        base::refusal refusal{base::refusal_code::malformed_request,
                              base::ran_state::not_run, std::nullopt,
                              malformed->detail_};
        std::string no_request_id = "none";
        co_await refuse_unrouted(exchange, std::move(no_request_id),
                                 std::move(refusal));
        co_return;
    }
    ++shared_.in_flight_;
    auto request = std::get<caller_request>(std::move(read));
    const auto id = shared_.ids_in_flight_.insert(request.id_);
    co_await route(exchange, std::move(request), arrived);
    shared_.ids_in_flight_.erase(id);
    --shared_.in_flight_;
}

http::awaitable<std::variant<base::service_name, base::refusal>>
caller_service::service_of(const caller_request& request,
                           const routing::route_table& routes,
                           const routing::route& route) {
    using code = base::refusal_code;
    if (route.closed_) {
        co_return not_run(code::configuration_unreadable,
                          "the route cannot be read from the configuration");
    }
    std::optional<base::service_name> service;
    if (request.last_event_ && leads_to_engines(routes, route)) {
        // A continued stream goes on where it began.
        const auto found =
            co_await shared_.origins_->find_service(route, request.resumes_);
        if (const auto* unknown = std::get_if<unknown_origin>(&found)) {
            co_return refusal_of(*unknown);
        }
        if (std::holds_alternative<former_service>(found)) {
            co_return not_run(code::no_upstream,
                              "the service that began the stream no longer "
                              "serves its route");
        }
        service = std::get<serving_service>(found).service_;
    } else if (const auto* chosen =
                   routing::choose_service(route, shared_.random_fraction())) {
        service = *chosen;
    }
    if (!service) {
        co_return not_run(code::no_upstream, "no service has a weight");
    }
    if (routes.is_closed(*service)) {
        co_return not_run(code::configuration_unreadable,
                          "the service cannot be read from the configuration");
    }
    co_return *service;
}

http::awaitable<void> caller_service::route(http::exchange& exchange,
                                            caller_request request,
                                            base::time_point arrived) {
    const auto routes = shared_.registry_.routes();
    if (!routes) {
        base::refusal refusal{
            base::refusal_code::no_configuration, base::ran_state::not_run,
            no_configuration_retry_after, "no configuration is known yet"};
        co_await refuse_unrouted(exchange, request.id_, std::move(refusal));
        co_return;
    }
    const auto* matched_route = routes->find(request.host_, request.path_);
    if (matched_route == nullptr) {
        const bool may_match = routes->source().has_unmatchable_route_;
        base::refusal refusal{
            may_match ? base::refusal_code::configuration_unreadable
                      : base::refusal_code::unknown_call,
            base::ran_state::not_run, std::nullopt,
            may_match ? "it may belong to a route that cannot be read"
                      : "no route has this host and path"};
        co_await refuse_unrouted(exchange, request.id_, std::move(refusal));
        co_return;
    }
    std::optional<request_account> account;
    if (const auto keys = shared_.registry_.account_keys()) {
        auto identified = identify(*keys, request.credential_, *matched_route);
        if (const auto* unauthorized =
                std::get_if<unauthorized_request>(&identified)) {
            base::refusal refusal{base::refusal_code::unauthorized,
                                  base::ran_state::not_run, std::nullopt,
                                  unauthorized->detail_};
            co_await refuse_unrouted(exchange, request.id_, std::move(refusal));
            co_return;
        }
        if (std::holds_alternative<closed_account>(identified)) {
            base::refusal refusal{
                base::refusal_code::configuration_unreadable,
                base::ran_state::not_run, std::nullopt,
                "the client account cannot be read from the configuration"};
            co_await refuse_unrouted(exchange, request.id_, std::move(refusal));
            co_return;
        }
        account = std::get<request_account>(std::move(identified));
    }
    const auto choice = co_await service_of(request, *routes, *matched_route);
    if (const auto* refusal = std::get_if<base::refusal>(&choice)) {
        co_await refuse_unrouted(exchange, request.id_, *refusal);
        co_return;
    }
    const auto& name = std::get<base::service_name>(choice);
    const auto* service = routes->find_service(name);
    const auto deadline =
        arrived + std::min(request.patience_, matched_route->timeout_);
    // It would be cut off when the process ends; another gateway can serve it.
    if (shared_.ends_at_ && deadline > *shared_.ends_at_) {
        base::refusal refusal{base::refusal_code::draining,
                              base::ran_state::not_run, base::milliseconds{0},
                              "the gateway stops before the deadline"};
        co_await refuse_unrouted(exchange, request.id_, std::move(refusal));
        co_return;
    }
    exchange.set_deadline(deadline);
    const bool is_engine_stream =
        service != nullptr && service->engine_ &&
        matched_route->kind_ == routing::call_kind::stream;
    routed_call call{
        exchange, std::move(request), routes, *matched_route, name, arrived,
        deadline, std::move(account)};
    if (shared_.relay_->should_relay(call) &&
        co_await shared_.relay_->relay(call)) {
        co_return;
    }
    const auto account_name = call.account_name();
    const double cost = quota_cost_of(call);
    if (!co_await within_quota(call, cost)) {
        co_return;
    }
    const bool ran = is_engine_stream
                         ? co_await relay_stream(shared_, std::move(call))
                         : co_await relay_plain(shared_, std::move(call));
    if (!ran && cost > 0) {
        shared_.quotas_->give_back(*account_name, cost);
    }
}

} // namespace pimentoferry::gateway
