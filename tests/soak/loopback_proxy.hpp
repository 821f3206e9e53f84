/// A proxy between two processes on loopback that spoils their connection.
///
///     loopback_proxy proxy{io, store_port};
///     settings.store_port = proxy.port();
///     proxy.set(link_fault::silent);
///
/// Bytes that a fault holds back are never delivered, and a connection that
/// lost some stays silent after the fault, as after a partition. `set` and
/// `reset` may be called from any thread; everything else runs on the thread
/// of the io_context.
#ifndef PIMENTOFERRY_TESTS_SOAK_LOOPBACK_PROXY_HPP
#define PIMENTOFERRY_TESTS_SOAK_LOOPBACK_PROXY_HPP

#include "standins/asio.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <vector>

namespace pimentoferry::soak {

enum class link_fault : std::uint8_t {
    none,
    delayed,       ///< Each piece arrives 150 ms later.
    silent,        ///< Nothing arrives in either direction.
    requests_lost, ///< Nothing arrives at the server.
    answers_lost,  ///< Nothing arrives at the client.
    refusing,      ///< New connections are reset.
};

class loopback_proxy {
public:
    loopback_proxy(boost::asio::io_context& io, std::uint16_t target);

    std::uint16_t port() const { return port_; }
    void set(link_fault fault) { shared_->fault_ = fault; }
    /// Resets all open connections.
    void reset() { ++shared_->generation_; }

private:
    /// Outlives the proxy for the connections that are still open.
    struct state {
        std::uint16_t target_{0};
        std::atomic<link_fault> fault_{link_fault::none};
        std::atomic<std::uint64_t> generation_{0};
    };
    struct connection;

    static boost::asio::awaitable<void>
    accept(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor,
           std::shared_ptr<state> shared);
    static boost::asio::awaitable<void>
    serve(boost::asio::ip::tcp::socket client, std::shared_ptr<state> shared);
    static boost::asio::awaitable<void> pump(std::shared_ptr<connection> link,
                                             bool to_server);
    static boost::asio::awaitable<void> watch(std::shared_ptr<connection> link);

    std::shared_ptr<state> shared_;
    std::uint16_t port_{0};
};

} // namespace pimentoferry::soak

#endif
