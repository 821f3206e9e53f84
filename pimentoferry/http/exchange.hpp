/// One call of a caller: the interface through which a handler responds.
///
///     http::awaitable<void> handle(http::exchange& call) {
///         const auto answer = http::json_response(200, "{}");
///         co_await call.respond(answer);
///     }
///
/// A handler either sends a complete response, or begins a stream, writes to it
/// and ends it. If it does neither, the connection is closed. All functions
/// must be called on the thread that runs the handler.
#ifndef PIMENTOFERRY_HTTP_EXCHANGE_HPP
#define PIMENTOFERRY_HTTP_EXCHANGE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/cancellation.hpp"
#include "pimentoferry/http/message.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace pimentoferry::http {

namespace internal {
class connection;
} // namespace internal

enum class write_result : std::uint8_t {
    written,
    gone, ///< The caller gets no more bytes, see `caller_end`.
};

/// Why a caller gets no more bytes.
enum class caller_end : std::uint8_t {
    none,
    closed,       ///< The caller closed its connection.
    unresponsive, ///< The caller's host acknowledges nothing.
    too_slow,     ///< The caller had not read its answer by the deadline.
    evicted,      ///< The memory for answers was needed for other callers.
};

/// Returns the name of the enumerator, for logs. The names are stable.
std::string_view to_string(caller_end end);

class exchange {
public:
    explicit exchange(internal::connection& connection);

    const request& call() const;

    /// Returns a cancellation that is requested as soon as the caller closes
    /// its connection, also while the handler awaits other work. A caller that
    /// closes only its sending side counts as disconnected.
    std::shared_ptr<cancellation> caller_gone() const;

    /// Why the caller is gone; `none` if it is not.
    caller_end ended_by() const;

    /// The time by which the caller has to accept the whole answer. Until it is
    /// set, a caller may accept no bytes for `server_limits::write_timeout_`.
    void set_deadline(base::time_point deadline);

    /// Adds a header field to the response that follows.
    void add_field(std::string name, std::string value);

    /// Sends a complete response. Must be called at most once.
    awaitable<write_result> respond(const response& answer);

    /// Sends the head of a stream; `write` sends the body.
    awaitable<write_result> begin_stream(const response_head& head);

    /// Returns once the bytes are buffered: an upstream may cut off an answer
    /// that nobody reads, so a relay has to go on reading for a slow caller.
    /// Beyond `server_limits::stream_buffer_bytes_` the caller applies
    /// backpressure to the relay.
    awaitable<write_result> write(std::string_view bytes);

    /// Ends the stream, and returns once the caller has accepted all of it.
    /// Without this call the caller receives an incomplete response.
    awaitable<write_result> end_stream();

    /// Whether sending a response or the head of a stream has started.
    bool begun() const;

private:
    internal::connection& connection_;
};

} // namespace pimentoferry::http

#endif
