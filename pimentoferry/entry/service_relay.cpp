#include "pimentoferry/entry/service_relay.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/http/proxy.hpp"
#include "pimentoferry/once/idempotency_key.hpp"

#include <algorithm>

namespace pimentoferry::entry {

namespace {

constexpr std::string_view service_prefix = "/svc/";

// Replicas tried for one call, so that retries to a failing service do not
// multiply its load.
constexpr int max_replica_attempts = 3;

base::wall_time wall_now() {
    return std::chrono::time_point_cast<base::milliseconds>(
        std::chrono::system_clock::now());
}

bool has_dot_segment(std::string_view path) {
    return path.find("/../") != std::string_view::npos ||
           path.find("/./") != std::string_view::npos ||
           path.ends_with("/..") || path.ends_with("/.");
}

base::refusal refusal_for_failure(const http::call_failure& failure) {
    base::refusal refusal;
    refusal.code_ = failure.kind_ == http::failure_kind::timed_out
                        ? base::refusal_code::upstream_timeout
                        : base::refusal_code::upstream_failed;
    if (!failure.sent_) {
        refusal.code_ = base::refusal_code::no_upstream;
        refusal.ran_ = base::ran_state::not_run;
    }
    refusal.retry_after_ = std::chrono::seconds{1};
    refusal.detail_ = "no replica answered the call: " +
                      std::string{to_string(failure.kind_)};
    return refusal;
}

} // namespace

std::optional<service_target> parse_service_target(std::string_view target) {
    if (!target.starts_with(service_prefix)) {
        return std::nullopt;
    }
    target.remove_prefix(service_prefix.size());
    const auto slash = target.find('/');
    // Dot segments could resolve to a path outside the declared prefix.
    if (slash == std::string_view::npos || slash == 0 ||
        has_dot_segment(http::path_of(target))) {
        return std::nullopt;
    }
    return service_target{
        base::service_name{std::string{target.substr(0, slash)}},
        std::string{target.substr(slash)}};
}

const config::service_call* find_service_call(const config::service& service,
                                              std::string_view method,
                                              std::string_view target) {
    const auto path = http::path_of(target);
    const config::service_call* found = nullptr;
    for (const auto& call : service.calls_) {
        const bool matches =
            call.method_ == method && path.starts_with(call.path_prefix_);
        const bool longer = found == nullptr || call.path_prefix_.size() >
                                                    found->path_prefix_.size();
        found = matches && longer ? &call : found;
    }
    return found;
}

service_relay::service_relay(traffic_context& traffic,
                             http::exchange& call,
                             service_request request)
    : traffic_(traffic), call_(call), request_(std::move(request)),
      inbox_(traffic.io_), cancel_(std::make_shared<http::cancellation>()) {}

void service_relay::deliver(call_command command) {
    inbox_.deliver(std::move(command));
}

http::awaitable<void> service_relay::run() {
    if (request_.declared_.idempotent_) {
        co_await run_idempotent();
    } else {
        co_await run_once();
    }
}

http::awaitable<void> service_relay::run_idempotent() {
    const http::subscription disconnect_subscription{
        call_.caller_gone(), [this] { cancel_->request(); }};
    auto result = co_await send_with_retries(true);
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        if (failure->kind_ != http::failure_kind::cancelled) {
            co_await refuse(refusal_for_failure(*failure));
        }
        co_return;
    }
    co_await respond(std::get<http::response>(std::move(result)));
}

http::awaitable<void> service_relay::run_once() {
    const auto key_text =
        http::find_field(call_.call().fields_, "Idempotency-Key");
    const auto key = once::parse_idempotency_key(
        request_.service_, request_.caller_, key_text, wall_now());
    const auto* parsed_key = std::get_if<once::key_id>(&key);
    if (parsed_key == nullptr) {
        co_await refuse(once::refusal_for(key));
        co_return;
    }
    const http::subscription disconnect_subscription{
        call_.caller_gone(), [this] { inbox_.deliver(caller_disconnected{}); }};
    const auto& call = call_.call();
    const auto target_hash = base::hash_combine(
        base::hash_bytes(call.method_), base::hash_bytes(request_.target_));
    const auto body_hash =
        base::hash_combine(target_hash, base::hash_bytes(call.body_));
    traffic_.report_(once::event{
        once::call_arrived{request_.request_, *parsed_key, body_hash}});
    while (!call_.begun()) {
        inbox_message next = co_await inbox_.next();
        if (std::holds_alternative<caller_disconnected>(next)) {
            traffic_.report_(
                once::event{once::caller_disconnected{request_.request_}});
            co_return;
        }
        co_await execute(std::get<call_command>(std::move(next)));
    }
}

