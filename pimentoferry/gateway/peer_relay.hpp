/// Serves callers of a gateway that reaches no upstream through another
/// gateway.
///
/// A gateway may be cut off from all upstreams while callers and other gateways
/// still reach it. It says so to the others, which leave it out of the address
/// lists of callers, and passes requests that still arrive to one of them, as a
/// caller would. It also does so with a single request whose upstreams could
/// not be reached. A request that came from a gateway is not passed on again.
///
/// While it is isolated, the gateway checks one upstream every 300 ms.
#ifndef PIMENTOFERRY_GATEWAY_PEER_RELAY_HPP
#define PIMENTOFERRY_GATEWAY_PEER_RELAY_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/runtime.hpp"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace pimentoferry::gateway {

class peer_relay {
public:
    peer_relay(peers& peer_gateways, runtime& shared)
        : peers_(peer_gateways), shared_(shared) {}

    /// Records the result of a send to an instance that gave no answer.
    void send_failed(const routing::instance& instance,
                     const http::call_failure& failure);

    /// Records that an instance answered over a new connection.
    void connected();

    /// Whether this gateway reaches no upstream.
    bool isolated() const { return reach_.isolated(); }

    /// As `isolated`, after asking an upstream that has not failed: those that
    /// have may have ended one after the other.
    http::awaitable<bool> confirm_isolation();

    /// Whether a request should be passed to another gateway before any
    /// upstream is tried.
    bool should_relay(const routed_call& call) const;

    /// Passes the request to another gateway and its answer to the caller. Must
    /// be called only if the request has not run. Returns false if nothing has
    /// been sent, to another gateway or to the caller.
    http::awaitable<bool> relay(routed_call& call);

    /// The members to name to callers: those that reach upstreams, if any.
    std::vector<membership::member>
    serving(const std::vector<membership::member>& live) const;

    void receive(base::instance_id from, const upstream_reach_report& message);

    /// Must be called at least every 100 ms.
    void tick(base::time_point now);

private:
    /// What became of a request that was passed to another gateway.
    enum class relay_result : std::uint8_t {
        done,     ///< The caller has its answer, or has left.
        not_sent, ///< It has certainly not run there.
        lost,     ///< It may have run there.
    };

    std::optional<membership::member>
    choose(const std::set<base::instance_id>& tried);
    http::awaitable<relay_result> relay_to(base::endpoint address,
                                           routed_call& call);
    http::awaitable<void> forward(http::open_answer& answer, routed_call& call);
    /// A usable upstream; unset if there is none. `unfailed_only`: one that is
    /// not part of the evidence for an isolation.
    std::optional<routing::instance> draw_upstream(bool unfailed_only);
    void check_one_upstream();
    void report();

    peers& peers_;
    runtime& shared_;
    routing::upstream_reach reach_;
    /// Until when other gateways count as isolated.
    std::map<base::instance_id, base::time_point> isolated_until_;
    base::time_point next_report_;
    base::time_point next_check_;
    bool checking_{false};
};

} // namespace pimentoferry::gateway

#endif
