#include "pimentoferry/http/connection.hpp"

#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/framing.hpp"
#include "pimentoferry/http/problem.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <charconv>

namespace pimentoferry::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

// Maximum number of bytes that are read from a caller before the response is
// complete. At this limit the watch for a disconnect stops reading, so that
// pipelined requests cannot exhaust the memory.
constexpr std::size_t read_ahead_limit_bytes = std::size_t{64} << 10;
constexpr std::size_t read_buffer_bytes = 4096;

// Maximum input that is read and discarded after a refusal, within 1 s. A
// caller that sends more of a body over the limit may receive a reset instead
// of the refusal.
// Received bytes of a body that the parser has not consumed yet. Bounds a line
// of the chunked coding that does not end.
constexpr std::size_t max_unparsed_body_bytes = std::size_t{96} << 10;
constexpr std::size_t max_discarded_bytes = std::size_t{16} << 20;
// The bodies held are served within some hundred ms.
constexpr base::milliseconds full_memory_retry_after{300};

base::refusal refusal_of(error_code error) {
    using code = base::refusal_code;
    base::refusal refusal{code::malformed_request, base::ran_state::not_run,
                          std::nullopt,
                          "the request is not valid HTTP: " + error.message()};
    if (error == beast::http::error::body_limit) {
        refusal.code_ = code::body_too_large;
        refusal.detail_ = "the request body exceeds the limit";
    } else if (error == asio::error::no_memory) {
        refusal.code_ = code::overloaded;
        refusal.retry_after_ = full_memory_retry_after;
        refusal.detail_ = "the gateway holds too many request bodies";
    } else if (error == beast::http::error::header_limit) {
        refusal.detail_ = "the request header exceeds the limit";
    } else if (error == beast::http::error::bad_transfer_encoding) {
        refusal.detail_ = "the length of the request body is ambiguous";
    } else if (error == beast::http::error::partial_message) {
        refusal.detail_ = "the request ended early";
    }
    return refusal;
}

std::string to_hex(std::size_t size) {
    std::array<char, 2 * sizeof size> digits{};
    const auto result =
        std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return {digits.data(), result.ptr};
}

field_list to_fields(const beast::http::fields& received) {
    field_list fields;
    for (const auto& f : received) {
        fields.push_back(
            {std::string{f.name_string()}, std::string{f.value()}});
    }
    return fields;
}

/// The fields on which the framing depends: few of them, as this is done for
/// each request.
field_list framing_fields(const beast::http::fields& received) {
    field_list fields;
    for (const auto& f : received) {
        if (f.name() == beast::http::field::content_length ||
            f.name() == beast::http::field::transfer_encoding) {
            fields.push_back(
                {std::string{f.name_string()}, std::string{f.value()}});
        }
    }
    return fields;
}

bool is_framing_field(std::string_view name) {
    return same_name(name, "Content-Length") ||
           same_name(name, "Transfer-Encoding") ||
           same_name(name, "Connection");
}

