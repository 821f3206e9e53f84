#include "pimentoferry/http/connection_watch.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace pimentoferry::http::internal {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr base::milliseconds sample_interval{500};

std::optional<transmission_state> transmission_of(int socket) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    transmission_state state;
    state.awaits_acknowledgement_ =
        info.tcpi_unacked > 0 || info.tcpi_probes > 0;
    state.unanswered_probes_ = info.tcpi_probes;
    state.retransmissions_ = info.tcpi_total_retrans;
    state.since_acknowledgement_ = base::milliseconds{info.tcpi_last_ack_recv};
    return state;
}

void abort(asio::ip::tcp::socket& socket) {
    error_code ignored;
    // The kernel would keep the bytes and go on sending them.
    socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    socket.close(ignored);
}

} // namespace

connection_watch::watch_id
connection_watch::add(asio::ip::tcp::socket& socket,
                      std::function<void()> on_gone) {
    const auto id = ++last_id_;
    watched_.emplace(
        id, watched{&socket, std::move(on_gone), base::clock::now(), {}});
    arm_timer();
    return id;
}

void connection_watch::remove(watch_id id) {
    watched_.erase(id);
}

void connection_watch::arm_timer() {
    if (armed_ || watched_.empty()) {
        return;
    }
    armed_ = true;
    timer_.expires_after(sample_interval);
    timer_.async_wait([weak = weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (error || !self) {
            return;
        }
        self->armed_ = false;
        self->sample_all(base::clock::now());
        self->arm_timer();
    });
}

void connection_watch::sample_all(base::time_point now) {
    std::vector<watch_id> gone;
    for (auto& [id, each] : watched_) {
        // Most calls end before the first sample.
        if (now - each.added_at_ < sample_interval ||
            !each.socket_->is_open()) {
            continue;
        }
        const auto state = transmission_of(each.socket_->native_handle());
        if (state && each.silence_.observe(*state, now)) {
            gone.push_back(id);
        }
    }
    // A callback may remove other watches.
    std::ranges::for_each(gone, [this](watch_id id) {
        const auto found = watched_.find(id);
        if (found == watched_.end()) {
            return;
        }
        const auto ended = std::move(found->second);
        watched_.erase(found);
        abort(*ended.socket_);
        ended.on_gone_();
    });
}

} // namespace pimentoferry::http::internal
