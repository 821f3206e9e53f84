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
    gone, ///< The caller closed the connection or stopped reading.
};

class exchange {
public:
    explicit exchange(internal::connection& connection);

    const request& call() const;

    /// Returns a cancellation that is requested as soon as the caller closes
    /// its connection, also while the handler awaits other work. A caller that
    /// closes only its sending side counts as disconnected.
    std::shared_ptr<cancellation> caller_gone() const;

    /// Adds a header field to the response that follows.
    void add_field(std::string name, std::string value);

    /// Sends a complete response. Must be called at most once.
    awaitable<write_result> respond(const response& answer);

    /// Sends the head of a stream; `write` sends the body.
    awaitable<write_result> begin_stream(const response_head& head);

    /// Returns once the kernel has accepted all bytes, so that a slow caller
    /// applies backpressure to the relay. A caller that accepts none for
    /// `server_limits::write_timeout_` (30 s by default) counts as
    /// disconnected.
    awaitable<write_result> write(std::string_view bytes);

    /// Ends the stream. Without this call the caller receives an incomplete
    /// response.
    awaitable<write_result> end_stream();

    /// Whether sending a response or the head of a stream has started.
    bool begun() const;

private:
    internal::connection& connection_;
};

} // namespace pimentoferry::http

#endif
