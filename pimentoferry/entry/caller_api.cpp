#include "pimentoferry/entry/caller_api.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/entry/model_relay.hpp"
#include "pimentoferry/entry/service_relay.hpp"
#include "pimentoferry/http/json.hpp"

#include <algorithm>

namespace pimentoferry::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_not_serving = 503;
constexpr base::milliseconds entry_list_lifetime{2000};
constexpr base::milliseconds max_control_pause{2000};

base::refusal not_run_refusal(base::refusal_code code, std::string detail) {
    return {code, base::ran_state::not_run, std::nullopt, std::move(detail)};
}

/// Counts one call of a caller in `traffic_context` for its own lifetime.
class in_flight_guard {
public:
    in_flight_guard(traffic_context& traffic, base::caller_name caller)
        : traffic_(traffic), caller_(std::move(caller)) {
        ++traffic_.caller_calls_in_flight_[caller_];
    }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    ~in_flight_guard() {
        const auto found = traffic_.caller_calls_in_flight_.find(caller_);
        if (--found->second == 0) {
            traffic_.caller_calls_in_flight_.erase(found);
        }
    }

private:
    traffic_context& traffic_;
    base::caller_name caller_;
};

using admission = std::variant<base::caller_name, base::refusal>;

/// Checks that the entry accepts work, authenticates the caller and applies its
/// limit of calls in flight.
admission admit(const traffic_context& traffic, const http::exchange& call) {
    const auto& state = *traffic.snapshot_;
    if (state.closed_) {
        return *state.closed_;
    }
    if (base::clock::now() - traffic.control_alive_time_.load() >
        max_control_pause) {
        auto refusal = not_run_refusal(base::refusal_code::isolated,
                                       "this entry was paused");
        refusal.retry_after_ = std::chrono::seconds{1};
        return refusal;
    }
    const auto& routing = *state.routing_;
    const auto caller = find_caller(
        routing, http::find_field(call.call().fields_, "Authorization"));
    if (!caller) {
        return not_run_refusal(base::refusal_code::unauthorized,
                               "the key in Authorization is not known");
    }
    const auto limit = routing.state_.callers_.at(*caller).max_in_flight_;
    const auto running = traffic.caller_calls_in_flight_.find(*caller);
    if (limit > 0 && running != traffic.caller_calls_in_flight_.end() &&
        running->second >= limit) {
        auto refusal =
            not_run_refusal(base::refusal_code::caller_limit,
                            "too many calls of this caller are running");
        refusal.retry_after_ = std::chrono::seconds{1};
        return refusal;
    }
    return *caller;
}

model_request make_model_request(traffic_context& traffic,
                                 const http::exchange& call,
                                 base::request_id id,
                                 const base::caller_name& caller,
                                 const resolved_deployment& resolved,
                                 http::completion_request parsed) {
    const auto& deployment = *resolved.deployment_;
    const auto limit = deployment.max_output_tokens_;
    model_request request;
    auto& arrival = request.arrival_;
    arrival.request_ = id;
    arrival.caller_ = caller;
    arrival.deployment_ = deployment.name_;
    arrival.cell_ =
        choose_cell(*traffic.snapshot_, deployment.name_, id.value_);
    const auto scope_hash =
        base::hash_combine(base::hash_bytes(caller.value_),
                           base::hash_bytes(deployment.name_.value_));
    arrival.fingerprint_ =
        base::hash_combine(scope_hash, base::hash_bytes(call.call().body_));
    arrival.prompt_tokens_ = estimate_tokens(parsed.prompt_);
    arrival.max_output_tokens_ =
        std::min(parsed.max_tokens_.value_or(limit), limit);
    arrival.prefix_hashes_ = prefix_hashes(parsed.prompt_);
    arrival.first_token_budget_ = deployment.patience_;
    arrival.priority_ = deployment.priority_;
    arrival.deterministic_ = deployment.deterministic_;
    request.engine_ = {resolved.target_, std::move(parsed.prompt_),
                       arrival.max_output_tokens_, deployment.priority_};
    request.completion_context_ = {parsed.kind_, log_id(id),
                                   deployment.name_.value_};
    request.stream_ = parsed.stream_;
    return request;
}

void log_arrival(const model_request& request) {
    const auto& arrival = request.arrival_;
    log_info("arrive",
             {{"request", log_id(arrival.request_)},
              {"caller", arrival.caller_.value_},
              {"deployment", arrival.deployment_.value_},
              {"cell", arrival.cell_.value_},
              {"prompt_tokens", std::to_string(arrival.prompt_tokens_)},
              {"max_tokens", std::to_string(arrival.max_output_tokens_)}});
}