void append_field(std::string& head,
                  std::string_view name,
                  std::string_view value) {
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

connection::connection(asio::ip::tcp::socket socket,
                       const server_limits& limits,
                       byte_budget& bodies,
                       const handler& handle)
    : stream_(std::move(socket)), limits_(limits), handle_(handle),
      body_(bodies), watch_ended_(stream_.get_executor()),
      caller_disconnected_(std::make_shared<cancellation>()) {}

awaitable<void> connection::run() {
    const auto self = shared_from_this();
    while (co_await receive_request()) {
        co_await serve_request();
        body_.clear();
        if (!keep_alive_ || stopping_ || caller_disconnected_->requested() ||
            response_state_ != response_state::complete) {
            break;
        }
    }
    close();
}

void connection::stop() {
    stopping_ = true;
    if (idle_) {
        // Input may have been received that the reader has not seen yet, so
        // only the wait for input is ended here.
        stream_.cancel();
    }
}

void connection::close() {
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
}

awaitable<bool> connection::receive_request() {
    parser request_parser;
    request_parser.header_limit(
        static_cast<std::uint32_t>(limits_.header_bytes_));
    request_parser.body_limit(limits_.body_bytes_);
    buffer_.max_size(limits_.header_bytes_ + max_unparsed_body_bytes);
    const error_code error = co_await read_request(request_parser);
    if (error) {
        request_parser.get().body() = {};
        body_.clear();
    }
    if (error && request_parser.got_some() && !stopping_) {
        co_await reject(error);
    }
    if (error) {
        co_return false;
    }
    set_request(request_parser);
    co_return true;
}

awaitable<error_code> connection::read_request(parser& request_parser) {
    error_code error;
    if (buffer_.size() == 0 && stopping_) {
        co_return asio::error::operation_aborted;
    }
    if (buffer_.size() == 0) {
        idle_ = true;
        stream_.expires_after(limits_.idle_timeout_);
        const auto space = buffer_.prepare(read_buffer_bytes);
        const auto size = co_await stream_.async_read_some(space, into(error));
        buffer_.commit(size);
    }
    idle_ = false;
    if (error) {
        co_return error;
    }
    stream_.expires_after(
        std::min(limits_.header_timeout_, limits_.receive_timeout_));
    co_await beast::http::async_read_header(stream_, buffer_, request_parser,
                                            into(error));
    if (!error && framing_fault(framing_fields(request_parser.get()),
                                request_parser.get().version())) {
        error = beast::http::error::bad_transfer_encoding;
    }
    if (!error) {
        stream_.expires_after(limits_.receive_timeout_);
        error = co_await read_body(request_parser);
    }
    co_return error;
}

awaitable<error_code> connection::read_body(parser& request_parser) {
    const auto length = request_parser.content_length();
    if (length && !body_.grow_to(static_cast<std::size_t>(*length))) {
        co_return asio::error::no_memory;
    }
    co_await continue_if_expected(request_parser);
    error_code error;
    while (!error && !request_parser.is_done()) {
        co_await beast::http::async_read_some(stream_, buffer_, request_parser,
                                              into(error));
        if (!error && !body_.grow_to(request_parser.get().body().size())) {
            error = asio::error::no_memory;
        }
    }
    co_return error;
}

awaitable<void> connection::continue_if_expected(parser& request_parser) {
    const auto& head = request_parser.get();
    if (!request_parser.is_done() &&
        beast::iequals(head[beast::http::field::expect], "100-continue")) {
        co_await send("HTTP/1.1 100 Continue\r\n\r\n");
        stream_.expires_after(limits_.receive_timeout_);
    }
}

void connection::set_request(parser& request_parser) {
    auto message = request_parser.release();
    keep_alive_ = message.keep_alive();
    chunked_ = message.version() >= 11;
    call_ = {};
    call_.method_ = std::string{message.method_string()};
    call_.target_ = std::string{message.target()};
    call_.fields_ = to_fields(message);
    call_.body_ = std::move(message.body());
    extra_fields_.clear();
    response_state_ = response_state::none;
}

awaitable<void> connection::reject(error_code error) {
    keep_alive_ = false;
    extra_fields_.clear();
    response_state_ = response_state::none;
    const auto answer = problem_response(refusal_of(error), {});
    co_await respond(answer);
    // Closing a socket with unread input resets the connection, and the caller
    // would lose the response, so some of the input is read first.
    error_code ignored;
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, read_buffer_bytes> discarded{};
    stream_.expires_after(std::chrono::seconds{1});
    for (std::size_t total = 0; total < max_discarded_bytes;) {
        error = {};
        total += co_await stream_.async_read_some(asio::buffer(discarded),
                                                  into(error));
        if (error) {
            break;
        }
    }
}

awaitable<void> connection::serve_request() {
    watching_ = true;
    stream_.expires_never();
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->watch_for_disconnect(); },
        asio::detached);
    co_await call_handler();
    co_await stop_disconnect_watch();
}

