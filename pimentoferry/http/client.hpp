/// HTTP client for upstreams.
///
///     http::call_options options;
///     options.deadline_ = base::clock::now() + std::chrono::seconds{2};
///     const auto result = co_await client.call(address, call, options);
///     if (auto* failure = std::get_if<http::call_failure>(&result)) {
///         // failure->sent_: whether the upstream may have received the call
///     }
///
/// A client belongs to one io_context that is run by one thread. It keeps a
/// pool of idle connections for each address. It never retries a call of which
/// a byte was sent.
#ifndef PIMENTOFERRY_HTTP_CLIENT_HPP
#define PIMENTOFERRY_HTTP_CLIENT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/cancellation.hpp"
#include "pimentoferry/http/message.hpp"
#include "pimentoferry/http/sse.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace pimentoferry::http {

namespace internal {
class connection_pool;
class upstream_call;
} // namespace internal

enum class failure_kind : std::uint8_t {
    refused,     ///< No process listens at the address.
    unreachable, ///< The connection could not be made for another reason.
    timed_out,
    cancelled,
    broken,    ///< The connection ended before the response did.
    malformed, ///< The response is not valid HTTP or not a valid event stream,
               ///< or the call cannot be written as HTTP and was not sent.
    too_large, ///< The head or the body exceeds a limit.
};

/// Returns the name of the enumerator, for logs. The names are stable.
std::string_view to_string(failure_kind kind);

struct call_failure {
    failure_kind kind_{failure_kind::broken};
    /// Whether any byte of the call was passed to the kernel. If false, the
    /// upstream has certainly not received the call.
    bool sent_{false};
};

struct call_options {
    /// Limit for receiving the head of the response and, with `client::call`,
    /// also its body.
    base::time_point deadline_{base::time_point::max()};
    base::milliseconds connect_timeout_{1000};
    /// Maximum time between two reads that return data of a streamed body.
    base::milliseconds gap_timeout_{30000};
    /// Maximum size of the body.
    std::size_t body_limit_bytes_{std::size_t{4} << 20};
    /// Whether to open a new connection for this call. An upstream may close a
    /// pooled one while the call is in transit; then it is unknown whether the
    /// call was executed.
    bool fresh_connection_{false};
    /// Pooled connections that were idle for this long are not used.
    base::milliseconds longest_idle_{20000};
    std::shared_ptr<cancellation> cancel_;
    /// Whether a response with this head answers the call; unset: any does. One
    /// that does not, such as a repeated response to an earlier call on the
    /// connection, is skipped, and the connection is not used again.
    std::function<bool(const response_head&)> is_answer_;
    /// Called with the head of each response that `is_answer_` rejects.
    std::function<void(const response_head&)> on_skipped_;
    /// Called with the head of the response to this call before its body is
    /// read, so also if the body is never complete.
    std::function<void(const response_head&)> on_head_;
    /// Called when a response is received on a connection that this call has
    /// opened, before `on_head_`.
    std::function<void()> on_new_connection_;
};

struct client_limits {
    /// Maximum size of all bodies that are held: those that `client::call` and
    /// `open_answer::read_all` read at the same time, and those that wait for
    /// their callers, see `response::counted_`. Neither a faulty upstream nor a
    /// slow caller can exhaust the memory. A call that exceeds it waits for
    /// callers to accept their answers, and fails as too large if there are
    /// none.
    std::size_t buffered_bytes_{std::size_t{16} << 20};
};

/// The body is complete.
struct body_end {};

/// A response whose head has been received and whose body is read
/// incrementally. If it is destroyed before the end of the body, the connection
/// is closed.
class open_answer {
public:
    explicit open_answer(std::unique_ptr<internal::upstream_call> call);
    open_answer(open_answer&& other) noexcept;
    open_answer& operator=(open_answer&& other) noexcept;
    ~open_answer();

    const response_head& head() const;

    /// Whether the end of the body is marked by a length or a last chunk. If
    /// not, the body ends with the connection, also when the upstream crashes.
    bool end_is_marked() const;

    /// Returns the next bytes of the body as soon as any are received.
    awaitable<std::variant<std::string, body_end, call_failure>> read();

    /// As `read`, but limited by the deadline of the call instead of by
    /// `gap_timeout_`.
    awaitable<std::variant<std::string, body_end, call_failure>>
    read_until_deadline();

    /// Returns the response with the rest of the body; limited by the deadline
    /// of the call.
    awaitable<std::variant<response, call_failure>> read_all();

private:
    std::unique_ptr<internal::upstream_call> call_;
};

/// Reads a response body as server-sent events. The response must outlive the
/// reader.
class event_reader {
public:
    explicit event_reader(open_answer& answer) : answer_(answer) {}

    /// Returns the next event, or `body_end` at the end of the body. A stream
    /// that ends without the last event of its protocol is incomplete.
    awaitable<std::variant<sse_event, body_end, call_failure>> next();

private:
    open_answer& answer_;
    sse_parser parser_;
    std::deque<sse_event> events_;
};

class client {
public:
    explicit client(boost::asio::io_context& context,
                    const client_limits& limits = {});
    client(client&& other) noexcept;
    client& operator=(client&& other) noexcept;
    ~client();

    /// Sends a call and reads the complete response, whatever its status.
    awaitable<std::variant<response, call_failure>>
    call(base::endpoint address, request call, call_options options);

    /// Sets the function that is called while a call waits for bytes of answers
    /// that their callers do not accept. It may give up one of these.
    void set_free_bytes(std::function<void()> free_bytes);

    /// Sends a call and reads the head of the response.
    awaitable<std::variant<open_answer, call_failure>>
    open(base::endpoint address, request call, call_options options);

private:
    std::shared_ptr<internal::connection_pool> pool_;
};

} // namespace pimentoferry::http

#endif
