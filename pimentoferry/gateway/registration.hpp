/// Registers this gateway in the store, so that others find it.
///
/// The key is held by a lease: a gateway that is gone for good disappears. It
/// is only a way to find a first peer; who is alive follows from membership.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRATION_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRATION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

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
                 std::string name,
                 base::endpoint peer_address);

    /// Begins to register and to renew; ends with `withdraw`.
    void start();

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
    store::lease_id lease_;
    store::revision known_{0}; ///< Of the key, as the store last told.
    bool withdrawn_{false};
};

/// The peer addresses of the gateways registered in a copy of the store.
std::vector<base::endpoint> registered_gateways(const store::mirror& copy);

} // namespace pimentoferry::gateway

#endif
