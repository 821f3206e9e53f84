#include "pimentoferry/wire/peer_hub.hpp"

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/wire/frame.hpp"

// Asio 1.74 uses std::exchange in awaitable.hpp without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>

namespace pimentoferry::wire {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using stream = boost::beast::tcp_stream;
using boost::system::error_code;

namespace {

constexpr std::chrono::milliseconds connect_timeout{500};
constexpr std::chrono::milliseconds greeting_timeout{1000};
constexpr std::chrono::seconds write_timeout{5};
constexpr std::chrono::seconds idle_limit{60};
/// After a failed connect, payloads for the address are dropped for this long,
/// which limits the connects to an unreachable peer.
constexpr std::chrono::milliseconds connect_backoff{200};
/// Maximum size of the payloads in the queue of one link.
constexpr std::size_t max_queued_bytes = std::size_t{4} << 20U;
constexpr std::size_t read_bytes = 16384;
/// Keeps peers that open links without bound from exhausting file descriptors.
constexpr std::size_t max_incoming_links = 4096;

auto with_error(error_code& error) {
    return asio::redirect_error(asio::use_awaitable, error);
}

tcp::endpoint to_asio(const base::endpoint& address, error_code& error) {
    return {asio::ip::make_address(address.ip_, error), address.port_};
}

struct outgoing_link {
    explicit outgoing_link(asio::io_context& io) : wake_{io} {}

    std::deque<std::string> queue_;
    std::size_t queued_bytes_{0};
    asio::steady_timer wake_; ///< Cancelled when a payload is queued.
};

} // namespace

namespace internal {

struct hub_state : std::enable_shared_from_this<hub_state> {
    hub_state(asio::io_context& io,
              const fleet_key& key,
              peer_hub::receive_handler handler)
        : io_{io}, key_{key}, handler_{std::move(handler)}, acceptor_{io} {}

    void close();
    asio::awaitable<void> accept_links();
    asio::awaitable<void> serve_link(std::shared_ptr<stream> link);
    asio::awaitable<bool> accept_greeting(stream& link, link_nonces& nonces);
    bool deliver(frame_reader& reader);
    void queue(const base::endpoint& peer, std::string payload);
    asio::awaitable<void> run_link(base::endpoint peer);
    asio::awaitable<bool>
    connect(stream& link, base::endpoint peer, link_nonces& nonces);
    asio::awaitable<void>
    write_queue(stream& link, base::endpoint peer, frame_writer writer);
    void drop_link(const base::endpoint& peer);

