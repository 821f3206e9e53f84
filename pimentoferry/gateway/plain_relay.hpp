/// Relays a call to a plain service.
///
/// The whole response is received before it is relayed, so that a truncated
/// response, or one to another request, never looks complete. A non-idempotent
/// call is sent again only if the replica reported that it did not run it, or
/// if no byte of it was sent.
#ifndef PIMENTOFERRY_GATEWAY_PLAIN_RELAY_HPP
#define PIMENTOFERRY_GATEWAY_PLAIN_RELAY_HPP

#include "pimentoferry/gateway/runtime.hpp"

namespace pimentoferry::gateway {

/// Returns whether an upstream may have run the request.
http::awaitable<bool> relay_plain(runtime& shared, routed_call call);

} // namespace pimentoferry::gateway

#endif
