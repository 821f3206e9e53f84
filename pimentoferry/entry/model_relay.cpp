#include "pimentoferry/entry/model_relay.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/http/sse.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <limits>
#include <ranges>

namespace pimentoferry::entry {

using requests::engine_failure;

namespace {

// The request table enforces the deadlines of section 12; this limit only
// bounds a call whose table entry has been removed.
constexpr std::chrono::seconds max_engine_call_time{60};
// A stream without data for this long is reported as timed out. The
// slowest accepted pace is one token per 74 ms.
constexpr base::milliseconds stream_idle_timeout{5000};

http::call_options engine_options(std::shared_ptr<http::cancellation> cancel) {
    http::call_options options;
    options.deadline_ = base::clock::now() + max_engine_call_time;
    options.gap_timeout_ = stream_idle_timeout;
    options.cancel_ = std::move(cancel);
    return options;
}

} // namespace

model_relay::model_relay(traffic_context& traffic,
                         http::exchange& call,
                         model_request request)
    : traffic_(traffic), call_(call), request_(std::move(request)),
      arrival_time_(base::clock::now()), inbox_(traffic.io_),
      call_ended_(traffic.io_) {}

void model_relay::deliver(request_command command) {
    inbox_.deliver(std::move(command));
}

http::awaitable<void> model_relay::run() {
    const auto request = request_.arrival_.request_;
    const http::subscription disconnect_subscription{
        call_.caller_gone(), [this] { inbox_.deliver(caller_disconnected{}); }};
    traffic_.report_(requests::event{request_.arrival_});
    std::optional<request_command> last;
    bool disconnected = false;
    while (!last && !disconnected) {
        const inbox_message next = co_await inbox_.next();
        disconnected = std::holds_alternative<caller_disconnected>(next);
        if (disconnected) {
            break;
        }
        const auto& command = std::get<request_command>(next);
        std::visit(
            base::overloaded{
                [&](const requests::refuse&) { last = command; },
                [&](const requests::complete_response&) { last = command; },
                [&](const auto& action) { start_call(action); }},
            command);
    }
    if (disconnected) {
        traffic_.report_(
            requests::event{requests::caller_disconnected{request}});
        log_info("caller_gone", {{"request", log_id(request)}});
    }
    co_await cancel_open_calls();
    if (last && std::holds_alternative<requests::refuse>(*last)) {
        co_await send_refusal(std::get<requests::refuse>(*last).refusal_);
    } else if (last) {
        co_await send_completion();
    }
}

template <class Work>
void model_relay::spawn(const call_key& key, Work work) {
    auto cancel = std::make_shared<http::cancellation>();
    const auto entry = open_calls_.emplace(key, cancel);
    auto self = shared_from_this();
    boost::asio::co_spawn(
        traffic_.io_,
        [work = std::move(work), options = engine_options(cancel)] {
            return work(options);
        },
        [self, entry](const std::exception_ptr&) {
            self->open_calls_.erase(entry);
            self->call_ended_.wake();
        });
}

void model_relay::start_call(const requests::start_prefill& action) {
    spawn({action.engine_, action.attempt_},
          [this, action](const http::call_options& options) {
              return prefill(action, options);
          });
}

void model_relay::start_call(const requests::start_import& action) {
    spawn({action.decode_, action.attempt_},
          [this, action](const http::call_options& options) {
              return import(action, options);
          });
}

void model_relay::start_call(const requests::start_decode& action) {
    spawn({action.engine_, action.attempt_},
          [this, action](const http::call_options& options) {
              return decode(action, options);
          });
}

void model_relay::close_call(const base::upstream_name& engine,
                             base::attempt_id attempt) {
    const auto [first, last] = open_calls_.equal_range({engine, attempt});
    for (const auto& call : std::ranges::subrange(first, last)) {
        call.second->request();
    }
}

http::awaitable<void> model_relay::cancel_open_calls() {
    for (const auto& call : open_calls_) {
        call.second->request();
    }
    while (!open_calls_.empty()) {
        co_await call_ended_.wait();
    }
}

std::optional<base::endpoint>
model_relay::address_of(const base::upstream_name& engine) const {
    const auto* upstream = find_upstream(*traffic_.snapshot_, engine);
    const bool usable =
        upstream != nullptr && !traffic_.engines_.blocked(engine);
    return usable ? std::optional{upstream->address_} : std::nullopt;
}

engine_failure model_relay::log_failure(const base::upstream_name& engine,
                                        const http::call_failure& failure) {
    const auto outcome = failure_of(failure);
    log_failure(engine, outcome, std::string{to_string(failure.kind_)},
                failure.sent_);
    return outcome;
}

engine_failure model_relay::log_failure(const base::upstream_name& engine,
                                        engine_failure outcome,
                                        std::string failure,
                                        bool sent) {
    log_info("engine_call_failed",
             {{"request", log_id(request_.arrival_.request_)},
              {"engine", engine.value_},
              {"failure", std::move(failure)},
              {"sent", sent ? "yes" : "no"},
              {"outcome", std::string{to_string(outcome)}},
              {"position", std::to_string(position_)}});
    return outcome;
}

engine_failure model_relay::log_unavailable(const base::upstream_name& engine) {
    const bool blocked = traffic_.engines_.blocked(engine);
    return log_failure(engine, engine_failure::not_sent,
                       blocked ? "crash_not_handled" : "unknown_engine", false);
}

std::optional<engine_failure>
model_relay::log_status(const base::upstream_name& engine, int status) {
    const auto failure = failure_of_status(status);
    if (failure) {
        log_failure(engine, *failure, "status_" + std::to_string(status), true);
    }
    return failure;
}

http::awaitable<std::variant<http::response, engine_failure>>
model_relay::call_engine(base::upstream_name engine,
                         http::request call,
                         http::call_options options) {
    const auto address = address_of(engine);
    if (!address) {
        co_return log_unavailable(engine);
    }
    auto result = co_await traffic_.client_.call(*address, std::move(call),
                                                 std::move(options));
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        const auto outcome = log_failure(engine, *failure);
        traffic_.engines_.call_failed(engine, *address, *failure);
        co_return outcome;
    }
    traffic_.engines_.call_answered(engine);
    auto& answer = std::get<http::response>(result);
    if (const auto failure = log_status(engine, answer.status_)) {
        co_return *failure;
    }
    co_return std::move(answer);
}

