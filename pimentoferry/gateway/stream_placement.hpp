/// Asks the owner of a service's scheduler for the places of streams.
///
/// One gateway, the owner, schedules all streams of a service and so knows
/// what each engine holds. The owner follows from membership alone. Every
/// gateway keeps a scheduler that knows its own streams: it takes over when
/// the owner does not answer in time, and it is the one that schedules when
/// this gateway is the owner. The engines' own refusals bound what two
/// schedulers can do wrong at the same time.
///
///     auto outcome = co_await placement.place(service, request);
///     ...
///     placement.prefilled(attempt);
///     placement.started(attempt);
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
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

class stream_placement {
public:
    stream_placement(boost::asio::io_context& io,
                     peers& others,
                     metrics& counters,
                     std::string region)
        : io_(io), peers_(others), counters_(counters),
          region_(std::move(region)) {}

    /// A new id for an attempt of this gateway.
    base::attempt_id next_attempt();

    /// Ends with a refusal when `cancel` is requested.
    http::awaitable<placement::stream_decision>
    place(base::service_name service,
          placement::stream_request wanted,
          std::shared_ptr<http::cancellation> cancel);

    /// The decode engine rejected the stream: another one, or a refusal.
    http::awaitable<placement::stream_decision>
    replace_decode(base::attempt_id attempt,
                   placement::decode_rejection reason);

    void prefilled(base::attempt_id attempt);
    void started(base::attempt_id attempt);
    void ended(base::attempt_id attempt, std::uint32_t events);
    void engine_failed(const base::service_name& service,
                       const base::upstream_name& engine);

    /// The registry changed.
    void set_engines(const registry& known, base::time_point now);

    void member_changed(const membership::member& member);
    void receive(base::instance_id from, service_stream_message message);
    void receive(const placement::stream_reply& reply);
    void tick(base::time_point now);

    /// The scheduler of a service; null before the service is known.
    placement::stream_scheduler* scheduler(const base::service_name& service);

    /// Whether this gateway schedules the streams of the service.
    bool owns(const base::service_name& service) const;

private:
    struct service_state {
        placement::stream_scheduler scheduler_{placement::stream_settings{}};
        base::instance_id owner_;
        /// The owner did not answer; this gateway decides alone until then.
        base::time_point distrusted_until_;
    };
    /// A stream of this gateway.
    struct own_stream {
        base::service_name service_;
        placement::stream_announcement hold_;
        std::optional<base::time_point> started_;
    };
    /// A question that waits for the answer of the owner.
    struct question {
        explicit question(boost::asio::io_context& io) : signal_(io) {}

        http::wake_signal signal_;
        std::optional<placement::stream_decision> decision_;
        bool queued_{false};
    };

    void update_owner(const base::service_name& service, service_state& state);
    bool is_local(const service_state& state, base::time_point now) const;
    void tell_owner(const base::service_name& service,
                    placement::stream_message message);
    void deliver(const placement::stream_scheduler::decisions& decisions);
    void deliver(const placement::stream_decision& decision);
    void note_grant(const placement::stream_decision& decision,
                    const base::service_name& service,
                    const placement::stream_request& wanted);
    http::awaitable<placement::stream_decision>
    wait_for(base::service_name service,
             std::shared_ptr<question> asked,
             placement::stream_message again,
             base::attempt_id attempt,
             base::time_point limit);

    boost::asio::io_context& io_;
    peers& peers_;
    metrics& counters_;
    std::string region_;
    std::uint64_t last_sequence_{0};
    std::map<base::service_name, service_state> services_;
    std::map<base::attempt_id, own_stream> streams_;
    std::map<base::attempt_id, std::shared_ptr<question>> questions_;
    base::time_point next_tick_;
};

} // namespace pimentoferry::gateway

#endif
