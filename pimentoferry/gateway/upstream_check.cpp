#include "pimentoferry/gateway/upstream_check.hpp"

#include <variant>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds check_timeout{300};
constexpr std::size_t report_body_limit_bytes = std::size_t{256} << 10;
constexpr int status_misdirected = 421;

} // namespace

std::string_view to_string(upstream_state state) {
    switch (state) {
    case upstream_state::running:
        return "running";
    case upstream_state::gone:
        return "gone";
    case upstream_state::silent:
        return "silent";
    }
    return "unknown";
}

http::awaitable<upstream_state> check_upstream(runtime& shared,
                                               routing::instance upstream) {
    http::call_options options;
    options.deadline_ = base::clock::now() + check_timeout;
    options.connect_timeout_ = check_timeout;
    options.body_limit_bytes_ = report_body_limit_bytes;
    // A pooled connection may be one that the crash has closed.
    options.fresh_connection_ = true;
    auto request = shared.protocol_.report_call_(upstream.id_);
    const auto result = co_await shared.client_.call(
        upstream.address_, std::move(request), std::move(options));
    auto state = upstream_state::running;
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        state = failure->kind_ == http::failure_kind::refused
                    ? upstream_state::gone
                    : upstream_state::silent;
    } else if (std::get<http::response>(result).status_ == status_misdirected) {
        state = upstream_state::gone;
    }
    shared.metrics_.count_send("upstream_check", to_string(state));
    co_return state;
}

} // namespace pimentoferry::gateway