http::awaitable<void> model_relay::prefill(requests::start_prefill action,
                                           http::call_options options) {
    auto call = prefill_call(action.attempt_, request_.engine_);
    const auto result = co_await call_engine(action.engine_, std::move(call),
                                             std::move(options));
    if (const auto* failure = std::get_if<engine_failure>(&result)) {
        traffic_.report_(requests::event{
            requests::prefill_failed{action.attempt_, *failure}});
        co_return;
    }
    const auto answer =
        parse_prefill_answer(std::get<http::response>(result).body_);
    if (!answer) {
        log_failure(action.engine_, engine_failure::error, "malformed_prefill",
                    true);
        traffic_.report_(requests::event{
            requests::prefill_failed{action.attempt_, engine_failure::error}});
        co_return;
    }
    prompt_tokens_ = answer->prompt_tokens_;
    traffic_.report_(requests::event{requests::prefill_done{
        action.attempt_, answer->handle_, answer->prompt_tokens_,
        answer->cached_tokens_}});
}

http::awaitable<void> model_relay::import(requests::start_import action,
                                          http::call_options options) {
    const auto source = address_of(action.prefill_);
    engine_failure failure = engine_failure::not_sent;
    if (source) {
        auto call = import_call(action, *source);
        const auto result = co_await call_engine(
            action.decode_, std::move(call), std::move(options));
        const auto* failed = std::get_if<engine_failure>(&result);
        if (failed == nullptr) {
            traffic_.report_(requests::event{
                requests::import_done{action.attempt_, action.decode_}});
            co_return;
        }
        failure = *failed;
    } else {
        log_unavailable(action.prefill_);
    }
    traffic_.report_(requests::event{
        requests::import_failed{action.attempt_, failure, action.decode_}});
}

http::awaitable<void> model_relay::decode(requests::start_decode action,
                                          http::call_options options) {
    const auto attempt = action.attempt_;
    const auto failure =
        co_await relay_stream(std::move(action), std::move(options));
    if (failure) {
        traffic_.report_(requests::event{
            requests::stream_broken{attempt, position_, *failure}});
    } else {
        traffic_.report_(
            requests::event{requests::stream_ended{attempt, position_}});
    }
}

