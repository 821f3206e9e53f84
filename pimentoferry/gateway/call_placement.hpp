/// Places the calls of plain services through the gateway that owns each.
///
/// The owner knows the calls in progress of all gateways, see
/// `routing::call_scheduler`. It is used while the fleet has more gateways than
/// the service has places: each gateway then sees less than one call for each
/// place and cannot balance by its own calls. With fewer gateways, and for
/// services whose replicas announced limits, `routing::replica_picker` and
/// `call_permits` decide as before.
///
///     if (placement.places(service)) {
///         const auto decision = co_await placement.acquire(service, request,
///                                                          cancel);
///         ...
///         placement.released(service, {attempt, result, duration});
///     }
///
/// A gateway whose owner does not reply chooses by itself, and tells the owner
/// what it sent. An owner that is lost takes its view with it: the next one
/// learns of the calls in progress from their gateways. All functions run on
/// the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_CALL_PLACEMENT_HPP
#define PIMENTOFERRY_GATEWAY_CALL_PLACEMENT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/registry.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/cancellation.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/routing/call_scheduler.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The owner does not reply; the gateway chooses a replica by itself.
struct owner_silent {};
/// The caller disconnected while the call waited.
struct place_abandoned {};
using place_outcome = std::variant<routing::place_grant,
                                   routing::place_refusal,
                                   owner_silent,
                                   place_abandoned>;

class call_placement {
public:
    call_placement(boost::asio::io_context& io,
                   peers& peer_gateways,
                   metrics& counters,
                   const config::gateway_settings& settings)
        : io_(io), peers_(peer_gateways), counters_(counters),
          settings_(settings) {}

    /// Whether the owner places the calls of the service.
    bool places(const base::service_name& service) const;

    /// Requests a place. Sets the attempt of `call`.
    http::awaitable<place_outcome>
    acquire(base::service_name service,
            routing::place_request call,
            std::shared_ptr<http::cancellation> cancel);

    /// Tells the owner of a call that was sent without a grant, and returns its
    /// attempt.
    base::attempt_id taken(const base::service_name& service,
                           const base::upstream_name& replica,
                           base::milliseconds time_left);

    /// The call of an attempt has ended.
    void released(const base::service_name& service,
                  const routing::place_released& message);

    /// Takes over the services and replicas of the registry after a change.
    void set_replicas(const registry& registry_view, base::time_point now);

    /// A gateway joined or left. Owners are computed with the next tick, once
    /// for all changes: while hundreds of gateways start, changes are many.
    void member_changed(const membership::member& member);

    void receive(base::instance_id from, const service_place_message& message);
    void receive(const routing::place_reply& reply);

    /// Advances the schedulers, at most every 20 ms.
    void tick(base::time_point now);

private:
    struct service_state {
        explicit service_state(std::uint64_t seed) : scheduler_(seed) {}

        routing::call_scheduler scheduler_;
        base::instance_id owner_;
        std::size_t places_{0};
        /// The replicas are plain and none of them announced a limit.
        bool placeable_{false};
        base::time_point bypass_owner_until_;
    };
    struct pending_place {
        explicit pending_place(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::optional<routing::place_decision> decision_;
        bool queued_{false};
        bool cancelled_{false};
    };
    /// A call in progress of one of this gateway's callers.
    struct local_call {
        base::service_name service_;
        base::upstream_name replica_;
        base::time_point deadline_;
    };

    service_state& state_of(const base::service_name& service);
    void update_owners();
    void update_owner(const base::service_name& service, service_state& state);
    void deliver(const routing::call_scheduler::decisions& decisions);
    void send_to_owner(const service_state& state,
                       const base::service_name& service,
                       routing::place_message message);

    boost::asio::io_context& io_;
    peers& peers_;
    metrics& counters_;
    const config::gateway_settings& settings_;
    std::map<base::service_name, service_state> services_;
    std::map<base::attempt_id, std::shared_ptr<pending_place>> pending_;
    std::map<base::attempt_id, local_call> calls_;
    std::size_t gateways_{1};
    bool members_changed_{false};
    std::uint64_t last_attempt_{0};
    base::time_point next_tick_;
};

} // namespace pimentoferry::gateway

#endif
