#include "pimentoferry/http/connection_pool.hpp"

#include <boost/asio/error.hpp>

#include <algorithm>

namespace pimentoferry::http::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Below the idle timeout of the server in this library (60 s), so that the
// client closes first.
constexpr std::chrono::seconds idle_limit{20};
constexpr std::size_t idle_connections_per_address = 64;

// An idle connection has nothing to read unless the upstream closed it.
bool is_quiet(boost::beast::tcp_stream& stream) {
    char byte{};
    error_code error;
    auto& socket = stream.socket();
    socket.non_blocking(true, error);
    if (error) {
        return false;
    }
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                   error);
    return error == asio::error::would_block;
}

} // namespace

stream_ptr connection_pool::take(const base::endpoint& address,
                                 base::milliseconds longest_idle) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = base::clock::now();
    while (!connections.empty()) {
        idle_connection last = std::move(connections.back());
        connections.pop_back();
        const bool fresh = last.since_ + longest_idle > now;
        if (fresh && last.until_ > now && is_quiet(*last.stream_)) {
            return std::move(last.stream_);
        }
    }
    idle_.erase(found);
    return nullptr;
}

void connection_pool::give_back(const base::endpoint& address,
                                stream_ptr stream,
                                base::milliseconds keep_alive) {
    const auto now = base::clock::now();
    auto& connections = idle_[address];
    std::erase_if(connections,
                  [now](const auto& idle) { return idle.until_ <= now; });
    if (connections.size() < idle_connections_per_address) {
        const auto until =
            now + std::min<base::milliseconds>(idle_limit, keep_alive);
        connections.push_back({std::move(stream), now, until});
    }
}

stream_ptr connection_pool::make() {
    return std::make_unique<boost::beast::tcp_stream>(context_);
}

} // namespace pimentoferry::http::internal