http::awaitable<std::optional<engine_failure>>
model_relay::relay_stream(requests::start_decode action,
                          http::call_options options) {
    const auto address = address_of(action.engine_);
    if (!address) {
        co_return log_unavailable(action.engine_);
    }
    // The body is relayed event by event, so its total size is not bounded.
    options.body_limit_bytes_ = std::numeric_limits<std::size_t>::max();
    auto call = decode_call(action, request_.engine_);
    auto opened = co_await traffic_.client_.open(*address, std::move(call),
                                                 std::move(options));
    if (const auto* failure = std::get_if<http::call_failure>(&opened)) {
        const auto outcome = log_failure(action.engine_, *failure);
        traffic_.engines_.call_failed(action.engine_, *address, *failure);
        co_return outcome;
    }
    traffic_.engines_.call_answered(action.engine_);
    auto& answer = std::get<http::open_answer>(opened);
    if (const auto failure =
            log_status(action.engine_, answer.head().status_)) {
        co_return *failure;
    }
    const auto failure = co_await relay_events(answer, action);
    if (failure == engine_failure::broken) {
        traffic_.engines_.call_failed(action.engine_, *address,
                                      {http::failure_kind::broken, true});
    }
    co_return failure;
}

http::awaitable<std::optional<engine_failure>>
model_relay::relay_events(http::open_answer& answer,
                          const requests::start_decode& action) {
    const auto& engine = action.engine_;
    http::event_reader reader{answer};
    bool first = true;
    while (true) {
        const auto next = co_await reader.next();
        if (const auto* failure = std::get_if<http::call_failure>(&next)) {
            co_return log_failure(engine, *failure);
        }
        if (std::holds_alternative<http::body_end>(next)) {
            co_return log_failure(engine, engine_failure::broken, "ended_early",
                                  true);
        }
        const auto& data = std::get<http::sse_event>(next).data_;
        if (data == stream_end_data) {
            co_return std::nullopt;
        }
        const auto token = parse_token(data);
        // Skipping a position would give the caller an answer that differs from
        // the engine's.
        if (!token || token->position_ > position_) {
            co_return log_failure(engine, engine_failure::error,
                                  token ? "token_missing" : "malformed_token",
                                  true);
        }
        if (first) {
            first = false;
            traffic_.report_(
                requests::event{requests::first_token{action.attempt_}});
        }
        if (token->position_ == position_ && !co_await relay_token(*token)) {
            co_return log_failure(engine, engine_failure::broken,
                                  "caller_write_failed", true);
        }
    }
}

http::awaitable<bool> model_relay::relay_token(token_event token) {
    const auto now = base::clock::now();
    const auto since = position_ == 0 ? arrival_time_ : last_token_time_;
    const auto time =
        std::chrono::duration_cast<base::milliseconds>(now - since);
    if (position_ == 0) {
        traffic_.metrics_.observe_first_token(time);
    } else {
        traffic_.metrics_.observe_token_gap(time);
    }
    last_token_time_ = now;
    traffic_.metrics_.count_tokens(1);
    ++position_;
    if (!request_.stream_) {
        buffered_text_ += token.text_;
        co_return true;
    }
    if (!call_.begun()) {
        http::response_head head;
        head.fields_.push_back({"Content-Type", "text/event-stream"});
        co_await call_.begin_stream(head);
    }
    const auto event = http::write_sse(
        http::completion_chunk(request_.completion_context_, token.text_));
    const auto result = co_await call_.write(event);
    co_return result == http::write_result::written;
}

http::awaitable<void> model_relay::send_refusal(base::refusal refusal) {
    const auto request = request_.arrival_.request_;
    if (!call_.begun()) {
        co_await refuse_call(traffic_, call_, request, std::move(refusal));
        co_return;
    }
    traffic_.metrics_.count_refusal(refusal.code_);
    log_info("stream_error", {{"request", log_id(request)},
                              {"code", std::string{to_string(refusal.code_)}},
                              {"position", std::to_string(position_)}});
    const auto context = problem_context_of(traffic_, refusal, request);
    const auto event = http::problem_event(refusal, context);
    co_await call_.write(event);
    co_await call_.end_stream();
}

http::awaitable<void> model_relay::send_completion() {
    if (!request_.stream_) {
        const http::completion_usage usage{prompt_tokens_, position_};
        const auto answer = http::json_response(
            200, http::completion_answer(request_.completion_context_,
                                         buffered_text_, usage));
        co_await call_.respond(answer);
        co_return;
    }
    if (!call_.begun()) {
        http::response_head head;
        head.fields_.push_back({"Content-Type", "text/event-stream"});
        co_await call_.begin_stream(head);
    }
    const auto end = http::write_sse(stream_end_data);
    co_await call_.write(end);
    co_await call_.end_stream();
}

} // namespace pimentoferry::entry
