/// HTTP/1.1 server for the stand-ins, based on coroutines of one `io_context`.
///
///     net::awaitable<void> answer(exchange& call) {
///         if (call.path() == "/stats") {
///             co_await call.reply(200, stats());
///         }
///     }
///     const auto port = listen(context, "127.0.0.1", 0, answer);
///
/// The handler runs once per request. A request that it does not answer gets a
/// 404; `close_unanswered` closes the connection instead. A write to a peer
/// that has disconnected throws `boost::system::system_error`, which closes the
/// connection unless the handler catches it.
#ifndef PIMENTOFERRY_STANDINS_HTTP_SERVER_HPP
#define PIMENTOFERRY_STANDINS_HTTP_SERVER_HPP

#include "standins/asio.hpp"
#include "standins/json.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::standins {

using headers = std::vector<std::pair<std::string, std::string>>;

/// Timeout of one write, unless the handler sets another.
inline constexpr milliseconds default_write_timeout{30000};

/// One request and its response.
class exchange {
public:
    exchange(beast::tcp_stream& stream,
             http::request<http::string_body> request);

    /// `GET`, `PUT`, ...
    std::string method() const;
    /// Without the query, percent-decoded.
    const std::string& path() const { return path_; }
    /// A query parameter, percent-decoded; empty when absent.
    std::string query(const std::string& name) const;
    bool has_query(const std::string& name) const;
    std::string header(const std::string& name) const;
    const std::string& body() const { return request_.body(); }
    /// Returns the body as JSON, or JSON null when it is not JSON.
    json body_json() const;

    net::awaitable<void> reply(unsigned status, json body, headers extra = {});
    net::awaitable<void> reply_bytes(unsigned status,
                                     std::string type,
                                     std::string body,
                                     headers extra);

    /// Starts a chunked answer with status 200; `write_chunk` continues it.
    net::awaitable<void> begin_chunks(std::string type, headers extra = {});
    net::awaitable<void> write_chunk(std::string bytes);
    /// Ends a chunked answer. If it is not called, the connection is closed
    /// and the peer sees a truncated answer.
    net::awaitable<void> end_chunks();

    /// Sends the bytes unchanged; they need not be a valid HTTP response.
    net::awaitable<void> write_raw(std::string bytes);

    /// Closes the connection after the handler instead of answering.
    void close_unanswered() { close_ = true; }
    void set_write_timeout(milliseconds timeout) { write_timeout_ = timeout; }
    /// Sets the size of the socket's send buffer; 0 leaves it unchanged.
    void set_send_buffer(int bytes);
    /// Returns true when the peer has closed its side of the connection.
    bool peer_closed();
    /// Identifies the connection among those of the peer.
    std::uint16_t peer_port();
    bool answered() const { return answered_; }
    bool must_close() const { return close_; }
    net::any_io_executor executor() { return stream_.get_executor(); }
    bool keep_alive() const { return request_.keep_alive(); }

private:
    beast::tcp_stream& stream_;
    http::request<http::string_body> request_;
    std::string path_;
    std::map<std::string, std::string> query_;
    milliseconds write_timeout_{default_write_timeout};
    bool answered_{false};
    bool close_{false};
};

using handler = std::function<net::awaitable<void>(exchange&)>;

/// Listens and serves on the context; returns the port, which the system
/// chooses when `port` is 0. Throws `boost::system::system_error` when the
/// address cannot be bound.
std::uint16_t listen(net::io_context& context,
                     const std::string& ip,
                     std::uint16_t port,
                     handler answer);

/// Returns the rest of `text` after `prefix`, or an empty view when `text` does
/// not start with it.
std::string_view after_prefix(std::string_view text, std::string_view prefix);

} // namespace pimentoferry::standins

#endif
