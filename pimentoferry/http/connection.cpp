#include "pimentoferry/http/connection.hpp"

#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/framing.hpp"
#include "pimentoferry/http/head_writer.hpp"
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
// For an answer that is ready at the deadline.
constexpr base::milliseconds last_write_time{250};
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

} // namespace

connection::connection(asio::ip::tcp::socket socket, connection_context context)
    : stream_(std::move(socket)), context_(std::move(context)),
      limits_(context_.limits_), body_(context_.bodies_),
      stream_buffer_(context_.stream_buffers_),
      watch_ended_(stream_.get_executor()),
      caller_disconnected_(std::make_shared<cancellation>()),
      buffer_changed_(stream_.get_executor()),
      write_timer_(stream_.get_executor()) {
    error_code ignored;
    stream_.socket().non_blocking(true, ignored);
}

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
    if (response_state_ == response_state::streaming && !chunked_) {
        // The end of the connection would mark the end of the answer.
        stream_.socket().set_option(asio::socket_base::linger{true, 0},
                                    ignored);
        stream_.close();
        return;
    }
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
    deadline_.reset();
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
    const auto watch =
        context_.watch_->add(stream_.socket(), [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->end(caller_end::unresponsive);
            }
        });
    asio::co_spawn(
        stream_.get_executor(),
        [self = shared_from_this()] { return self->watch_for_disconnect(); },
        asio::detached);
    co_await call_handler();
    co_await await_flushed();
    context_.watch_->remove(watch);
    co_await stop_disconnect_watch();
}