awaitable<void> connection::call_handler() {
    exchange call{*this};
    bool failed = false;
    try {
        co_await handle_(call);
    } catch (const std::exception&) {
        failed = true;
    }
    if (failed && !begun()) {
        const base::refusal refusal{base::refusal_code::internal_error,
                                    base::ran_state::unknown, std::nullopt,
                                    "the handler of the call failed"};
        const auto answer = problem_response(refusal, {});
        co_await respond(answer);
    }
}

awaitable<void> connection::watch_for_disconnect() {
    error_code error;
    while (watching_ && buffer_.size() < read_ahead_limit_bytes) {
        const auto space = buffer_.prepare(read_buffer_bytes);
        const auto size = co_await stream_.async_read_some(space, into(error));
        buffer_.commit(size);
        if (error) {
            break;
        }
    }
    if (error && watching_) {
        caller_disconnected_->request();
    }
    watching_ = false;
    watch_ended_.cancel();
}

awaitable<void> connection::stop_disconnect_watch() {
    if (!watching_) {
        co_return;
    }
    watching_ = false;
    watch_ended_.expires_at(asio::steady_timer::time_point::max());
    stream_.cancel();
    error_code ignored;
    co_await watch_ended_.async_wait(into(ignored));
}

std::string connection::write_head(int status,
                                   const field_list& fields,
                                   std::optional<std::size_t> length) const {
    std::string head{chunked_ ? "HTTP/1.1 " : "HTTP/1.0 "};
    const auto reason = beast::http::obsolete_reason(
        beast::http::int_to_status(static_cast<unsigned>(status)));
    head += std::to_string(status) + " " + std::string{reason} + "\r\n";
    for (const auto* list : {&fields, &extra_fields_}) {
        for (const auto& f : *list) {
            if (!is_framing_field(f.name_)) {
                append_field(head, f.name_, f.value_);
            }
        }
    }
    const bool keep_open = keep_alive_ && !stopping_ && (length || chunked_);
    append_field(head, "Connection", keep_open ? "keep-alive" : "close");
    if (length) {
        append_field(head, "Content-Length", std::to_string(*length));
    } else if (chunked_) {
        append_field(head, "Transfer-Encoding", "chunked");
    }
    return head + "\r\n";
}

awaitable<write_result> connection::respond(const response& answer) {
    std::string text =
        write_head(answer.status_, answer.fields_, answer.body_.size());
    if (call_.method_ != "HEAD") {
        text += answer.body_;
    }
    response_state_ = response_state::streaming;
    const auto result = co_await send(text);
    response_state_ = response_state::complete;
    co_return result;
}

awaitable<write_result> connection::begin_stream(const response_head& head) {
    const std::string text =
        write_head(head.status_, head.fields_, std::nullopt);
    response_state_ = response_state::streaming;
    co_return co_await send(text);
}

awaitable<write_result> connection::write(std::string_view bytes) {
    if (bytes.empty()) {
        co_return write_result::written;
    }
    std::string text;
    if (chunked_) {
        text = to_hex(bytes.size()) + "\r\n";
        text.append(bytes).append("\r\n");
    } else {
        text = bytes;
    }
    co_return co_await send(text);
}

awaitable<write_result> connection::end_stream() {
    keep_alive_ = keep_alive_ && chunked_;
    auto result = write_result::written;
    if (chunked_) {
        result = co_await send("0\r\n\r\n");
    }
    response_state_ = response_state::complete;
    co_return result;
}

awaitable<write_result> connection::send(std::string_view bytes) {
    if (caller_disconnected_->requested()) {
        co_return write_result::gone;
    }
    error_code error;
    stream_.expires_after(limits_.write_timeout_);
    co_await asio::async_write(
        stream_, asio::buffer(bytes.data(), bytes.size()), into(error));
    if (error) {
        caller_disconnected_->request();
        co_return write_result::gone;
    }
    co_return write_result::written;
}

} // namespace pimentoferry::http::internal
