/// Exchange of the store's data among gateways.
///
/// Every 500 ms a gateway sends the position of its replica to a watcher of the
/// store and to another gateway, and if no watcher confirms its replica in
/// time, because that one has stopped or is behind itself, to another watcher.
/// A peer that is ahead sends the difference, or, if that is large, offers it.
/// Large differences are sent on request only, to each gateway one at a time,
/// see `store::transfer_request`. Gateways whose link would be busy for long
/// offer them only if they watch the store or the receiver has not heard from a
/// watcher.
#ifndef PIMENTOFERRY_GATEWAY_REPLICA_EXCHANGE_HPP
#define PIMENTOFERRY_GATEWAY_REPLICA_EXCHANGE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/store_follower.hpp"
#include "pimentoferry/store/replica_transfer.hpp"

#include <optional>
#include <random>
#include <vector>

namespace pimentoferry::gateway {

class replica_exchange {
public:
    replica_exchange(peers& peer_gateways,
                     store_follower& follower,
                     double link_mbps);

    void receive(base::instance_id from, const replica_position& message);
    void receive(base::instance_id from, const replica_offer& message);
    void receive(base::instance_id from, const replica_request& message);
    void receive(const replica_update& message);

    /// Must be called about every 100 ms.
    void tick(base::time_point now);

private:
    /// Returns the gateway that was chosen; unset if there is no candidate.
    std::optional<base::instance_id>
    send_position_to_one(std::vector<base::instance_id> candidates,
                         base::time_point now);
    /// The watchers but `excluded`.
    std::vector<base::instance_id> watchers_without(base::instance_id excluded);
    bool may_send_large(std::size_t bytes,
                        bool receiver_confirmed,
                        base::time_point now) const;

    peers& peers_;
    store_follower& follower_;
    store::link_rate own_link_;
    store::transfer_window sending_;
    store::transfer_request awaited_;
    std::mt19937_64 random_;
    base::time_point next_compare_;
    /// The watcher that was asked last, until one confirms the replica.
    std::optional<base::instance_id> unconfirmed_by_;
    base::time_point next_watcher_at_;
};

} // namespace pimentoferry::gateway

#endif
