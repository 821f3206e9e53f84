/// One call of a caller, as its handler sees it.
///
///     http::awaitable<void> handle(http::exchange& call) {
///         const auto answer = http::json_response(200, "{}");
///         co_await call.respond(answer);
///     }
///
/// A handler either responds whole, or begins a stream, writes, and ends it.
/// A handler that does neither makes the connection close. All functions are
/// for the thread that runs the handler.
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

    /// Requested as soon as the caller closes its connection, also while the
    /// handler waits for something else. A caller that closes only its sending
    /// side counts as gone.
    std::shared_ptr<cancellation> caller_gone() const;

    /// Adds a field to whatever answer follows.
    void add_field(std::string name, std::string value);

    /// Sends a whole answer. Must be called at most once.
    awaitable<write_result> respond(const response& answer);

    /// Sends the head of a stream; the body follows in pieces.
    awaitable<write_result> begin_stream(const response_head& head);

    /// Returns when the kernel took all bytes, so a slow caller slows down the
    /// relay. A caller that takes none for 30 s counts as gone.
    awaitable<write_result> write(std::string_view bytes);

    /// Ends the stream properly; without this call the caller sees it break.
    awaitable<write_result> end_stream();

    /// Whether an answer or the head of a stream was sent.
    bool begun() const;

private:
    internal::connection& connection_;
};

} // namespace pimentoferry::http

#endif
