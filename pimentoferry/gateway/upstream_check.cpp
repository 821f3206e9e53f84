#include "pimentoferry/gateway/upstream_check.hpp"

#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/upstream_statements.hpp"
#include "pimentoferry/http/error_token.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <variant>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds check_timeout{300};
constexpr std::size_t report_body_limit_bytes = std::size_t{256} << 10;
constexpr int status_misdirected = 421;
// A process that is ending accepts a connection and closes it.
constexpr base::milliseconds recheck_pause{20};

/// What the result of a call for a report shows; unset if the upstream closed
/// the connection without an answer.
std::optional<upstream_state>
state_after(const std::variant<http::response, http::call_failure>& result) {
    const auto* failure = std::get_if<http::call_failure>(&result);
    if (failure == nullptr) {
        return std::get<http::response>(result).status_ == status_misdirected
                   ? upstream_state::gone
                   : upstream_state::running;
    }
    switch (failure->kind_) {
    case http::failure_kind::refused:
        return upstream_state::gone;
    case http::failure_kind::broken:
        return std::nullopt;
    default:
        return upstream_state::silent;
    }
}

} // namespace

std::string_view to_string(upstream_state state) {
    switch (state) {
    case upstream_state::running:
        return "running";
    case upstream_state::gone:
        return "gone";
    case upstream_state::left:
        return "left";
    case upstream_state::silent:
        return "silent";
    }
    return "unknown";
}

http::awaitable<upstream_state> probe_upstream(runtime& shared,
                                               routing::instance upstream) {
    http::call_options options;
    options.deadline_ = base::clock::now() + check_timeout;
    options.connect_timeout_ = check_timeout;
    options.body_limit_bytes_ = report_body_limit_bytes;
    // A pooled connection may be one that the crash has closed.
    options.fresh_connection_ = true;
    const caller_request no_caller;
    std::optional<upstream_state> state;
    while (!state) {
        auto request = shared.protocol_.report_call_(upstream.id_);
        auto call_options = options;
        shared.statements_->observe(call_options, no_caller, upstream);
        const auto result = co_await shared.client_.call(
            upstream.address_, std::move(request), std::move(call_options));
        if (const auto* failure = std::get_if<http::call_failure>(&result)) {
            shared.relay_->send_failed(upstream, *failure);
        }
        state = state_after(result);
        if (!state && base::clock::now() + recheck_pause >= options.deadline_) {
            state = upstream_state::silent;
        }
        if (!state) {
            asio::steady_timer pause{shared.io_, recheck_pause};
            boost::system::error_code ignored;
            co_await pause.async_wait(http::internal::into(ignored));
        }
    }
    co_return *state;
}

http::awaitable<upstream_state> check_upstream(runtime& shared,
                                               routing::instance upstream) {
    auto state = co_await probe_upstream(shared, upstream);
    if (state == upstream_state::gone) {
        const bool isolated = co_await shared.relay_->confirm_isolation();
        state = isolated ? upstream_state::silent : state;
    }
    const auto& instances = shared.registry_.instances();
    if (state == upstream_state::gone &&
        (instances.leaves(upstream) || instances.leaves(upstream.id_))) {
        state = upstream_state::left;
    }
    shared.metrics_.count_send("upstream_check", to_string(state));
    co_return state;
}

} // namespace pimentoferry::gateway