awaitable<void> connection::call_handler() {
    exchange call{*this};
    bool failed = false;
    try {
        co_await context_.handle_(call);
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
    const bool disconnected = error && watching_;
    watching_ = false;
    watch_ended_.cancel();
    if (disconnected) {
        end(caller_end::closed);
    }
}

void connection::end(caller_end reason) {
    if (caller_disconnected_->requested()) {
        return;
    }
    ended_by_ = reason;
    stalled_since_.reset();
    if (held_answer_) {
        held_answer_->release();
    }
    buffered_.clear();
    stream_buffer_.clear();
    buffer_changed_.cancel();
    // Ends a write that waits for the caller.
    error_code ignored;
    stream_.socket().cancel(ignored);
    caller_disconnected_->request();
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

std::optional<std::string>
connection::write_head(const response_head& head,
                       std::optional<std::size_t> length) const {
    const bool keep_open = keep_alive_ && !stopping_ && (length || chunked_);
    return write_response_head(head, extra_fields_,
                               {length, chunked_, keep_open});
}

awaitable<write_result> connection::refuse_unwritable() {
    extra_fields_.clear();
    const base::refusal refusal{
        base::refusal_code::upstream_failed, base::ran_state::unknown,
        std::nullopt, "the answer has a field that cannot be passed on"};
    const auto answer = problem_response(refusal, {});
    co_return co_await respond(answer);
}

awaitable<write_result> connection::respond(const response& answer) {
    const auto head =
        write_head({answer.status_, answer.fields_}, answer.body_.size());
    if (!head) {
        co_return co_await refuse_unwritable();
    }
    response_state_ = response_state::streaming;
    held_answer_ = answer.counted_;
    const std::string_view body = answer.body_;
    const auto result = co_await send(
        *head, call_.method_ != "HEAD" ? body : body.substr(0, 0));
    held_answer_.reset();
    if (result == write_result::written) {
        response_state_ = response_state::complete;
    }
    co_return result;
}

awaitable<write_result> connection::begin_stream(const response_head& head) {
    auto text = write_head(head, std::nullopt);
    if (!text) {
        co_await refuse_unwritable();
        co_return write_result::gone;
    }
    response_state_ = response_state::streaming;
    co_return co_await enqueue(std::move(*text));
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
    co_return co_await enqueue(std::move(text));
}

awaitable<write_result> connection::end_stream() {
    keep_alive_ = keep_alive_ && chunked_;
    if (chunked_) {
        std::string last_chunk{"0\r\n\r\n"};
        co_await enqueue(std::move(last_chunk));
    }
    co_await await_flushed();
    if (caller_disconnected_->requested()) {
        co_return write_result::gone;
    }
    response_state_ = response_state::complete;
    co_return write_result::written;
}

std::size_t connection::write_some(std::string_view head,
                                   std::string_view body,
                                   error_code& error) {
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(head.data(), head.size()),
        asio::buffer(body.data(), body.size())};
    const auto size = stream_.socket().write_some(parts, error);
    if (error == asio::error::would_block) {
        error = {};
    }
    return size;
}

base::time_point connection::write_limit() const {
    const auto now = base::clock::now();
    return deadline_ ? std::max(*deadline_, now + last_write_time)
                     : now + limits_.write_timeout_;
}

// Ends the connection if the caller accepts no byte until the limit.
awaitable<error_code> connection::await_writable() {
    stalled_since_ = base::clock::now();
    write_timer_.expires_at(write_limit());
    write_timer_.async_wait(
        [weak = weak_from_this()](const error_code& cancelled) {
            const auto self = weak.lock();
            if (self && !cancelled && self->stalled_since_) {
                self->end(caller_end::too_slow);
            }
        });
    error_code error;
    co_await stream_.socket().async_wait(asio::ip::tcp::socket::wait_write,
                                         into(error));
    stalled_since_.reset();
    write_timer_.cancel();
    co_return caller_disconnected_->requested() ? asio::error::operation_aborted
                                                : error;
}

awaitable<write_result> connection::send(std::string_view head,
                                         std::string_view body) {
    error_code error;
    while (!error && !caller_disconnected_->requested()) {
        const auto size = write_some(head, body, error);
        const auto of_head = std::min(size, head.size());
        head.remove_prefix(of_head);
        body.remove_prefix(size - of_head);
        if (head.empty() && body.empty()) {
            co_return write_result::written;
        }
        if (!error) {
            error = co_await await_writable();
        }
    }
    end(caller_end::closed);
    co_return write_result::gone;
}

bool connection::may_buffer(std::size_t bytes) {
    return bytes <= limits_.stream_buffer_bytes_ &&
           stream_buffer_.grow_to(bytes);
}

awaitable<write_result> connection::enqueue(std::string bytes) {
    if (caller_disconnected_->requested()) {
        co_return write_result::gone;
    }
    if (!flushing_) {
        error_code error;
        const auto size = write_some(bytes, {}, error);
        if (error) {
            end(caller_end::closed);
            co_return write_result::gone;
        }
        if (size == bytes.size()) {
            co_return write_result::written;
        }
        bytes.erase(0, size);
    }
    buffered_ += bytes;
    if (!flushing_) {
        flushing_ = true;
        asio::co_spawn(
            stream_.get_executor(),
            [self = shared_from_this()] { return self->flush(); },
            asio::detached);
    }
    while (flushing_ && !may_buffer(buffered_.size() + sending_.size())) {
        buffer_changed_.expires_at(asio::steady_timer::time_point::max());
        error_code ignored;
        co_await buffer_changed_.async_wait(into(ignored));
    }
    co_return caller_disconnected_->requested() ? write_result::gone
                                                : write_result::written;
}

awaitable<void> connection::flush() {
    while (!buffered_.empty() && !caller_disconnected_->requested()) {
        sending_ = std::exchange(buffered_, {});
        co_await send(sending_);
        sending_.clear();
        stream_buffer_.shrink_to(buffered_.size());
        buffer_changed_.cancel();
    }
    flushing_ = false;
    stream_buffer_.clear();
    buffer_changed_.cancel();
}

awaitable<void> connection::await_flushed() {
    while (flushing_) {
        buffer_changed_.expires_at(asio::steady_timer::time_point::max());
        error_code ignored;
        co_await buffer_changed_.async_wait(into(ignored));
    }
}

} // namespace pimentoferry::http::internal
