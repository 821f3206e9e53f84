#include "pimentoferry/store/http_store.hpp"

#include "pimentoferry/http/unresponsive_peer.hpp"
#include "pimentoferry/store/http_codec.hpp"

// Asio 1.74 uses std::exchange in awaitable.hpp without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <deque>
#include <optional>
#include <vector>

namespace pimentoferry::store {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using tcp = asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Values have at most 1 MB; a listing may be longer.
constexpr std::uint64_t max_response_bytes = std::uint64_t{4} << 20U;
/// Received bytes that the parser has not consumed yet. Bounds a line of the
/// chunked coding that does not end.
constexpr std::size_t max_buffered_input_bytes = std::size_t{128} << 10U;
constexpr unsigned http_1_1 = 11;

auto with_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

struct connection {
    explicit connection(asio::io_context& io) : stream_{io} {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_{max_buffered_input_bytes};
};

struct pending_operation {
    operation operation_;
    http_store::result_handler handler_;
    base::time_point deadline_;
};

} // namespace

namespace internal {

struct http_store_state : std::enable_shared_from_this<http_store_state> {
    http_store_state(asio::io_context& io, const http_store_options& options)
        : io_{io}, options_{options} {}

    void submit(pending_operation pending);
    void start(pending_operation pending);
    void complete(const pending_operation& pending,
                  const outcome& outcome,
                  std::optional<era> answered_in);
    asio::awaitable<void> execute(pending_operation pending);
    asio::awaitable<std::optional<http_answer>> exchange(connection& conn,
                                                         const http_call& call);
    asio::awaitable<bool> connect(connection& conn);
    std::unique_ptr<connection> take_idle_connection();

    asio::io_context& io_;
    http_store_options options_;
    std::deque<pending_operation> queue_;
    std::vector<std::unique_ptr<connection>> idle_connections_;
    std::size_t operations_in_progress_{0};
    http_store_stats stats_;
    bool closed_{false};
};

void http_store_state::submit(pending_operation pending) {
    if (queue_.size() >= options_.max_queued_) {
        asio::post(io_,
                   [self = shared_from_this(), pending = std::move(pending)] {
                       self->complete(pending, unavailable{}, std::nullopt);
                   });
        return;
    }
    if (operations_in_progress_ >= options_.max_connections_) {
        queue_.push_back(std::move(pending));
        return;
    }
    start(std::move(pending));
}

void http_store_state::start(pending_operation pending) {
    ++operations_in_progress_;
    auto& counter = internal::is_write(pending.operation_.request_)
                        ? stats_.writes_
                        : stats_.reads_;
    ++counter;
    asio::co_spawn(
        io_,
        [self = shared_from_this(),
         pending = std::move(pending)]() mutable -> asio::awaitable<void> {
            co_await self->execute(std::move(pending));
            --self->operations_in_progress_;
            if (!self->queue_.empty()) {
                auto next = std::move(self->queue_.front());
                self->queue_.pop_front();
                self->start(std::move(next));
            }
        },
        asio::detached);
}

void http_store_state::complete(const pending_operation& pending,
                                const outcome& outcome,
                                std::optional<era> answered_in) {
    if (closed_) {
        return;
    }
    if (std::holds_alternative<unavailable>(outcome)) {
        ++stats_.unavailable_;
    }
    if (std::holds_alternative<conflict>(outcome)) {
        ++stats_.conflicts_;
    }
    pending.handler_({pending.operation_.token_, outcome, answered_in});
}

std::unique_ptr<connection> http_store_state::take_idle_connection() {
    if (idle_connections_.empty()) {
        return nullptr;
    }
    auto conn = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    return conn;
}

asio::awaitable<bool> http_store_state::connect(connection& conn) {
    error_code error;
    const auto address = asio::ip::make_address(options_.address_.ip_, error);
    if (error) {
        co_return false;
    }
    co_await conn.stream_.async_connect(
        tcp::endpoint{address, options_.address_.port_}, with_error(error));
    if (!error) {
        conn.stream_.socket().set_option(tcp::no_delay{true}, error);
        http::detect_unresponsive_peer(conn.stream_.socket());
    }
    co_return !error;
}

asio::awaitable<std::optional<http_answer>>
http_store_state::exchange(connection& conn, const http_call& call) {
    beast_http::request<beast_http::string_body> request{
        beast_http::string_to_verb(call.method_), call.target_, http_1_1};
    request.set(beast_http::field::host, base::to_string(options_.address_));
    request.body() = call.body_;
    request.prepare_payload();
    error_code error;
    co_await beast_http::async_write(conn.stream_, request, with_error(error));
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(max_response_bytes);
    if (!error) {
        co_await beast_http::async_read(conn.stream_, conn.buffer_, parser,
                                        with_error(error));
    }
    if (error) {
        co_return std::nullopt;
    }
    auto message = parser.release();
    http_answer response{static_cast<int>(message.result_int()),
                         std::string{message["X-Revision"]},
                         std::move(message.body())};
    if (!options_.codec_.era_field_.empty()) {
        const auto text = message[options_.codec_.era_field_];
        response.era_ = internal::parse_era({text.data(), text.size()});
    }
    if (!message.keep_alive()) {
        conn.stream_.close();
    }
    co_return response;
}

asio::awaitable<void> http_store_state::execute(pending_operation pending) {
    const auto call = options_.codec_.encode_(pending.operation_.request_);
    auto conn = take_idle_connection();
    // The store may have closed an idle connection since its last use. A read
    // that fails on it is sent again on a new connection; a write is not,
    // because it may have taken effect.
    const bool may_retry =
        conn != nullptr && !internal::is_write(pending.operation_.request_);
    std::optional<http_answer> response;
    for (int attempt = 0; attempt < (may_retry ? 2 : 1) && !response;
         ++attempt) {
        bool connected = conn != nullptr;
        if (!connected) {
            conn = std::make_unique<connection>(io_);
            conn->stream_.expires_at(pending.deadline_);
            connected = co_await connect(*conn);
        }
        conn->stream_.expires_at(pending.deadline_);
        if (connected) {
            response = co_await exchange(*conn, call);
        }
        if (!response) {
            conn.reset();
        }
    }
    if (response && conn->stream_.socket().is_open()) {
        conn->stream_.expires_never();
        idle_connections_.push_back(std::move(conn));
    }
    complete(pending,
             response ? options_.codec_.decode_(pending.operation_.request_,
                                                *response)
                      : outcome{unavailable{}},
             response ? response->era_ : std::nullopt);
}

} // namespace internal

http_store::http_store(asio::io_context& io, const http_store_options& options)
    : state_{std::make_shared<internal::http_store_state>(io, options)} {}

http_store::~http_store() {
    state_->closed_ = true;
}

void http_store::submit(operation op, result_handler handler) {
    const auto* watch_request = std::get_if<watch>(&op.request_);
    const auto watch_wait =
        watch_request != nullptr ? watch_request->wait_ : base::milliseconds{0};
    const auto deadline =
        base::clock::now() + state_->options_.timeout_ + watch_wait;
    state_->submit({std::move(op), std::move(handler), deadline});
}

http_store_stats http_store::stats() const {
    return state_->stats_;
}

} // namespace pimentoferry::store
