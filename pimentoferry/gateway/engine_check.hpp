/// Tells a crashed engine from one that broke off a single answer.
#ifndef PIMENTOFERRY_GATEWAY_ENGINE_CHECK_HPP
#define PIMENTOFERRY_GATEWAY_ENGINE_CHECK_HPP

#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <cstdint>
#include <string_view>

namespace pimentoferry::gateway {

enum class engine_state : std::uint8_t {
    running,
    /// Nothing listens at its address, or another instance does.
    gone,
    /// It did not answer in time, so its process or its link may be down.
    silent,
};

std::string_view to_string(engine_state state);

/// Asks an engine for its report after an answer of it broke off. Takes 300 ms
/// at most; an engine that has crashed refuses the connection at once.
http::awaitable<engine_state> check_engine(runtime& shared,
                                           routing::instance engine);

} // namespace pimentoferry::gateway

#endif
