/// Resources that the calls of one client share: idle connections to upstreams
/// and the limit of bytes of answers. Internal to the library; includes Beast.
#ifndef PIMENTOFERRY_HTTP_CONNECTION_POOL_HPP
#define PIMENTOFERRY_HTTP_CONNECTION_POOL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/connection_watch.hpp"
#include "pimentoferry/http/counted_bytes.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace pimentoferry::http::internal {

using stream_ptr = std::unique_ptr<boost::beast::tcp_stream>;

class connection_pool {
public:
    connection_pool(boost::asio::io_context& context,
                    std::size_t max_buffered_bytes)
        : context_(context), max_buffered_bytes_(max_buffered_bytes),
          watch_(std::make_shared<connection_watch>(context)) {}

    std::shared_ptr<counted_bytes> count_bytes() const {
        return std::make_shared<counted_bytes>(answer_bytes_,
                                               max_buffered_bytes_);
    }
    /// Whether answers that wait for their callers are held. `free_bytes` asks
    /// their owner to give some of them up.
    bool holds_complete_answers() const { return answer_bytes_->complete_ > 0; }
    void free_bytes() const {
        if (free_bytes_) {
            free_bytes_();
        }
    }
    void set_free_bytes(std::function<void()> free_bytes) {
        free_bytes_ = std::move(free_bytes);
    }

    connection_watch& watch() { return *watch_; }

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
    std::size_t max_buffered_bytes_;
    std::shared_ptr<answer_bytes> answer_bytes_{
        std::make_shared<answer_bytes>()};
    std::function<void()> free_bytes_;
    std::shared_ptr<connection_watch> watch_;
    std::map<base::endpoint, std::vector<idle_connection>> idle_;
};

} // namespace pimentoferry::http::internal

#endif
