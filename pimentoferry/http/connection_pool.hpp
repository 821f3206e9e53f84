/// Idle connections to upstreams. Internal to the library; includes Beast.
#ifndef PIMENTOFERRY_HTTP_CONNECTION_POOL_HPP
#define PIMENTOFERRY_HTTP_CONNECTION_POOL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <map>
#include <memory>
#include <vector>

namespace pimentoferry::http::internal {

using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

class connection_pool {
public:
    explicit connection_pool(boost::asio::io_context& context)
        : context_(context) {}

    /// Removes and returns an open connection that was idle for less than
    /// `max_idle`; null if there is none. The upstream may still close it
    /// before it is used.
    stream_ptr take(const base::endpoint& address, base::milliseconds max_idle);

    /// Adds a connection on which no request or response is in progress. It is
    /// not used again after `keep_alive`, the time that the upstream announced.
    void give_back(const base::endpoint& address,
                   stream_ptr stream,
                   base::milliseconds keep_alive);

    /// Creates a stream that is not connected yet.
    stream_ptr make();

private:
    struct idle_connection {
        stream_ptr stream_;
        base::time_point idle_since_;
        base::time_point usable_until_;
    };

    boost::asio::io_context& context_;
    std::map<base::endpoint, std::vector<idle_connection>> idle_;
};

} // namespace pimentoferry::http::internal

#endif
