/// Serves a call to a plain service.
///
/// The whole answer is received before it is passed on, so that a broken or
/// foreign answer never looks complete. A non-idempotent call is sent again
/// only if the replica said that it did not run it, or if no byte of it was
/// sent.
#ifndef PIMENTOFERRY_GATEWAY_PLAIN_RELAY_HPP
#define PIMENTOFERRY_GATEWAY_PLAIN_RELAY_HPP

#include "pimentoferry/gateway/runtime.hpp"

namespace pimentoferry::gateway {

http::awaitable<void> relay_plain(runtime& shared, routed_call call);

} // namespace pimentoferry::gateway

#endif
