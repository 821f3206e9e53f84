/// Tells a crashed upstream from one that broke off a single answer.
#ifndef PIMENTOFERRY_GATEWAY_UPSTREAM_CHECK_HPP
#define PIMENTOFERRY_GATEWAY_UPSTREAM_CHECK_HPP

#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <cstdint>
#include <string_view>

namespace pimentoferry::gateway {

enum class upstream_state : std::uint8_t {
    running,
    /// Nothing listens at its address, or another instance does.
    gone,
    /// As `gone`, after it announced that it leaves: its end was planned.
    left,
    /// It did not answer in time, so its process or its link may be down.
    silent,
};

std::string_view to_string(upstream_state state);

/// Asks an upstream for its report after an answer of it broke off. Takes 300
/// ms at most; one that has crashed refuses the connection at once. A plain
/// replica has no report, but any answer of it shows that it is running.
http::awaitable<upstream_state> check_upstream(runtime& shared,
                                               routing::instance upstream);

/// As `check_upstream`, but neither `left`, nor `silent` because this gateway
/// itself is cut off from all upstreams.
http::awaitable<upstream_state> probe_upstream(runtime& shared,
                                               routing::instance upstream);

} // namespace pimentoferry::gateway

#endif
