/// Registers some gateways in the store, so that others find a first peer.
///
/// Who is alive follows from membership, so a few registered gateways are
/// enough. Each key wakes every gateway that watches the store: with all of 87
/// gateways registered that were 7,500 calls at the start. The key is held by
/// a lease, so a gateway that is gone for good disappears.
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

/// Below it each gateway has a key with its peer address.
inline constexpr const char* gateways_prefix = "pimentoferry/gateways/";

class registration {
public:
    registration(boost::asio::io_context& io,
                 store::http_store& store,
                 metrics& counters,
                 const std::string& name,
                 const base::endpoint& peer_address);

    /// Begins to register, when `chosen` says so, and to renew; ends with
    /// `withdraw`.
    void start(std::function<bool()> chosen);

    /// Ends the lease, so that the key disappears.
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
    std::function<bool()> chosen_;
    store::lease_id lease_;
    store::revision known_{0}; ///< Of the key, as the store last told.
    bool withdrawn_{false};
};

/// Whether a gateway is among the few that register: those with the highest
/// rendezvous scores among the live ones.
bool registers(base::instance_id self,
               const std::vector<membership::member>& live);

/// The peer addresses of the gateways registered in a copy of the store.
std::vector<base::endpoint> registered_gateways(const store::mirror& copy);

} // namespace pimentoferry::gateway

#endif
