#include "pimentoferry/http/server.hpp"

#include "pimentoferry/http/byte_budget.hpp"
#include "pimentoferry/http/connection.hpp"
#include "pimentoferry/http/connection_watch.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/unresponsive_peer.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <set>

namespace pimentoferry::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace internal {

namespace {

// When no file descriptor is free, accept fails immediately each time. The
// delay gives open connections time to close.
constexpr base::milliseconds accept_retry_delay{50};

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

class listener : public std::enable_shared_from_this<listener> {
public:
    listener(asio::io_context& context,
             const server_limits& limits,
             handler handle)
        : context_(context), acceptor_(context), limits_(limits),
          watch_(std::make_shared<connection_watch>(context)),
          handle_(std::move(handle)) {
        apply_budgets();
    }

    error_code open(const base::endpoint& address) {
        error_code error;
        const auto ip = asio::ip::make_address(address.ip_, error);
        const tcp::endpoint endpoint{ip, address.port_};
        const auto unless_failed = [&error](auto&& step) {
            if (!error) {
                step();
            }
        };
        unless_failed([&] { acceptor_.open(endpoint.protocol(), error); });
        unless_failed([&] {
            acceptor_.set_option(tcp::acceptor::reuse_address{true}, error);
        });
        unless_failed([&] { acceptor_.set_option(reuse_port{true}, error); });
        unless_failed([&] { acceptor_.bind(endpoint, error); });
        unless_failed([&] {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        });
        return error;
    }

    base::endpoint address() const {
        error_code ignored;
        const auto local = acceptor_.local_endpoint(ignored);
        return {local.address().to_string(), local.port()};
    }

    awaitable<void> accept_connections() {
        const auto self = shared_from_this();
        error_code error;
        while (acceptor_.is_open()) {
            tcp::socket socket = co_await acceptor_.async_accept(into(error));
            if (!error) {
                start_connection(std::move(socket));
            } else if (acceptor_.is_open()) {
                asio::steady_timer delay{context_, accept_retry_delay};
                co_await delay.async_wait(into(error));
            }
        }
    }

    void stop() {
        error_code ignored;
        acceptor_.close(ignored);
        // `connection::stop` may remove the connection from the set, so a copy
        // is iterated.
        const auto connections = connections_;
        for (const auto& c : connections) {
            c->stop();
        }
    }

    std::size_t connection_count() const { return connections_.size(); }

    void set_limits(const server_limits& limits) {
        limits_ = limits;
        apply_budgets();
    }

    bool cut_longest_stalled() {
        const auto stalled_since = [](const auto& each) {
            return each->stalled_since().value_or(base::time_point::max());
        };
        const auto longest =
            std::ranges::min_element(connections_, {}, stalled_since);
        if (longest == connections_.end() ||
            stalled_since(*longest) >
                base::clock::now() - limits_.least_stall_) {
            return false;
        }
        (*longest)->end(caller_end::evicted);
        return true;
    }

private:
    void start_connection(tcp::socket socket) {
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        detect_unresponsive_peer(socket);
        const auto accepted = std::make_shared<connection>(
            std::move(socket), connection_context{limits_, handle_, bodies_,
                                                  stream_buffers_, watch_});
        connections_.insert(accepted);
        asio::co_spawn(
            context_, [accepted] { return accepted->run(); },
            [self = shared_from_this(), accepted](const std::exception_ptr&) {
                self->connections_.erase(accepted);
            });
    }

    void apply_budgets() {
        bodies_.set_limit(limits_.body_budget_bytes_);
        stream_buffers_.set_limit(limits_.stream_budget_bytes_);
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    server_limits limits_;
    byte_budget bodies_;
    byte_budget stream_buffers_;
    std::shared_ptr<connection_watch> watch_;
    handler handle_;
    std::set<std::shared_ptr<connection>> connections_;
};

} // namespace internal

std::variant<server, listen_failure>
server::listen(asio::io_context& context,
               const base::endpoint& address,
               const server_limits& limits,
               handler handle) {
    const auto listener = std::make_shared<internal::listener>(
        context, limits, std::move(handle));
    if (const auto error = listener->open(address)) {
        return listen_failure{address, error.message()};
    }
    asio::co_spawn(
        context, [listener] { return listener->accept_connections(); },
        asio::detached);
    return server{listener};
}

server::server(std::shared_ptr<internal::listener> listener)
    : listener_(std::move(listener)) {}

server::server(server&& other) noexcept = default;
server& server::operator=(server&& other) noexcept = default;

server::~server() {
    if (listener_) {
        listener_->stop();
    }
}

base::endpoint server::address() const {
    return listener_->address();
}

std::size_t server::connection_count() const {
    return listener_->connection_count();
}

void server::set_limits(const server_limits& limits) {
    listener_->set_limits(limits);
}

bool server::cut_longest_stalled() {
    return listener_->cut_longest_stalled();
}

void server::stop() {
    listener_->stop();
}

} // namespace pimentoferry::http
