/// HTTP client for upstreams.
///
///     http::call_options options;
///     options.deadline_ = base::clock::now() + std::chrono::seconds{2};
///     const auto result = co_await client.call(address, call, options);
///     if (auto* failure = std::get_if<http::call_failure>(&result)) {
///         // failure->sent_ tells whether the upstream may have seen the call
///     }
///
/// A client belongs to one io_context that one thread runs. Connections are
/// pooled for each address. The client never repeats a call of which a byte
/// was sent.
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
    broken,    ///< The connection ended before the answer did.
    malformed, ///< The answer is not valid HTTP, or not a valid event stream.
    too_large,
};

/// Stable text of a kind, for logs.
std::string_view to_string(failure_kind kind);

struct call_failure {
    failure_kind kind_{failure_kind::broken};
    /// Whether any byte of the call was handed to the kernel. False is
    /// certain: the upstream did not see the call.
    bool sent_{false};
};

struct call_options {
    /// For the head of the answer, and for its body with `client::call`.
    base::time_point deadline_{base::time_point::max()};
    base::milliseconds connect_timeout_{1000};
    /// Longest gap between two pieces of a streamed body.
    base::milliseconds gap_timeout_{30000};
    std::size_t body_limit_bytes_{std::size_t{16} << 20};
    /// Opens a connection for this call. An upstream may close a pooled one
    /// while the call is on its way, which leaves open whether it ran.
    bool fresh_connection_{false};
    /// A pooled connection is used only if it was idle for less than this.
    base::milliseconds longest_idle_{20000};
    std::shared_ptr<cancellation> cancel_;
};

/// The body is complete.
struct body_end {};

/// An answer whose head arrived and whose body is read in pieces. When it is
/// destroyed before the end of the body, the connection is closed.
class open_answer {
public:
    explicit open_answer(std::unique_ptr<internal::upstream_call> call);
    open_answer(open_answer&& other) noexcept;
    open_answer& operator=(open_answer&& other) noexcept;
    ~open_answer();

    const response_head& head() const;

    /// Next piece of the body, as it arrives.
    awaitable<std::variant<std::string, body_end, call_failure>> read();

    /// As `read`, but limited by the deadline of the call instead of the gap
    /// between two pieces.
    awaitable<std::variant<std::string, body_end, call_failure>>
    read_until_deadline();

    /// Rest of the body, until the deadline of the call.
    awaitable<std::variant<std::string, call_failure>> read_all();

private:
    std::unique_ptr<internal::upstream_call> call_;
};

/// Reads an answer as server-sent events.
class event_reader {
public:
    explicit event_reader(open_answer& answer) : answer_(answer) {}

    /// Next event. `body_end` is the end of the body, which for a stream
    /// without its closing event means that it broke.
    awaitable<std::variant<sse_event, body_end, call_failure>> next();

private:
    open_answer& answer_;
    sse_parser parser_;
    std::deque<sse_event> events_;
};

class client {
public:
    explicit client(boost::asio::io_context& context);
    client(client&& other) noexcept;
    client& operator=(client&& other) noexcept;
    ~client();

    /// Sends a call and reads the whole answer, of any status.
    awaitable<std::variant<response, call_failure>>
    call(base::endpoint address, request call, call_options options);

    /// Sends a call and reads the head of the answer.
    awaitable<std::variant<open_answer, call_failure>>
    open(base::endpoint address, request call, call_options options);

private:
    std::shared_ptr<internal::connection_pool> pool_;
};

} // namespace pimentoferry::http

#endif
