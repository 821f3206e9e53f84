#include "standins/plain_service.hpp"

#include "standins/crash.hpp"

namespace pimentoferry::standins {

void plain_service::apply(const json& switches) {
    delay_ = milliseconds{number_or(switches, "delay_ms", delay_.count())};
    drop_answers_ = bool_or(switches, "drop_answers", drop_answers_);
    drop_next_ = number_or(switches, "drop_next", drop_next_);
    error_status_ = static_cast<unsigned>(
        number_or(switches, "error_status", error_status_));
    error_runs_ = bool_or(switches, "error_runs", error_runs_);
    crash_on_ = text_or(switches, "crash_on", crash_on_);
}

json plain_service::stats() const {
    return json{json::object{
        {"executed", json{executed_}},
        {"answers_dropped", json{answers_dropped_}},
        {"errors", json{errors_}},
    }};
}

json plain_service::executions() const {
    json::array list;
    for (const auto& [identity, count] : counts_) {
        const auto& [key, method, path, body] = identity;
        list.emplace_back(json::object{{"key", json{key}},
                                       {"method", json{method}},
                                       {"path", json{path}},
                                       {"body", json{body}},
                                       {"count", json{count}}});
    }
    return json{json::object{{"executions", json{std::move(list)}}}};
}

json plain_service::execute(const exchange& call) {
    const auto key = call.header("Idempotency-Key");
    const identity name{key, call.method(), call.path(), call.body()};
    ++executed_;
    const auto count = ++counts_[name];
    return json{json::object{{"key", json{key}},
                             {"execution", json{executed_}},
                             {"count", json{count}}}};
}

net::awaitable<void> plain_service::run(exchange& call) {
    crash_if_contains(call.body(), crash_on_);
    const bool failing = error_status_ != 0;
    json answer;
    if (!failing || error_runs_) {
        answer = execute(call);
    }
    const bool dropped = drop_answers_ || drop_next_ > 0;
    drop_next_ -= drop_next_ > 0 ? 1 : 0;
    const auto status = failing ? error_status_ : 200;
    if (delay_.count() > 0) {
        co_await sleep_for(call.executor(), delay_);
    }
    if (dropped) {
        ++answers_dropped_;
        call.close_unanswered();
        co_return;
    }
    errors_ += failing ? 1 : 0;
    co_await call.reply(status, std::move(answer));
}

net::awaitable<void> plain_service::handle(exchange& call) {
    if (call.path() == "/control" && call.method() == "POST") {
        apply(call.body_json());
        co_await call.reply(200, stats());
    } else if (call.path() == "/stats") {
        co_await call.reply(200, stats());
    } else if (call.path() == "/executions") {
        co_await call.reply(200, executions());
    } else {
        co_await run(call);
    }
}

} // namespace pimentoferry::standins
