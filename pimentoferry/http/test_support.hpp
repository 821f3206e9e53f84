/// Servers and raw connections on loopback for the tests of this library.
#ifndef PIMENTOFERRY_HTTP_TEST_SUPPORT_HPP
#define PIMENTOFERRY_HTTP_TEST_SUPPORT_HPP

#include "pimentoferry/http/server.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <linux/filter.h>
#include <sys/socket.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace pimentoferry::http {

/// A server that runs on its own thread.
class running_server {
public:
    explicit running_server(handler handle, const server_limits& limits = {}) {
        const base::endpoint any_port{"127.0.0.1", 0};
        auto result =
            server::listen(context_, any_port, limits, std::move(handle));
        server_.emplace(std::get<server>(std::move(result)));
        address_ = server_->address();
        thread_ = std::thread{[this] { context_.run(); }};
    }
    running_server(const running_server&) = delete;
    running_server& operator=(const running_server&) = delete;
    ~running_server() {
        context_.stop();
        thread_.join();
    }

    const base::endpoint& address() const { return address_; }

    /// Runs a function on the thread of the server.
    void post(std::function<void(server&)> action) {
        boost::asio::post(
            context_, [this, action = std::move(action)] { action(*server_); });
    }

    /// Stops the server after `steps` other completions. To be called on the
    /// thread of the server, by a handler.
    void stop_after(int steps) {
        if (steps == 0) {
            server_->stop();
        } else {
            boost::asio::post(context_,
                              [this, steps] { stop_after(steps - 1); });
        }
    }

private:
    boost::asio::io_context context_;
    std::optional<server> server_;
    base::endpoint address_;
    std::thread thread_;
};

/// Makes the kernel drop everything that arrives on the connection, so that
/// nothing is acknowledged, as if its host had lost its power.
inline void fall_silent(boost::asio::ip::tcp::socket& socket) {
    sock_filter drop_all{BPF_RET | BPF_K, 0, 0, 0};
    const sock_fprog program{1, &drop_all};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof program);
}

/// A blocking connection that sends and receives raw bytes.
class raw_connection {
public:
    /// `receive_buffer_bytes`: of the kernel; 0 leaves its default.
    explicit raw_connection(const base::endpoint& address,
                            int receive_buffer_bytes = 0)
        : socket_(context_) {
        const auto ip = boost::asio::ip::make_address(address.ip_);
        socket_.open(boost::asio::ip::tcp::v4());
        if (receive_buffer_bytes > 0) {
            socket_.set_option(boost::asio::socket_base::receive_buffer_size{
                receive_buffer_bytes});
        }
        socket_.connect({ip, address.port_});
    }

    void send(std::string_view bytes) {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    /// Returns all input until the server closes the connection.
    std::string receive_all() {
        std::string text;
        boost::system::error_code ignored;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(text), ignored);
        return text;
    }

    /// Returns exactly `size` bytes.
    std::string receive(std::size_t size) {
        std::string text(size, '\0');
        boost::asio::read(socket_, boost::asio::buffer(text));
        return text;
    }

    void fall_silent() { http::fall_silent(socket_); }

    void end_sending() {
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }
    void close() { socket_.close(); }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

/// Waits up to 5 s for a condition; returns whether it became true.
template <class Condition>
bool becomes_true(Condition condition) {
    const auto end = base::clock::now() + std::chrono::seconds{5};
    while (!condition()) {
        if (base::clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(base::milliseconds{2});
    }
    return true;
}

} // namespace pimentoferry::http

#endif
