/// Serves a streamed request: prefill at one engine, decode at another.
///
/// Both places are granted before the prefill starts. The events are passed
/// on as they arrive, whole events only. A stream that breaks continues at
/// another engine after the last event delivered if its route allows that;
/// otherwise the caller's connection is closed without the end of the stream.
#ifndef PIMENTOFERRY_GATEWAY_STREAM_RELAY_HPP
#define PIMENTOFERRY_GATEWAY_STREAM_RELAY_HPP

#include "pimentoferry/gateway/runtime.hpp"

namespace pimentoferry::gateway {

http::awaitable<void> relay_stream(runtime& shared, routed_call call);

} // namespace pimentoferry::gateway

#endif
