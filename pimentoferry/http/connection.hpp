/// Server side of one connection of a caller. Internal to the library; includes
/// Beast.
#ifndef PIMENTOFERRY_HTTP_CONNECTION_HPP
#define PIMENTOFERRY_HTTP_CONNECTION_HPP

#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/http/byte_budget.hpp"
#include "pimentoferry/http/connection_watch.hpp"
#include "pimentoferry/http/server.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>

namespace pimentoferry::http::internal {

/// What the connections of a listener share. It belongs to the listener, which
/// outlives its connections.
struct connection_context {
    const server_limits& limits_;
    const handler& handle_;
    byte_budget& bodies_;
    byte_budget& stream_buffers_;
    std::shared_ptr<connection_watch> watch_;
};

class connection : public std::enable_shared_from_this<connection> {
public:
    connection(boost::asio::ip::tcp::socket socket, connection_context context);

    /// Serves requests until the connection closes.
    awaitable<void> run();

    /// Closes the connection at once if it is idle, otherwise after the
    /// response in progress.
    void stop();

    const request& call() const { return call_; }
    std::shared_ptr<cancellation> caller_disconnected() const {
        return caller_disconnected_;
    }
    caller_end ended_by() const { return ended_by_; }
    /// Stops writing; the caller receives an incomplete answer.
    void end(caller_end reason);
    /// Since when the caller has accepted none of the bytes that wait for it;
    /// unset if none wait.
    std::optional<base::time_point> stalled_since() const {
        return stalled_since_;
    }
    void set_deadline(base::time_point deadline) { deadline_ = deadline; }
    void add_field(field extra) { extra_fields_.push_back(std::move(extra)); }
    awaitable<write_result> respond(const response& answer);
    awaitable<write_result> begin_stream(const response_head& head);
    awaitable<write_result> write(std::string_view bytes);
    awaitable<write_result> end_stream();
    bool begun() const { return response_state_ != response_state::none; }

private:
    using parser =
        boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class response_state : std::uint8_t { none, streaming, complete };

    awaitable<bool> receive_request();
    awaitable<boost::system::error_code> read_request(parser& request_parser);
    /// Reads the body, whose bytes are taken from the budget.
    awaitable<boost::system::error_code> read_body(parser& request_parser);
    awaitable<void> continue_if_expected(parser& request_parser);
    awaitable<void> reject(boost::system::error_code error);
    awaitable<void> serve_request();
    awaitable<void> call_handler();
    /// Reads ahead while the handler runs, to detect that the caller
    /// disconnected.
    awaitable<void> watch_for_disconnect();
    awaitable<void> stop_disconnect_watch();
    /// Returns once the kernel has accepted all bytes.
    awaitable<write_result> send(std::string_view head,
                                 std::string_view body = {});
    /// Returns once the bytes are sent or buffered.
    awaitable<write_result> enqueue(std::string bytes);
    /// Whether the buffer may grow to that size; if so, it is counted.
    bool may_buffer(std::size_t bytes);
    /// Sends what is buffered.
    awaitable<void> flush();
    awaitable<void> await_flushed();
    /// Passes bytes to the kernel without waiting; returns their number.
    std::size_t write_some(std::string_view head,
                           std::string_view body,
                           boost::system::error_code& error);
    awaitable<boost::system::error_code> await_writable();
    base::time_point write_limit() const;
    /// Unset if the head would not be read as it is meant.
    std::optional<std::string>
    write_head(const response_head& head,
               std::optional<std::size_t> length) const;
    /// Answers in place of a response whose head cannot be written.
    awaitable<write_result> refuse_unwritable();
    void set_request(parser& request_parser);
    void close();

    boost::beast::tcp_stream stream_;
    const connection_context context_;
    const server_limits& limits_;
    byte_reservation body_;
    byte_reservation stream_buffer_;
    boost::beast::flat_buffer buffer_;
    boost::asio::steady_timer watch_ended_;
    bool watching_{false};
    bool idle_{true};
    bool stopping_{false};
    request call_;
    bool keep_alive_{false};
    /// False for HTTP/1.0 callers, whose streams end when the connection
    /// closes.
    bool chunked_{true};
    std::shared_ptr<cancellation> caller_disconnected_;
    field_list extra_fields_;
    response_state response_state_{response_state::none};
    std::optional<base::time_point> deadline_;
    caller_end ended_by_{caller_end::none};
    /// Bytes of a stream that wait for the caller, and those of them that are
    /// being sent.
    std::string buffered_;
    std::string sending_;
    bool flushing_{false};
    boost::asio::steady_timer buffer_changed_;
    boost::asio::steady_timer write_timer_;
    std::optional<base::time_point> stalled_since_;
    /// The whole answer that is being sent, if its bytes are counted.
    std::shared_ptr<counted_bytes> held_answer_;
};

} // namespace pimentoferry::http::internal

#endif
