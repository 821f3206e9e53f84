#include "pimentoferry/gateway/engine_check.hpp"

#include <variant>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds check_timeout{300};
constexpr std::size_t report_body_limit_bytes = std::size_t{256} << 10;
constexpr int status_misdirected = 421;

} // namespace

std::string_view to_string(engine_state state) {
    switch (state) {
    case engine_state::running:
        return "running";
    case engine_state::gone:
        return "gone";
    case engine_state::silent:
        return "silent";
    }
    return "unknown";
}

http::awaitable<engine_state> check_engine(runtime& shared,
                                           routing::instance engine) {
    http::call_options options;
    options.deadline_ = base::clock::now() + check_timeout;
    options.connect_timeout_ = check_timeout;
    options.body_limit_bytes_ = report_body_limit_bytes;
    // A pooled connection may be one that the crash has closed.
    options.fresh_connection_ = true;
    auto request = shared.protocol_.report_call_(engine.id_);
    const auto result = co_await shared.client_.call(
        engine.address_, std::move(request), std::move(options));
    auto state = engine_state::running;
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        state = failure->kind_ == http::failure_kind::refused
                    ? engine_state::gone
                    : engine_state::silent;
    } else if (std::get<http::response>(result).status_ == status_misdirected) {
        state = engine_state::gone;
    }
    shared.metrics_.count_send("engine_check", to_string(state));
    co_return state;
}

} // namespace pimentoferry::gateway
