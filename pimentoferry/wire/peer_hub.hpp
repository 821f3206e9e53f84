/// Peer links between the entries of a fleet.
///
/// A link carries frames in one direction and is opened when the first message
/// for an address is sent; the peer replies over a link of its own. Delivery is
/// best effort: a message is lost when its link breaks, and each protocol that
/// uses the hub retransmits what it needs.
///
///     auto opened = wire::peer_hub::open(io, {listen, key},
///                                        [](std::string payload) { ... });
///     auto& hub = *std::get<std::unique_ptr<wire::peer_hub>>(opened);
///     hub.send(peer_address, wire::encode(message));
///
/// All calls, and the handler, run on the thread of the io_context.
#ifndef PIMENTOFERRY_WIRE_PEER_HUB_HPP
#define PIMENTOFERRY_WIRE_PEER_HUB_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/wire/fleet_key.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::wire {

struct peer_hub_options {
    base::endpoint listen_; ///< Port 0 picks a free port.
    fleet_key key_;
};

/// The listening socket could not be opened.
struct listen_failed {
    base::endpoint address_;
    std::string system_message_;
};

/// Counters since the start.
struct peer_hub_stats {
    std::uint64_t sent_{0};
    std::uint64_t sent_bytes_{0};
    std::uint64_t received_{0};
    std::uint64_t received_bytes_{0};
    std::uint64_t dropped_{0}; ///< Not accepted by `send`, or lost.
    std::uint64_t connect_failures_{0};
    std::uint64_t refused_frames_{0}; ///< Wrong key, version or length.
    std::uint64_t refused_greetings_{0};
};

namespace internal {
struct hub_state;
}

class peer_hub {
public:
    using receive_handler = std::function<void(std::string payload)>;

    static std::variant<std::unique_ptr<peer_hub>, listen_failed>
    open(boost::asio::io_context& io,
         const peer_hub_options& options,
         receive_handler handler);

    ~peer_hub();
    peer_hub(const peer_hub&) = delete;
    peer_hub& operator=(const peer_hub&) = delete;

    /// Queues a payload. The payload is dropped and counted when it exceeds
    /// `max_payload_bytes`, when the queue of the link is full, or shortly
    /// after a failed connect.
    void send(const base::endpoint& peer, std::string payload);

    /// The address that peers connect to, with the actual port.
    base::endpoint local_address() const;

    peer_hub_stats stats() const;

private:
    explicit peer_hub(std::shared_ptr<internal::hub_state> state);

    std::shared_ptr<internal::hub_state> state_;
};

} // namespace pimentoferry::wire

#endif
