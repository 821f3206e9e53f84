/// Permits for the calls of plain services to replicas that announced a limit.
///
/// The gateway that owns a service counts for the fleet: the others ask it for
/// a permit before they send a call to a limited replica, and it decides by
/// `requests::permit_queue`. Calls that another replica can serve need none. A
/// limited replica that gets no call for a second is sent one by a random
/// gateway, because only an answer can say that its limit has ended.
///
/// While the owner does not answer, a gateway uses its own small share, see
/// `requests::limit_share`.
///
///     const auto decision = co_await permits.acquire(service, request,
///     cancel);
#ifndef PIMENTOFERRY_GATEWAY_CALL_PERMITS_HPP
#define PIMENTOFERRY_GATEWAY_CALL_PERMITS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/limit_guard.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/cancellation.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/requests/permit_queue.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoferry::gateway {

class call_permits {
public:
    call_permits(peers& peer_gateways, runtime& shared, limit_guard& limits)
        : peers_(peer_gateways), shared_(shared), limits_(limits) {}

    /// Asks for a permit to send a call to one of `call.candidates_`. Sets the
    /// attempt of `call`. The decision is a refusal if `cancel` is requested
    /// first.
    http::awaitable<requests::permit_decision>
    acquire(base::service_name service,
            requests::permit_request call,
            std::shared_ptr<http::cancellation> cancel);

    /// Returns a candidate for which the owner sent an unrequested permit, and
    /// uses the permit.
    const routing::instance*
    take_spare(const std::vector<const routing::instance*>& candidates,
               base::time_point now);

    void receive(base::instance_id from, const service_permit_request& message);
    void receive(const permit_reply& reply);

    /// Must be called at least every 100 ms.
    void tick(base::time_point now);

private:
    /// A call that waits for the decision of the owner.
    struct pending_permit {
        explicit pending_permit(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::optional<requests::permit_decision> decision_;
        bool queued_{false};
    };

    requests::permit_queue& queue_of(const base::service_name& service) {
        return queues_[service];
    }
    void deliver(const requests::permit_queue::decisions& decisions);
    requests::permit_decision decide_alone(const requests::permit_request& call,
                                           base::time_point now);
    void send_spare_permits(base::time_point now);

    peers& peers_;
    runtime& shared_;
    limit_guard& limits_;
    std::uint64_t last_attempt_{0};
    std::map<base::service_name, requests::permit_queue> queues_;
    std::map<base::attempt_id, std::shared_ptr<pending_permit>> pending_;
    /// When unrequested permits for a replica lapse.
    std::map<base::upstream_name, base::time_point> spare_;
    /// Until then owners that did not answer are not asked.
    std::map<base::instance_id, base::time_point> bypassed_;
};

} // namespace pimentoferry::gateway

#endif
