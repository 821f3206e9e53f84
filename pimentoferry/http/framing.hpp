/// Whether a message's head determines the end of its body in one way.
///
/// A receiver that reads the end of a body differently from its sender takes a
/// part of the body for the next message. Heads that leave a choice are
/// therefore refused, see RFC 9112, sections 6.1 to 6.3. This holds for the
/// requests of callers and for the responses of upstreams.
#ifndef PIMENTOFERRY_HTTP_FRAMING_HPP
#define PIMENTOFERRY_HTTP_FRAMING_HPP

#include "pimentoferry/http/message.hpp"

#include <optional>
#include <string_view>

namespace pimentoferry::http {

/// Returns what is wrong with the framing of a message, for logs and callers;
/// empty if nothing is. `version`: 10 for HTTP/1.0, 11 for HTTP/1.1.
///
/// A body has either one length in digits, or the single transfer coding
/// `chunked`. Other codings are refused in responses, too: the body could not
/// be forwarded without its coding.
std::optional<std::string_view> framing_fault(const field_list& fields,
                                              unsigned version);

} // namespace pimentoferry::http

#endif