http::awaitable<void> serve_model(traffic_context& traffic,
                                  http::exchange& call,
                                  base::request_id id,
                                  http::completion_kind kind) {
    traffic.metrics_.count_request("model");
    const auto admitted = admit(traffic, call);
    if (const auto* refusal = std::get_if<base::refusal>(&admitted)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    const auto& caller = std::get<base::caller_name>(admitted);
    auto parsed = http::parse_completion(kind, call.call().body_);
    if (const auto* refusal = std::get_if<base::refusal>(&parsed)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    auto& completion = std::get<http::completion_request>(parsed);
    // Keeps this snapshot alive: the thread may replace it while the request
    // runs.
    const auto state = traffic.snapshot_;
    const auto resolved =
        resolve_deployment(*state->routing_, completion.deployment_, caller);
    if (const auto* refusal = std::get_if<base::refusal>(&resolved)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    const auto& deployment = std::get<resolved_deployment>(resolved);
    auto request = make_model_request(traffic, call, id, caller, deployment,
                                      std::move(completion));
    log_arrival(request);
    const in_flight_guard guard{traffic, caller};
    const auto relay =
        std::make_shared<model_relay>(traffic, call, std::move(request));
    traffic.model_relays_.emplace(id, relay);
    co_await relay->run();
    traffic.model_relays_.erase(id);
}

std::variant<service_request, base::refusal>
resolve_service(const traffic_context& traffic,
                const http::exchange& call,
                base::request_id id,
                const base::caller_name& caller) {
    const auto target = parse_service_target(call.call().target_);
    if (!target) {
        return not_run_refusal(base::refusal_code::unknown_call,
                               "the path is not /svc/<service>/<path>");
    }
    const auto& services = traffic.snapshot_->routing_->state_.services_;
    const auto found = services.find(target->service_);
    if (found == services.end()) {
        return not_run_refusal(base::refusal_code::unknown_service,
                               "there is no service of this name");
    }
    if (!admits(found->second.callers_, caller)) {
        return not_run_refusal(base::refusal_code::forbidden,
                               "the service does not serve this caller");
    }
    const auto* declared =
        find_service_call(found->second, call.call().method_, target->target_);
    if (declared == nullptr) {
        return not_run_refusal(base::refusal_code::unknown_call,
                               "the service declares no such call");
    }
    return service_request{id, caller, target->service_, *declared,
                           target->target_};
}

http::awaitable<void> serve_service(traffic_context& traffic,
                                    http::exchange& call,
                                    base::request_id id) {
    traffic.metrics_.count_request("service");
    const auto admitted = admit(traffic, call);
    if (const auto* refusal = std::get_if<base::refusal>(&admitted)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    const auto& caller = std::get<base::caller_name>(admitted);
    auto resolved = resolve_service(traffic, call, id, caller);
    if (const auto* refusal = std::get_if<base::refusal>(&resolved)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    const in_flight_guard guard{traffic, caller};
    const auto relay = std::make_shared<service_relay>(
        traffic, call, std::get<service_request>(std::move(resolved)));
    traffic.service_relays_.emplace(id, relay);
    co_await relay->run();
    traffic.service_relays_.erase(id);
}

http::awaitable<void> serve_models(traffic_context& traffic,
                                   http::exchange& call,
                                   base::request_id id) {
    const auto admitted = admit(traffic, call);
    if (const auto* refusal = std::get_if<base::refusal>(&admitted)) {
        co_await refuse_call(traffic, call, id, *refusal);
        co_return;
    }
    const auto& caller = std::get<base::caller_name>(admitted);
    Json::Value body{Json::objectValue};
    body["object"] = "list";
    body["data"] = Json::Value{Json::arrayValue};
    const auto& state = traffic.snapshot_->routing_->state_;
    for (const auto& [name, deployment] : state.deployments_) {
        if (admits(deployment.callers_, caller)) {
            Json::Value model{Json::objectValue};
            model["id"] = name.value_;
            model["object"] = "model";
            body["data"].append(model);
        }
    }
    const auto answer = http::json_response(status_ok, http::write_json(body));
    co_await call.respond(answer);
}

http::awaitable<void> serve_entries(traffic_context& traffic,
                                    http::exchange& call) {
    Json::Value body{Json::objectValue};
    body["entries"] = Json::Value{Json::arrayValue};
    for (const auto& entry : traffic.snapshot_->entries_) {
        Json::Value item{Json::objectValue};
        item["address"] = base::to_string(entry.address_);
        item["weight"] = entry.weight_;
        body["entries"].append(item);
    }
    body["keep_ms"] = static_cast<Json::Int64>(entry_list_lifetime.count());
    const auto answer = http::json_response(status_ok, http::write_json(body));
    co_await call.respond(answer);
}

http::awaitable<void> serve_health(traffic_context& traffic,
                                   http::exchange& call) {
    const auto& state = *traffic.snapshot_;
    Json::Value body{Json::objectValue};
    body["status"] =
        state.closed_ ? std::string{to_string(state.closed_->code_)} : "ok";
    body["ticket"] = static_cast<Json::UInt64>(state.routing_->ticket_number_);
    const auto answer = http::json_response(
        state.closed_ ? status_not_serving : status_ok, http::write_json(body));
    co_await call.respond(answer);
}

} // namespace

http::awaitable<void> serve_caller(traffic_context& traffic,
                                   http::exchange& call) {
    const auto id = traffic.request_ids_.next();
    call.add_field("X-Request-Id", log_id(id));
    const auto& method = call.call().method_;
    const std::string path{http::path_of(call.call().target_)};
    const bool get = method == "GET" || method == "HEAD";
    if (method == "POST" && path == "/v1/completions") {
        co_await serve_model(traffic, call, id, http::completion_kind::plain);
    } else if (method == "POST" && path == "/v1/chat/completions") {
        co_await serve_model(traffic, call, id, http::completion_kind::chat);
    } else if (path.starts_with("/svc/")) {
        co_await serve_service(traffic, call, id);
    } else if (get && path == "/v1/models") {
        co_await serve_models(traffic, call, id);
    } else if (get && path == "/v1/entries") {
        co_await serve_entries(traffic, call);
    } else if (get && path == "/healthz") {
        co_await serve_health(traffic, call);
    } else {
        const auto refusal = not_run_refusal(base::refusal_code::unknown_call,
                                             "there is no such path or method");
        co_await refuse_call(traffic, call, id, refusal);
    }
}

} // namespace pimentoferry::entry