    asio::io_context& io_;
    fleet_key key_;
    peer_hub::receive_handler handler_;
    tcp::acceptor acceptor_;
    std::set<std::shared_ptr<stream>> incoming_;
    std::map<base::endpoint, std::unique_ptr<outgoing_link>> outgoing_;
    std::map<base::endpoint, base::time_point> blocked_until_;
    peer_hub_stats stats_;
    bool closed_{false};
};

void hub_state::close() {
    closed_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (const auto& link : incoming_) {
        link->close();
    }
    for (const auto& [peer, link] : outgoing_) {
        link->wake_.cancel();
    }
}

asio::awaitable<void> hub_state::accept_links() {
    while (!closed_) {
        error_code error;
        tcp::socket socket = co_await acceptor_.async_accept(with_error(error));
        if (error) {
            continue;
        }
        if (incoming_.size() >= max_incoming_links) {
            continue;
        }
        auto link = std::make_shared<stream>(std::move(socket));
        incoming_.insert(link);
        asio::co_spawn(
            io_,
            [self = shared_from_this(), link]() -> asio::awaitable<void> {
                co_await self->serve_link(link);
                self->incoming_.erase(link);
            },
            asio::detached);
    }
}

asio::awaitable<bool> hub_state::accept_greeting(stream& link,
                                                 link_nonces& nonces) {
    std::array<char, greeting_bytes> greeting{};
    error_code error;
    link.expires_after(greeting_timeout);
    co_await asio::async_read(link, asio::buffer(greeting), with_error(error));
    const auto peer_nonce = parse_greeting({greeting.data(), greeting.size()});
    if (error || !peer_nonce) {
        co_return false;
    }
    nonces = {*peer_nonce, make_nonce()};
    const std::string answer = make_greeting(nonces.acceptor_);
    co_await asio::async_write(link, asio::buffer(answer), with_error(error));
    co_return !error;
}

asio::awaitable<void> hub_state::serve_link(std::shared_ptr<stream> link) {
    link_nonces nonces;
    if (!co_await accept_greeting(*link, nonces)) {
        ++stats_.refused_greetings_;
        co_return;
    }
    frame_reader reader{key_, nonces, direction::to_acceptor};
    std::array<char, read_bytes> buffer{};
    while (!closed_) {
        error_code error;
        link->expires_after(2 * idle_limit);
        const std::size_t size = co_await link->async_read_some(
            asio::buffer(buffer), with_error(error));
        if (error) {
            co_return;
        }
        reader.append({buffer.data(), size});
        if (!deliver(reader)) {
            co_return;
        }
    }
}

// Passes all complete frames to the handler. Returns false when the link must
// be closed.
bool hub_state::deliver(frame_reader& reader) {
    while (auto next = reader.next()) {
        if (std::holds_alternative<frame_error>(*next)) {
            ++stats_.refused_frames_;
            return false;
        }
        auto& payload = std::get<std::string>(*next);
        ++stats_.received_;
        stats_.received_bytes_ += payload.size() + frame_overhead_bytes;
        if (!closed_) {
            handler_(std::move(payload));
        }
    }
    return true;
}

void hub_state::queue(const base::endpoint& peer, std::string payload) {
    const auto blocked = blocked_until_.find(peer);
    if (blocked != blocked_until_.end()) {
        if (base::clock::now() < blocked->second) {
            ++stats_.dropped_;
            return;
        }
        blocked_until_.erase(blocked);
    }
    auto [position, is_new] = outgoing_.try_emplace(peer);
    if (is_new) {
        position->second = std::make_unique<outgoing_link>(io_);
    }
    outgoing_link& link = *position->second;
    if (link.queued_bytes_ + payload.size() > max_queued_bytes) {
        ++stats_.dropped_;
        return;
    }
    link.queued_bytes_ += payload.size();
    link.queue_.push_back(std::move(payload));
    link.wake_.cancel();
    if (is_new) {
        asio::co_spawn(
            io_,
            [self = shared_from_this(), peer]() -> asio::awaitable<void> {
                co_await self->run_link(peer);
                self->drop_link(peer);
            },
            asio::detached);
    }
}

asio::awaitable<bool>
hub_state::connect(stream& link, base::endpoint peer, link_nonces& nonces) {
    error_code error;
    const auto address = to_asio(peer, error);
    if (error) {
        co_return false;
    }
    link.expires_after(connect_timeout);
    co_await link.async_connect(address, with_error(error));
    if (error) {
        co_return false;
    }
    link.socket().set_option(tcp::no_delay{true}, error);
    nonces.initiator_ = make_nonce();
    const std::string greeting = make_greeting(nonces.initiator_);
    link.expires_after(greeting_timeout);
    co_await asio::async_write(link, asio::buffer(greeting), with_error(error));
    std::array<char, greeting_bytes> answer{};
    co_await asio::async_read(link, asio::buffer(answer), with_error(error));
    const auto peer_nonce = parse_greeting({answer.data(), answer.size()});
    if (error || !peer_nonce) {
        co_return false;
    }
    nonces.acceptor_ = *peer_nonce;
    co_return true;
}

asio::awaitable<void> hub_state::run_link(base::endpoint peer) {
    stream link{io_};
    link_nonces nonces;
    if (!co_await connect(link, peer, nonces)) {
        ++stats_.connect_failures_;
        blocked_until_[peer] = base::clock::now() + connect_backoff;
        co_return;
    }
    co_await write_queue(link, peer, {key_, nonces, direction::to_acceptor});
}

asio::awaitable<void>
hub_state::write_queue(stream& link, base::endpoint peer, frame_writer writer) {
    outgoing_link& outgoing = *outgoing_.at(peer);
    while (!closed_) {
        error_code error;
        if (outgoing.queue_.empty()) {
            outgoing.wake_.expires_after(idle_limit);
            co_await outgoing.wake_.async_wait(with_error(error));
            if (!error) {
                co_return; // No payload within the idle limit.
            }
            continue;
        }
        // The whole queue is sent in one write, because gossip and placement
        // messages are much smaller than a TCP segment.
        std::string frames;
        std::uint64_t count = 0;
        for (const auto& payload : outgoing.queue_) {
            frames += writer.make_frame(payload);
            ++count;
        }
        outgoing.queue_.clear();
        outgoing.queued_bytes_ = 0;
        link.expires_after(write_timeout);
        co_await asio::async_write(link, asio::buffer(frames),
                                   with_error(error));
        if (error) {
            stats_.dropped_ += count;
            co_return;
        }
        stats_.sent_ += count;
        stats_.sent_bytes_ += frames.size();
    }
}

void hub_state::drop_link(const base::endpoint& peer) {
    const auto position = outgoing_.find(peer);
    if (position == outgoing_.end()) {
        return;
    }
    stats_.dropped_ += position->second->queue_.size();
    outgoing_.erase(position);
}

} // namespace internal

peer_hub::peer_hub(std::shared_ptr<internal::hub_state> state)
    : state_{std::move(state)} {}

peer_hub::~peer_hub() {
    state_->close();
}

std::variant<std::unique_ptr<peer_hub>, listen_failed>
peer_hub::open(asio::io_context& io,
               const peer_hub_options& options,
               receive_handler handler) {
    auto state = std::make_shared<internal::hub_state>(io, options.key_,
                                                       std::move(handler));
    error_code error;
    const auto address = to_asio(options.listen_, error);
    if (!error) {
        state->acceptor_.open(address.protocol(), error);
    }
    if (!error) {
        state->acceptor_.set_option(tcp::acceptor::reuse_address{true}, error);
    }
    if (!error) {
        state->acceptor_.bind(address, error);
    }
    if (!error) {
        state->acceptor_.listen(asio::socket_base::max_listen_connections,
                                error);
    }
    if (error) {
        return listen_failed{options.listen_, error.message()};
    }
    asio::co_spawn(
        io,
        [state]() -> asio::awaitable<void> { co_await state->accept_links(); },
        asio::detached);
    return std::unique_ptr<peer_hub>{new peer_hub{std::move(state)}};
}

void peer_hub::send(const base::endpoint& peer, std::string payload) {
    if (payload.size() > max_payload_bytes || state_->closed_) {
        ++state_->stats_.dropped_;
        return;
    }
    state_->queue(peer, std::move(payload));
}

base::endpoint peer_hub::local_address() const {
    error_code error;
    const auto local = state_->acceptor_.local_endpoint(error);
    return {local.address().to_string(), local.port()};
}

peer_hub_stats peer_hub::stats() const {
    return state_->stats_;
}

} // namespace pimentoferry::wire
