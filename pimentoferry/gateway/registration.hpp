/// Registers a few gateways in the store, so that others find a first peer.
///
/// Membership detects which gateways are alive, so a few registered ones are
/// enough. Each new key completes the watch of every gateway that watches the
/// store: registering all of 87 gateways caused 7,500 calls at startup. The key
/// is attached to a lease, so the key of a gateway that does not come back is
/// removed.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRATION_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRATION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/membership/messages.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <functional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// Prefix of the keys of registered gateways; a value is a peer address.
inline constexpr const char* gateways_prefix = "pimentoferry/gateways/";

class registration {
public:
    registration(boost::asio::io_context& io,
                 store::http_store& store,
                 metrics& counters,
                 const std::string& name,
                 const base::endpoint& peer_address);

    /// Registers this gateway as soon as `is_selected` returns true, and then
    /// renews the lease, until `withdraw`.
    void start(std::function<bool()> is_selected);

    /// The store has come back from an older copy, so the key and the lease may
    /// be missing or belong to others. Registers again.
    void forget();

    /// Revokes the lease, so that the store removes the key.
    void withdraw();

private:
    http::awaitable<void> run();
    http::awaitable<bool> register_once();
    http::awaitable<bool> renew();
    http::awaitable<store::outcome> call(store::request request,
                                         const char* name);

    boost::asio::io_context& io_;
    store::http_store& store_;
    metrics& counters_;
    std::string key_;
    std::string value_;
    std::function<bool()> is_selected_;
    store::lease_id lease_;
    store::revision key_revision_{0}; ///< Last one that the store reported.
    bool registered_{false};
    base::time_point next_renewal_;
    /// Counts calls to `forget`, for calls that are in progress meanwhile.
    std::uint32_t forgotten_{0};
    bool withdrawn_{false};
};

/// Whether a gateway is among the few that register: those with the highest
/// rendezvous scores among the live gateways that are not draining.
bool is_selected_to_register(base::instance_id self,
                             const std::vector<membership::member>& live);

/// The peer addresses of the registered gateways in a replica of the store.
std::vector<base::endpoint> registered_gateways(const store::mirror& replica);

} // namespace pimentoferry::gateway

#endif
