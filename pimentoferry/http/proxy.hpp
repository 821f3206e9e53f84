/// Forwarding of calls to a plain service. Bodies are passed on unchanged.
#ifndef PIMENTOFERRY_HTTP_PROXY_HPP
#define PIMENTOFERRY_HTTP_PROXY_HPP

#include "pimentoferry/http/message.hpp"

#include <string>

namespace pimentoferry::http {

/// Returns the request to send to the service: that of the caller with another
/// target, without connection-specific fields and without the caller's key
/// (`Authorization`).
request forwarded_request(const request& call, std::string target);

/// Returns the response to send to the caller: that of the service without
/// connection-specific fields.
response forwarded_response(response answer);

} // namespace pimentoferry::http

#endif
