/// Writes the heads of HTTP/1.1 messages.
///
/// Names and values may come from other processes: an upstream, the store, a
/// caller. A head that such text would end early or divide is not written; what
/// is written reads back as one message with the same fields.
#ifndef PIMENTOFERRY_HTTP_HEAD_WRITER_HPP
#define PIMENTOFERRY_HTTP_HEAD_WRITER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/http/message.hpp"

#include <cstddef>
#include <optional>
#include <string>

namespace pimentoferry::http {

/// Returns the head of a request, with `Host` if the request has none, and with
/// `Content-Length`. Unset if it would not be read as it was meant, see
/// `is_writable`.
std::optional<std::string> write_request_head(const base::endpoint& address,
                                              const request& call);

struct response_framing {
    /// Unset: the body is sent in chunks, or ends with the connection.
    std::optional<std::size_t> length_;
    bool chunked_{true}; ///< False for an HTTP/1.0 caller.
    bool keep_open_{true};
};

/// Returns the head of a response. `Content-Length`, `Transfer-Encoding` and
/// `Connection` are those of the framing. Unset as for requests, and if the
/// status is not one of a final response.
std::optional<std::string> write_response_head(const response_head& head,
                                               const field_list& extra_fields,
                                               const response_framing& framing);

} // namespace pimentoferry::http

#endif
