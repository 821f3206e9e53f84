#include "standins/http_server.hpp"

#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <memory>

namespace pimentoferry::standins {
namespace {

// Prompts of tens of thousands of words take a few hundred kB; store values
// take up to 1 MB.
constexpr std::uint64_t body_limit_bytes = 8'000'000;
constexpr int hexadecimal = 16;

std::string percent_decoded(std::string_view text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(&text[i + 1], &text[i + 1] + 2, value, hexadecimal)
                    .ptr == &text[i + 1] + 2) {
            result += static_cast<char>(value);
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::map<std::string, std::string> parse_query(std::string_view query) {
    std::map<std::string, std::string> result;
    while (!query.empty()) {
        const auto end = query.find('&');
        const auto pair = query.substr(0, end);
        const auto equals = pair.find('=');
        const auto value = equals == std::string_view::npos
                               ? std::string_view{}
                               : pair.substr(equals + 1);
        result[percent_decoded(pair.substr(0, equals))] =
            percent_decoded(value);
        query = end == std::string_view::npos ? "" : query.substr(end + 1);
    }
    return result;
}

net::awaitable<bool>
serve_one(beast::tcp_stream& stream, beast::flat_buffer& buffer, handler& run) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(body_limit_bytes);
    stream.expires_never();
    co_await http::async_read(stream, buffer, parser, net::use_awaitable);
    exchange call{stream, parser.release()};
    co_await run(call);
    if (call.must_close()) {
        co_return false;
    }
    if (!call.answered()) {
        json body{json::object{{"code", json{"no_such_call"}}}};
        co_await call.reply(404, std::move(body));
    }
    co_return call.keep_alive();
}

net::awaitable<void> serve(tcp::socket socket, handler run) {
    beast::tcp_stream stream{std::move(socket)};
    beast::flat_buffer buffer;
    try {
        stream.socket().set_option(tcp::no_delay{true});
        while (co_await serve_one(stream, buffer, run)) {
        }
    } catch (const std::exception&) {
        // The peer closed the connection or stopped reading.
    }
    error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
}

net::awaitable<void> accept_all(std::shared_ptr<tcp::acceptor> acceptor,
                                handler run) {
    for (;;) {
        error_code failure;
        auto socket = co_await acceptor->async_accept(
            net::redirect_error(net::use_awaitable, failure));
        if (failure == net::error::operation_aborted) {
            co_return;
        }
        if (failure) {
            // Out of file descriptors: waits before the retry instead of
            // spinning.
            co_await sleep_for(acceptor->get_executor(), milliseconds{50});
            continue;
        }
        net::co_spawn(acceptor->get_executor(), serve(std::move(socket), run),
                      net::detached);
    }
}

} // namespace

exchange::exchange(beast::tcp_stream& stream,
                   http::request<http::string_body> request)
    : stream_(stream), request_(std::move(request)) {
    const std::string target{request_.target()};
    const auto query_start = target.find('?');
    path_ = percent_decoded(target.substr(0, query_start));
    if (query_start != std::string::npos) {
        query_ = parse_query(std::string_view{target}.substr(query_start + 1));
    }
}

std::string exchange::method() const {
    return std::string{request_.method_string()};
}

std::string exchange::query(const std::string& name) const {
    const auto found = query_.find(name);
    return found == query_.end() ? "" : found->second;
}

bool exchange::has_query(const std::string& name) const {
    return query_.contains(name);
}

std::string exchange::header(const std::string& name) const {
    return std::string{request_[name]};
}

std::uint16_t exchange::peer_port() {
    boost::system::error_code ignored;
    return stream_.socket().remote_endpoint(ignored).port();
}

json exchange::body_json() const {
    return parse_json(request_.body()).value_or(json{});
}

net::awaitable<void>
exchange::reply(unsigned status, json body, headers extra) {
    auto text = to_text(body);
    co_await reply_bytes(status, "application/json", std::move(text),
                         std::move(extra));
}

net::awaitable<void> exchange::reply_bytes(unsigned status,
                                           std::string type,
                                           std::string body,
                                           headers extra) {
    http::response<http::string_body> response{
        static_cast<http::status>(status), request_.version()};
    response.set(http::field::content_type, type);
    for (const auto& [name, value] : extra) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    answered_ = true;
    stream_.expires_after(write_timeout_);
    co_await http::async_write(stream_, response, net::use_awaitable);
}

net::awaitable<void> exchange::begin_chunks(std::string type, headers extra) {
    http::response<http::empty_body> response{http::status::ok,
                                              request_.version()};
    response.set(http::field::content_type, type);
    response.set(http::field::cache_control, "no-store");
    for (const auto& [name, value] : extra) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    answered_ = true;
    close_ = true;
    http::response_serializer<http::empty_body> serializer{response};
    stream_.expires_after(write_timeout_);
    co_await http::async_write_header(stream_, serializer, net::use_awaitable);
}

net::awaitable<void> exchange::write_chunk(std::string bytes) {
    stream_.expires_after(write_timeout_);
    co_await net::async_write(stream_, http::make_chunk(net::buffer(bytes)),
                              net::use_awaitable);
}

net::awaitable<void> exchange::end_chunks() {
    stream_.expires_after(write_timeout_);
    co_await net::async_write(stream_, http::make_chunk_last(),
                              net::use_awaitable);
    close_ = false;
}

net::awaitable<void> exchange::write_raw(std::string bytes) {
    answered_ = true;
    stream_.expires_after(write_timeout_);
    co_await net::async_write(stream_, net::buffer(bytes), net::use_awaitable);
}

void exchange::set_send_buffer(int bytes) {
    if (bytes > 0) {
        error_code ignored;
        stream_.socket().set_option(net::socket_base::send_buffer_size{bytes},
                                    ignored);
    }
}

bool exchange::peer_closed() {
    char byte = 0;
    const auto count = ::recv(stream_.socket().native_handle(), &byte, 1,
                              MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

std::uint16_t listen(net::io_context& context,
                     const std::string& ip,
                     std::uint16_t port,
                     handler answer) {
    const tcp::endpoint address{net::ip::make_address(ip), port};
    auto acceptor = std::make_shared<tcp::acceptor>(context, address);
    const auto bound_port = acceptor->local_endpoint().port();
    net::co_spawn(context, accept_all(std::move(acceptor), std::move(answer)),
                  net::detached);
    return bound_port;
}

std::string_view after_prefix(std::string_view text, std::string_view prefix) {
    return text.starts_with(prefix) ? text.substr(prefix.size())
                                    : std::string_view{};
}

} // namespace pimentoferry::standins
