/// Relays a streamed request: prefill at one engine, decode at another.
///
/// The prefill engine and the decode slot are granted before the prefill
/// starts. Complete events are relayed as they arrive. A stream that breaks
/// continues at another engine after the last event sent to the caller if its
/// route allows that; otherwise the caller's connection is closed without the
/// end of the stream.
#ifndef PIMENTOFERRY_GATEWAY_STREAM_RELAY_HPP
#define PIMENTOFERRY_GATEWAY_STREAM_RELAY_HPP

#include "pimentoferry/gateway/runtime.hpp"

namespace pimentoferry::gateway {

/// Returns whether an upstream may have run the request.
http::awaitable<bool> relay_stream(runtime& shared, routed_call call);

} // namespace pimentoferry::gateway

#endif
