/// Gives orders to engines: at most one entry at a time, by the state in
/// force.
///
///     order_service service{instance};
///     for (const auto& action : service.handle(event, now)) {
///         std::visit(executor, action);  // store::operation or send_order
///     }
///
/// An order is given only while the lease certainly holds. What stays open:
/// an engine that ignores fencing numbers executes an order that its sender
/// was paused over between this check and the send. Such an order is one that
/// an earlier state in force asked for, and the next comparison corrects it.
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

/// Interval of the comparison.
inline constexpr base::milliseconds compare_interval{2000};

/// Whether this instance should hold the lease when nobody does: it has the
/// highest rendezvous score of all live entries.
struct candidate_changed {
    bool candidate_{false};
};

struct state_changed {
    config::state state_;
};

struct engine_observed {
    observation seen_;
};

/// The engine answered an order with an error, or not at all.
struct order_failed {
    base::upstream_name engine_;
};

struct store_answered {
    store::result result_;
};

struct drain_started {};

struct tick {};

using event = std::variant<candidate_changed,
                           state_changed,
                           engine_observed,
                           order_failed,
                           store_answered,
                           drain_started,
                           tick>;

/// Send the order with this fencing number, at once or not at all.
struct send_order {
    order order_;
    std::uint64_t fencing_{0};
};

using action = std::variant<store::operation, send_order>;

class order_service {
public:
    explicit order_service(base::instance_id instance) : lease_{instance} {}

    std::vector<action> handle(const event& happened, base::time_point now);

    bool holds_lease(base::time_point now) const {
        return lease_.fencing_number(now).has_value();
    }
    /// Whether the token belongs to an operation of this service.
    bool owns(store::token token) const { return lease_.owns(token); }

private:
    std::vector<action> compare(base::time_point now);

    fencing_lease lease_;
    reconciler plan_;
    bool candidate_{false};
    bool draining_{false};
    std::optional<std::uint64_t> last_number_;
    base::time_point next_compare_;
};

} // namespace pimentoferry::orders

#endif
