/// A TCP proxy on loopback that injects faults into connections.
///
///     loopback_proxy proxy{io, store_port};
///     settings.store_port = proxy.port();
///     proxy.set(link_fault::silent);
///
/// Bytes that a fault drops are never delivered, and a connection that lost
/// some delivers nothing after the fault either, as after a network partition.
/// A fault may be limited to the connections of one process (`set_for`).
/// `set`, `set_for` and `reset` may be called from any thread; everything else
/// runs on the thread of the io_context.
#ifndef PIMENTOFERRY_TESTS_SOAK_LOOPBACK_PROXY_HPP
#define PIMENTOFERRY_TESTS_SOAK_LOOPBACK_PROXY_HPP

#include "standins/asio.hpp"

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace pimentoferry::soak {

enum class link_fault : std::uint8_t {
    none,
    delayed,        ///< Each chunk that is read arrives 150 ms later.
    silent,         ///< Drops all bytes in both directions.
    requests_lost,  ///< Drops all bytes to the server.
    responses_lost, ///< Drops all bytes to the client.
    refusing,       ///< New connections are reset.
};

class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context& io, std::uint16_t target);

    std::uint16_t port() const { return port_; }
    void set(link_fault fault) { set_for(0, fault); }
    /// Applies the fault to connections that the process opened; 0: to all.
    void set_for(pid_t client, link_fault fault) {
        shared_->client_ = client;
        shared_->fault_ = fault;
    }
    /// Resets all open connections.
    void reset() { ++shared_->generation_; }

private:
    /// Shared with open connections, which may outlive the proxy.
    struct state {
        std::uint16_t target_{0};
        std::atomic<link_fault> fault_{link_fault::none};
        std::atomic<pid_t> client_{0}; ///< The process that faults apply to.
        std::atomic<std::uint64_t> generation_{0};
    };
    struct connection;

    static boost::asio::awaitable<void>
    accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
           std::shared_ptr<state> shared);
    static boost::asio::awaitable<void>
    serve(boost::asio::ip::tcp::socket client, std::shared_ptr<state> shared);
    static boost::asio::awaitable<void>
    forward(std::shared_ptr<connection> link, bool to_server);
    static boost::asio::awaitable<void>
    close_on_reset(std::shared_ptr<connection> link);

    std::shared_ptr<state> shared_;
    std::uint16_t port_{0};
};

} // namespace pimentoferry::soak

#endif
