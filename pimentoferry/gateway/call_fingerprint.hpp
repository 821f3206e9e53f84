/// Identifies a call across the attempts of its caller.
///
/// Each attempt of a caller bears another request id. What stays the same is
/// the method, the host, the target, the caller and the body; calls that agree
/// in all of them have the same fingerprint at every gateway of a fleet. The
/// hash is keyed, so that nobody outside the fleet can construct a call with
/// the fingerprint of another one, and nothing of the body can be read from it.
#ifndef PIMENTOFERRY_GATEWAY_CALL_FINGERPRINT_HPP
#define PIMENTOFERRY_GATEWAY_CALL_FINGERPRINT_HPP

#include "pimentoferry/http/message.hpp"
#include "pimentoferry/wire/fleet_key.hpp"

#include <cstdint>

namespace pimentoferry::gateway {

/// Never 0. Takes time in proportion to the size of the body.
std::uint64_t call_fingerprint(const http::request& call,
                               const wire::fleet_key& key);

} // namespace pimentoferry::gateway

#endif
