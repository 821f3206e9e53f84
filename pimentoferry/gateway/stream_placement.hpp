/// Requests placements for the streams of this gateway's callers.
///
/// One gateway per service, the owner, schedules all streams of the service
/// and therefore knows the load of each engine. The owner is computed from the
/// membership view alone. Every gateway also keeps a scheduler that knows its
/// own streams: it schedules the service when this gateway is the owner, and
/// makes the decision when the owner does not reply in time. While two
/// schedulers place streams at the same time, the engines' own rejections
/// limit the overcommitment.
///
/// A former owner keeps the streams that it knows, because it may become the
/// owner again within seconds. Their gateways therefore report the progress and
/// the end of a stream to each gateway that was its owner meanwhile.
///
///     auto outcome = co_await placement.place(service, request);
///     ...
///     placement.prefill_finished(attempt);
///     placement.decode_started(attempt);
///     placement.ended(attempt, events);
#ifndef PIMENTOFERRY_GATEWAY_STREAM_PLACEMENT_HPP
#define PIMENTOFERRY_GATEWAY_STREAM_PLACEMENT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/registry.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/http/cancellation.hpp"
#include "pimentoferry/http/mailbox.hpp"
#include "pimentoferry/placement/stream_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

/// The other gateways, as far as the placement of streams uses them.
struct stream_fleet {
    base::instance_id self_;
    /// Sends with best effort.
    std::function<void(base::instance_id to, peer_message message)> send_;
    /// The owner of a service in this gateway's view of the members.
    std::function<base::instance_id(const base::service_name&)> owner_of_;
};

/// `peer_gateways` must outlive the result.
stream_fleet fleet_of(peers& peer_gateways, std::string region);

class stream_placement {
public:
    stream_placement(boost::asio::io_context& io,
                     stream_fleet fleet,
                     metrics& counters,
                     requests::allowance_table& allowances)
        : io_(io), fleet_(std::move(fleet)), counters_(counters),
          allowances_(allowances) {}

    /// A new id for an attempt of this gateway.
    base::attempt_id next_attempt();

    /// Requests a prefill engine and a decode slot. The decision is a refusal
    /// if `cancel` is requested first.
    http::awaitable<placement::stream_decision>
    place(base::service_name service,
          placement::stream_request request,
          std::shared_ptr<http::cancellation> cancel);

    /// Requests another decode engine after one rejected the stream. The
    /// decision is a grant with the same prefill engine, or a refusal.
    http::awaitable<placement::stream_decision>
    replace_decode(base::attempt_id attempt,
                   placement::decode_rejection reason);

    void prefill_finished(base::attempt_id attempt);
    /// The first event of the stream has arrived.
    void decode_started(base::attempt_id attempt);
    /// The stream ended. `events` is 0 unless the answer was complete.
    void ended(base::attempt_id attempt, std::uint32_t events);
    /// An engine did not respond or rejected a prefill. The schedulers leave it
    /// out for a while.
    void engine_failed(const base::service_name& service,
                       const base::upstream_name& engine);

    /// Takes over the services and engines of the registry after a change.
    void set_engines(const registry& registry_view, base::time_point now);

    /// Computes the owners anew. Drops the streams of a gateway that is not
    /// live any more.
    void member_changed(const membership::member& member);

    /// Handles a message that another gateway sent to this one as the owner.
    void receive(base::instance_id from, service_stream_message message);

    /// Handles a reply of the owner to this gateway.
    void receive(const placement::stream_reply& reply);

    /// Advances the schedulers, at most every 20 ms.
    void tick(base::time_point now);

    /// This gateway's scheduler of a service; null before the service is
    /// known.
    placement::stream_scheduler* scheduler(const base::service_name& service);

    /// Whether this gateway schedules the streams of the service.
    bool owns(const base::service_name& service) const;

private:
    struct service_state {
        placement::stream_scheduler scheduler_{placement::stream_settings{}};
        base::instance_id owner_;
        /// Until then this gateway makes the decisions itself, because the
        /// owner missed its reply timeout.
        base::time_point bypass_owner_until_;
    };
    /// A placed stream of one of this gateway's callers.
    struct local_stream {
        base::service_name service_;
        placement::stream_announcement announcement_;
        std::optional<base::time_point> started_;
    };
    /// A placement or replacement that waits for its decision.
    struct pending_decision {
        explicit pending_decision(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::optional<placement::stream_decision> decision_;
        bool queued_{false}; ///< The owner confirmed that it is queued.
        bool decided_by_owner_{false};
    };

    void update_owner(const base::service_name& service, service_state& state);
    bool decides_locally(const service_state& state,
                         base::time_point now) const;
    void send_to_owner(const base::service_name& service,
                       placement::stream_message message);
    /// Requests or announces a stream of this gateway at the owner, which
    /// receives the later reports on the stream also as a former owner.
    void inform_owner(const base::service_name& service,
                      base::attempt_id attempt,
                      placement::stream_message message);
    /// Sends a report on a stream of this gateway to the owner and to all
    /// former owners that know the stream.
    void send_to_informed(const base::service_name& service,
                          base::attempt_id attempt,
                          const placement::stream_message& message);
    void deliver(const placement::stream_scheduler::decisions& decisions);
    void deliver(const placement::stream_decision& decision);
    void announce_to_owner(const base::service_name& service,
                           base::attempt_id attempt);
    void record_grant(const placement::stream_decision& decision,
                      const base::service_name& service,
                      const placement::stream_request& request);
    http::awaitable<placement::stream_decision>
    await_owner(base::service_name service,
                std::shared_ptr<pending_decision> pending,
                placement::stream_message message,
                base::attempt_id attempt,
                base::time_point deadline);

    boost::asio::io_context& io_;
    stream_fleet fleet_;
    metrics& counters_;
    requests::allowance_table& allowances_;
    std::uint64_t last_sequence_{0};
    std::map<base::service_name, service_state> services_;
    std::map<base::attempt_id, local_stream> streams_;
    /// The gateways that were asked for a stream or told of it, until it ends.
    std::map<base::attempt_id, std::set<base::instance_id>> informed_;
    std::map<base::attempt_id, std::shared_ptr<pending_decision>>
        pending_decisions_;
    base::time_point next_tick_;
};

} // namespace pimentoferry::gateway

#endif
