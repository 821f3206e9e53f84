#include "pimentoferry/store/http_store.hpp"

#include "pimentoferry/http/silence.hpp"
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

/// Values are at most 1 MB; a listing may be somewhat longer.
constexpr std::uint64_t max_answer_bytes = std::uint64_t{4} << 20U;
constexpr unsigned http_1_1 = 11;

auto with_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

struct connection {
    explicit connection(asio::io_context& io) : stream_{io} {}

    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
};

struct pending {
    operation operation_;
    http_store::result_handler handler_;
    base::time_point deadline_;
};

} // namespace

namespace internal {

struct client_state : std::enable_shared_from_this<client_state> {
    client_state(asio::io_context& io, const http_store_options& options)
        : io_{io}, options_{options} {}

    void submit(pending work);
    void start(pending work);
    void complete(const pending& work, const outcome& outcome);
    asio::awaitable<void> run(pending work);
    asio::awaitable<std::optional<http_answer>> exchange(connection& link,
                                                         const http_call& call);
    asio::awaitable<bool> connect(connection& link);
    std::unique_ptr<connection> take_idle();

    asio::io_context& io_;
    http_store_options options_;
    std::deque<pending> queue_;
    std::vector<std::unique_ptr<connection>> idle_;
    std::size_t running_{0};
    http_store_stats stats_;
    bool closed_{false};
};

void client_state::submit(pending work) {
    if (queue_.size() >= options_.max_queued_) {
        asio::post(io_, [self = shared_from_this(), work = std::move(work)] {
            self->complete(work, unavailable{});
        });
        return;
    }
    if (running_ >= options_.max_connections_) {
        queue_.push_back(std::move(work));
        return;
    }
    start(std::move(work));
}

void client_state::start(pending work) {
    ++running_;
    auto& counter = internal::is_write(work.operation_.request_)
                        ? stats_.writes_
                        : stats_.reads_;
    ++counter;
    asio::co_spawn(
        io_,
        [self = shared_from_this(),
         work = std::move(work)]() mutable -> asio::awaitable<void> {
            co_await self->run(std::move(work));
            --self->running_;
            if (!self->queue_.empty()) {
                auto next = std::move(self->queue_.front());
                self->queue_.pop_front();
                self->start(std::move(next));
            }
        },
        asio::detached);
}

void client_state::complete(const pending& work, const outcome& outcome) {
    if (closed_) {
        return;
    }
    if (std::holds_alternative<unavailable>(outcome)) {
        ++stats_.unavailable_;
    }
    if (std::holds_alternative<conflict>(outcome)) {
        ++stats_.conflicts_;
    }
    work.handler_({work.operation_.token_, outcome});
}

std::unique_ptr<connection> client_state::take_idle() {
    if (idle_.empty()) {
        return nullptr;
    }
    auto link = std::move(idle_.back());
    idle_.pop_back();
    return link;
}

asio::awaitable<bool> client_state::connect(connection& link) {
    error_code error;
    const auto address = asio::ip::make_address(options_.address_.ip_, error);
    if (error) {
        co_return false;
    }
    co_await link.stream_.async_connect(
        tcp::endpoint{address, options_.address_.port_}, with_error(error));
    if (!error) {
        link.stream_.socket().set_option(tcp::no_delay{true}, error);
        http::detect_silence(link.stream_.socket());
    }
    co_return !error;
}

asio::awaitable<std::optional<http_answer>>
client_state::exchange(connection& link, const http_call& call) {
    beast_http::request<beast_http::string_body> request{
        beast_http::string_to_verb(call.method_), call.target_, http_1_1};
    request.set(beast_http::field::host, base::to_string(options_.address_));
    request.body() = call.body_;
    request.prepare_payload();
    error_code error;
    co_await beast_http::async_write(link.stream_, request, with_error(error));
    beast_http::response_parser<beast_http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    if (!error) {
        co_await beast_http::async_read(link.stream_, link.buffer_, parser,
                                        with_error(error));
    }
    if (error) {
        co_return std::nullopt;
    }
    auto response = parser.release();
    http_answer answer{static_cast<int>(response.result_int()),
                       std::string{response["X-Revision"]},
                       std::move(response.body())};
    if (!response.keep_alive()) {
        link.stream_.close();
    }
    co_return answer;
}

asio::awaitable<void> client_state::run(pending work) {
    const auto call = options_.codec_.encode_(work.operation_.request_);
    auto link = take_idle();
    // A kept connection may have been closed by the store since its last use.
    // Reads may be sent again on a new one; a write may have taken effect.
    const bool may_repeat =
        link != nullptr && !internal::is_write(work.operation_.request_);
    std::optional<http_answer> answer;
    for (int attempt = 0; attempt < (may_repeat ? 2 : 1) && !answer;
         ++attempt) {
        bool connected = link != nullptr;
        if (!connected) {
            link = std::make_unique<connection>(io_);
            link->stream_.expires_at(work.deadline_);
            connected = co_await connect(*link);
        }
        link->stream_.expires_at(work.deadline_);
        if (connected) {
            answer = co_await exchange(*link, call);
        }
        if (!answer) {
            link.reset();
        }
    }
    if (answer && link->stream_.socket().is_open()) {
        link->stream_.expires_never();
        idle_.push_back(std::move(link));
    }
    complete(work,
             answer ? options_.codec_.decode_(work.operation_.request_, *answer)
                    : outcome{unavailable{}});
}

} // namespace internal

http_store::http_store(asio::io_context& io, const http_store_options& options)
    : state_{std::make_shared<internal::client_state>(io, options)} {}

http_store::~http_store() {
    state_->closed_ = true;
}

void http_store::submit(operation op, result_handler handler) {
    const auto* watching = std::get_if<watch>(&op.request_);
    const auto wait =
        watching != nullptr ? watching->wait_ : base::milliseconds{0};
    const auto deadline = base::clock::now() + state_->options_.timeout_ + wait;
    state_->submit({std::move(op), std::move(handler), deadline});
}

http_store_stats http_store::stats() const {
    return state_->stats_;
}

} // namespace pimentoferry::store
