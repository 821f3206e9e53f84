/// Ends operations on connections whose peer is gone. Internal to the library;
/// includes Asio.
///
/// The kernel gives up on unacknowledged bytes only after many minutes, and the
/// limit that it offers (`TCP_USER_TIMEOUT`) also ends connections to peers
/// that are alive and read slowly. Keep-alive probes cover connections without
/// outstanding bytes, see `detect_unresponsive_peer`.
#ifndef PIMENTOFERRY_HTTP_CONNECTION_WATCH_HPP
#define PIMENTOFERRY_HTTP_CONNECTION_WATCH_HPP

#include "pimentoferry/http/peer_silence.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace pimentoferry::http::internal {

/// To be held by a shared pointer: samples are taken while it exists.
class connection_watch : public std::enable_shared_from_this<connection_watch> {
public:
    using watch_id = std::uint64_t;

    explicit connection_watch(boost::asio::io_context& context)
        : timer_(context) {}

    /// Samples the socket until `remove`. Once its peer counts as gone, the
    /// socket is closed, so that its operations fail, and `on_gone` is called.
    /// The socket must outlive the watch of it.
    watch_id add(boost::asio::ip::tcp::socket& socket,
                 std::function<void()> on_gone);

    /// Ends a watch; unknown ids are ignored.
    void remove(watch_id id);

private:
    struct watched {
        boost::asio::ip::tcp::socket* socket_;
        std::function<void()> on_gone_;
        base::time_point added_at_;
        peer_silence silence_;
    };

    void arm_timer();
    void sample_all(base::time_point now);

    boost::asio::steady_timer timer_;
    bool armed_{false};
    watch_id last_id_{0};
    std::map<watch_id, watched> watched_;
};

} // namespace pimentoferry::http::internal

#endif
