#include "pimentoferry/http/connection_pool.hpp"

#include <boost/asio/error.hpp>

#include <algorithm>

namespace pimentoferry::http::internal {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

// Below the idle timeout of this library's server (60 s), so that the client
// closes idle connections first.
constexpr std::chrono::seconds max_idle_time{20};
constexpr std::size_t max_idle_per_address = 64;

// An idle connection has no input unless the upstream closed it or sent
// unexpected data; either makes it unusable.
bool is_reusable(boost::beast::tcp_stream& stream) {
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
                                 base::milliseconds max_idle) {
    const auto found = idle_.find(address);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& connections = found->second;
    const auto now = base::clock::now();
    while (!connections.empty()) {
        idle_connection last = std::move(connections.back());
        connections.pop_back();
        const bool fresh = last.idle_since_ + max_idle > now;
        if (fresh && last.usable_until_ > now && is_reusable(*last.stream_)) {
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
    std::erase_if(connections, [now](const auto& idle) {
        return idle.usable_until_ <= now;
    });
    if (connections.size() < max_idle_per_address) {
        const auto usable_until =
            now + std::min<base::milliseconds>(max_idle_time, keep_alive);
        connections.push_back({std::move(stream), now, usable_until});
    }
}

stream_ptr connection_pool::make() {
    return std::make_unique<boost::beast::tcp_stream>(context_);
}

} // namespace pimentoferry::http::internal
