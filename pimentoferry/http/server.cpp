#include "pimentoferry/http/server.hpp"

#include "pimentoferry/http/connection.hpp"
#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/silence.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>

#include <set>

namespace pimentoferry::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace internal {

namespace {

// With no file descriptor left, accept fails at once again and again; the
// pause lets connections end.
constexpr base::milliseconds accept_pause{50};

using reuse_port =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

class listener : public std::enable_shared_from_this<listener> {
public:
    listener(asio::io_context& context,
             const server_limits& limits,
             handler handle)
        : context_(context), acceptor_(context), limits_(limits),
          handle_(std::move(handle)) {}

    error_code open(const base::endpoint& address) {
        error_code error;
        const auto ip = asio::ip::make_address(address.ip_, error);
        const tcp::endpoint endpoint{ip, address.port_};
        const auto then = [&error](auto&& step) {
            if (!error) {
                step();
            }
        };
        then([&] { acceptor_.open(endpoint.protocol(), error); });
        then([&] {
            acceptor_.set_option(tcp::acceptor::reuse_address{true}, error);
        });
        then([&] { acceptor_.set_option(reuse_port{true}, error); });
        then([&] { acceptor_.bind(endpoint, error); });
        then([&] {
            acceptor_.listen(asio::socket_base::max_listen_connections, error);
        });
        return error;
    }

    base::endpoint address() const {
        error_code ignored;
        const auto local = acceptor_.local_endpoint(ignored);
        return {local.address().to_string(), local.port()};
    }

    awaitable<void> accept_all() {
        const auto self = shared_from_this();
        error_code error;
        while (acceptor_.is_open()) {
            tcp::socket socket = co_await acceptor_.async_accept(into(error));
            if (!error) {
                start(std::move(socket));
            } else if (acceptor_.is_open()) {
                asio::steady_timer pause{context_, accept_pause};
                co_await pause.async_wait(into(error));
            }
        }
    }

    void stop() {
        error_code ignored;
        acceptor_.close(ignored);
        // A connection that stops may leave the set at once.
        const auto connections = connections_;
        for (const auto& c : connections) {
            c->stop();
        }
    }

    std::size_t connection_count() const { return connections_.size(); }

    void set_limits(const server_limits& limits) { limits_ = limits; }

private:
    void start(tcp::socket socket) {
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        detect_silence(socket);
        const auto made =
            std::make_shared<connection>(std::move(socket), limits_, handle_);
        connections_.insert(made);
        asio::co_spawn(
            context_, [made] { return made->run(); },
            [self = shared_from_this(), made](const std::exception_ptr&) {
                self->connections_.erase(made);
            });
    }

    asio::io_context& context_;
    tcp::acceptor acceptor_;
    server_limits limits_;
    handler handle_;
    std::set<std::shared_ptr<connection>> connections_;
};

} // namespace internal

std::variant<server, listen_failure>
server::listen(asio::io_context& context,
               const base::endpoint& address,
               const server_limits& limits,
               handler handle) {
    const auto made = std::make_shared<internal::listener>(context, limits,
                                                           std::move(handle));
    if (const auto error = made->open(address)) {
        return listen_failure{address, error.message()};
    }
    asio::co_spawn(
        context, [made] { return made->accept_all(); }, asio::detached);
    return server{made};
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

void server::stop() {
    listener_->stop();
}

} // namespace pimentoferry::http
