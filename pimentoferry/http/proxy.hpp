/// Forwarding of a call to a plain service with its body as it is.
#ifndef PIMENTOFERRY_HTTP_PROXY_HPP
#define PIMENTOFERRY_HTTP_PROXY_HPP

#include "pimentoferry/http/message.hpp"

#include <string>

namespace pimentoferry::http {

/// The call as a service receives it: the caller's fields without those of the
/// connection and without the caller's key, under another target.
request forwarded_request(const request& call, std::string target);

/// The answer as the caller receives it, without fields of the connection.
response forwarded_response(response answer);

} // namespace pimentoferry::http

#endif
