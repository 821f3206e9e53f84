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

    /// A connection that was alive a moment ago; null when there is none.
    stream_ptr take(const base::endpoint& address);

    /// Keeps a connection on which no byte is outstanding.
    void give_back(const base::endpoint& address, stream_ptr stream);

    stream_ptr make();

private:
    struct idle_connection {
        stream_ptr stream_;
        base::time_point since_;
    };

    boost::asio::io_context& context_;
    std::map<base::endpoint, std::vector<idle_connection>> idle_;
};

} // namespace pimentoferry::http::internal

#endif
