/// Sends orders to engines according to the state in force, from at most one
/// entry at a time.
///
///     order_service service{instance};
///     for (const auto& action : service.handle(event, now)) {
///         std::visit(executor, action);  // store::operation or send_order
///     }
///
/// An order is sent only while this entry certainly holds the lease. One gap
/// remains: if the sender is paused between this check and the send, an engine
/// that ignores fencing numbers executes the outdated order. Such an order was
/// required by an earlier state in force, and the next comparison corrects it.
#ifndef PIMENTOFERRY_ORDERS_ORDER_SERVICE_HPP
#define PIMENTOFERRY_ORDERS_ORDER_SERVICE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/orders/fencing_lease.hpp"
#include "pimentoferry/orders/reconciler.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace pimentoferry::orders {

/// Interval at which engines are compared with the state in force.
inline constexpr base::milliseconds compare_interval{2000};

/// Whether this instance should acquire the lease when it has no holder: it has
/// the highest rendezvous score of all live entries.
struct candidate_changed {
    bool candidate_{false};
};

/// A newer state is in force.
struct state_changed {
    config::state state_;
};

/// A cell owner reported an engine.
struct engine_observed {
    observation observation_;
};

/// The engine rejected an order or did not respond to it.
struct order_failed {
    base::upstream_name engine_;
};

/// The result of a store operation that `owns` the token of.
struct store_answered {
    store::result result_;
};

/// This instance is draining: it releases the lease and acquires none.
struct drain_started {};

/// Advances time; every periodic task runs on it.
struct tick {};

using event = std::variant<candidate_changed,
                           state_changed,
                           engine_observed,
                           order_failed,
                           store_answered,
                           drain_started,
                           tick>;

/// Sends the order with this fencing number. It must be sent immediately or be
/// dropped.
struct send_order {
    order order_;
    std::uint64_t fencing_{0};
};

using action = std::variant<store::operation, send_order>;

class order_service {
public:
    explicit order_service(base::instance_id instance) : lease_{instance} {}

    /// Handles one event and returns the actions that the caller must execute.
    std::vector<action> handle(const event& occurred, base::time_point now);

    bool holds_lease(base::time_point now) const {
        return lease_.fencing_number(now).has_value();
    }
    /// Whether the token belongs to the pending operation of this service.
    bool owns(store::token token) const { return lease_.owns(token); }

private:
    std::vector<action> compare(base::time_point now);

    fencing_lease lease_;
    reconciler reconciler_;
    bool candidate_{false};
    bool draining_{false};
    std::optional<std::uint64_t> last_fencing_number_;
    base::time_point next_compare_;
};

} // namespace pimentoferry::orders

#endif
