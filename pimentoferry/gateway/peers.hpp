/// The other gateways of the fleet: who is alive, and what they know.
///
/// Membership follows `membership::swim`. Copies of the store are compared
/// with a few peers at a time: a gateway tells the revision up to which its
/// copy is complete, and a peer that knows more answers with the rest. Only a
/// few gateways watch the store, see `watches_store`; the others ask those,
/// and a gateway that the store does not serve learns a change that way, too.
///
/// All functions and handlers run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_PEERS_HPP
#define PIMENTOFERRY_GATEWAY_PEERS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/membership/swim.hpp"
#include "pimentoferry/placement/stream_messages.hpp"
#include "pimentoferry/store/mirror.hpp"
#include "pimentoferry/wire/peer_channel.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The sender's copy is complete up to this revision.
struct copy_position {
    store::revision at_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.at_);
    }
};

/// What the asker's copy lacks. `current_`: the sender heard of the store just
/// now, so that a copy that is as complete as its own is up to date.
struct copy_answer {
    store::mirror_delta delta_;
    bool current_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.delta_, self.current_);
    }
};

/// A message about the streams of one service.
struct service_stream_message {
    base::service_name service_;
    placement::stream_message message_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.message_);
    }
};

/// New alternatives are added at the end.
using peer_message = std::variant<membership::message,
                                  copy_position,
                                  copy_answer,
                                  service_stream_message,
                                  placement::stream_reply>;

struct peer_handlers {
    /// What this gateway's copy has after `since`.
    std::function<copy_answer(store::revision since)> read_copy_;
    std::function<void(const copy_answer&)> merge_copy_;
    std::function<void(base::instance_id from, service_stream_message)>
        on_stream_message_;
    std::function<void(const placement::stream_reply&)> on_stream_reply_;
    /// A gateway joined, ended or began to drain.
    std::function<void(const membership::member&)> on_member_;
};

class peers {
public:
    peers(boost::asio::io_context& io,
          const config::gateway_settings& settings,
          base::instance_id self,
          peer_handlers handlers);

    /// Opens the peer address; the reason when that fails.
    std::optional<std::string> open(const config::gateway_settings& settings);

    /// Whether this gateway is one of the few that watch the store.
    bool watches_store() const;

    /// To be called about every 100 ms.
    void tick(store::revision copy_at, base::time_point now);

    /// Addresses at which other gateways may be found.
    void set_seeds(const std::vector<base::endpoint>& seeds,
                   base::time_point now);

    /// What this gateway tells of itself.
    void tell(bool draining,
              std::uint64_t configuration_version,
              std::uint32_t in_flight,
              base::time_point now);

    void leave(base::time_point now);

    void send(base::instance_id to, peer_message message);

    /// Live gateways with this one.
    std::vector<membership::member> live() const { return swim_.live(); }

    base::instance_id self() const { return swim_.self().instance_; }

private:
    void receive(wire::envelope<peer_message> received);
    void run(const membership::event& event, base::time_point now);
    void perform(const membership::send_message& action);
    void compare_copies(store::revision copy_at);
    std::vector<base::instance_id> watchers() const;

    boost::asio::io_context& io_;
    peer_handlers handlers_;
    membership::swim swim_;
    std::unique_ptr<wire::peer_channel<peer_message>> channel_;
    /// Where a sender is reached that is not a member yet.
    std::map<base::instance_id, base::endpoint> reply_addresses_;
    std::mt19937_64 random_;
    base::time_point next_compare_;
};

} // namespace pimentoferry::gateway

#endif