http::awaitable<void> service_relay::execute(call_command command) {
    if (auto* send = std::get_if<once::send_call>(&command)) {
        co_await send_once(*send);
    } else if (auto* replay = std::get_if<once::replay_result>(&command)) {
        http::response stored;
        stored.status_ = replay->result_.status_;
        stored.fields_ = {{"Content-Type", replay->result_.content_type_},
                          {"Idempotency-Replayed", "true"}};
        stored.body_ = std::move(replay->result_.body_);
        co_await respond(std::move(stored));
    } else if (auto* refused = std::get_if<once::refuse_call>(&command)) {
        co_await refuse(std::move(refused->refusal_));
    }
}

// The call is not cancelled when its caller disconnects: the result is recorded
// and is replayed when the caller sends the same key again.
http::awaitable<void> service_relay::send_once(once::send_call command) {
    auto result = co_await send_with_retries(false);
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        if (failure->sent_) {
            traffic_.report_(
                once::event{once::upstream_answer_lost{command.attempt_}});
        } else {
            traffic_.report_(
                once::event{once::upstream_not_reached{command.attempt_}});
        }
        co_return;
    }
    auto& received = std::get<http::response>(result);
    once::stored_result stored;
    stored.status_ = static_cast<std::uint16_t>(received.status_);
    stored.content_type_ = http::find_field(received.fields_, "Content-Type");
    stored.body_ = received.body_;
    traffic_.report_(once::event{
        once::upstream_answered{command.attempt_, std::move(stored)}});
    co_await respond(std::move(received));
}

std::vector<replica> service_relay::candidates() const {
    const auto& routing = *traffic_.snapshot_->routing_;
    std::vector<replica> result;
    const auto names = routing.replicas_.find(request_.service_);
    if (names == routing.replicas_.end()) {
        return result;
    }
    for (const auto& name : names->second) {
        const auto& upstream = routing.state_.upstreams_.at(name);
        if (is_serving(*traffic_.snapshot_, upstream)) {
            result.push_back(
                {name, upstream.address_, upstream.failure_domain_});
        }
    }
    return result;
}

http::awaitable<service_relay::send_result>
service_relay::send_with_retries(bool idempotent) {
    send_result last_result =
        http::call_failure{http::failure_kind::unreachable};
    std::set<base::upstream_name> tried;
    bool any_sent = false;
    auto& budget = traffic_.retry_budgets_
                       .try_emplace(request_.service_, requests::retry_limits{})
                       .first->second;
    budget.note_request(base::clock::now());
    for (int i = 0; i < max_replica_attempts; ++i) {
        const auto chosen = traffic_.replicas_.choose(
            candidates(), tried, traffic_.failure_domain_, base::clock::now());
        if (!chosen || (i > 0 && !budget.take(base::clock::now()))) {
            break;
        }
        tried.insert(chosen->name_);
        last_result = co_await send_to(*chosen, idempotent);
        auto* failure = std::get_if<http::call_failure>(&last_result);
        if (failure == nullptr) {
            break;
        }
        any_sent = any_sent || failure->sent_;
        failure->sent_ = any_sent;
        const bool cancelled = failure->kind_ == http::failure_kind::cancelled;
        if (cancelled || (any_sent && !idempotent)) {
            break;
        }
    }
    co_return last_result;
}

http::awaitable<service_relay::send_result>
service_relay::send_to(replica chosen, bool idempotent) {
    http::call_options options;
    options.deadline_ = base::clock::now() + request_.declared_.timeout_;
    // The upstream may close a pooled connection while the call is in transit,
    // which leaves it unknown whether the call ran.
    options.fresh_connection_ = !idempotent;
    options.cancel_ = cancel_;
    auto call = http::forwarded_request(call_.call(), request_.target_);
    call.fields_.push_back({"X-Request-Id", log_id(request_.request_)});
    traffic_.replicas_.call_started(chosen.name_);
    auto result = co_await traffic_.client_.call(
        chosen.address_, std::move(call), std::move(options));
    const auto* failure = std::get_if<http::call_failure>(&result);
    const bool cancelled =
        failure != nullptr && failure->kind_ == http::failure_kind::cancelled;
    const bool failed = failure != nullptr && !cancelled;
    traffic_.replicas_.call_ended(chosen.name_, failed, base::clock::now());
    log_info("service_call",
             {{"request", log_id(request_.request_)},
              {"service", request_.service_.value_},
              {"replica", chosen.name_.value_},
              {"outcome", failure == nullptr
                              ? "answered"
                              : std::string{to_string(failure->kind_)}}});
    co_return result;
}

http::awaitable<void> service_relay::respond(http::response response) {
    const auto forwarded = http::forwarded_response(std::move(response));
    co_await call_.respond(forwarded);
}

http::awaitable<void> service_relay::refuse(base::refusal refusal) {
    co_await refuse_call(traffic_, call_, request_.request_,
                         std::move(refusal));
}

} // namespace pimentoferry::entry
