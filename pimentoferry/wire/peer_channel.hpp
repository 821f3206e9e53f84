/// Typed messages over the peer links.
///
///     using channel = wire::peer_channel<my_message>; // a std::variant
///     auto opened = channel::open(io, {listen, key}, self, receive, refuse);
///     std::get<std::unique_ptr<channel>>(opened)->send(address, message);
///
/// The index of an alternative identifies the message type on the wire, so new
/// alternatives are added at the end. Delivery is best effort, see `peer_hub`.
#ifndef PIMENTOFERRY_WIRE_PEER_CHANNEL_HPP
#define PIMENTOFERRY_WIRE_PEER_CHANNEL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/wire/codec.hpp"
#include "pimentoferry/wire/peer_hub.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <tuple>
#include <variant>

namespace pimentoferry::wire {

/// A message with its sender.
template <class Message>
struct envelope {
    Message message_;
    base::instance_id from_;
    /// Peer address of the sender. A receiver needs it for its reply, because
    /// links carry frames in one direction only and the sender may not be in
    /// the receiver's view yet.
    base::endpoint reply_to_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.message_, self.from_, self.reply_to_);
    }
};

template <class Message>
class peer_channel {
public:
    /// Called with each decoded message.
    using receive_function = std::function<void(envelope<Message>)>;
    /// Called with the size of each message that could not be decoded.
    using malformed_function = std::function<void(std::size_t bytes)>;

    static std::variant<std::unique_ptr<peer_channel>, listen_failed>
    open(boost::asio::io_context& io,
         const peer_hub_options& options,
         base::instance_id self,
         receive_function receive,
         malformed_function malformed) {
        auto opened = peer_hub::open(
            io, options,
            [receive = std::move(receive),
             malformed = std::move(malformed)](const std::string& bytes) {
                auto decoded = decode<envelope<Message>>(bytes);
                if (auto* received = std::get_if<envelope<Message>>(&decoded)) {
                    receive(std::move(*received));
                } else {
                    malformed(bytes.size());
                }
            });
        if (auto* failure = std::get_if<listen_failed>(&opened)) {
            return std::move(*failure);
        }
        return std::unique_ptr<peer_channel>{new peer_channel{
            self, options.listen_,
            std::get<std::unique_ptr<peer_hub>>(std::move(opened))}};
    }

    /// Queues a message, see `peer_hub::send`.
    void send(const base::endpoint& to, Message message) {
        const envelope<Message> outgoing{std::move(message), self_, address_};
        hub_->send(to, encode(outgoing));
    }

    peer_hub_stats stats() const { return hub_->stats(); }

private:
    peer_channel(base::instance_id self,
                 base::endpoint address,
                 std::unique_ptr<peer_hub> hub)
        : self_(self), address_(std::move(address)), hub_(std::move(hub)) {}

    base::instance_id self_;
    base::endpoint address_;
    std::unique_ptr<peer_hub> hub_;
};

} // namespace pimentoferry::wire

#endif
