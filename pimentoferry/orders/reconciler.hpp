/// Compares what engines run with what the tickets in force say, and decides
/// which orders to give next.
///
///     reconciler plan;
///     plan.set_state(state_in_force);
///     plan.observe(seen, now);
///     for (const order& next : plan.next_orders(now)) { send(next); }
///
/// Orders are idempotent. An order counts as open until the engine is seen in
/// the ordered state or a time limit passes. Loads are limited over the fleet
/// by the policy of the tickets, because the weight store is rate limited.
#ifndef PIMENTOFERRY_ORDERS_RECONCILER_HPP
#define PIMENTOFERRY_ORDERS_RECONCILER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::orders {

/// An order that was not seen to take effect is open for this long.
inline constexpr base::milliseconds order_limit{120000};
/// An observation older than this is no base for an order.
inline constexpr base::milliseconds observation_limit{10000};

/// What a cell owner saw of an engine.
struct observation {
    base::upstream_name engine_;
    std::uint64_t engine_instance_{0}; ///< New at each start of the engine.
    config::engine_role role_{config::engine_role::decode};
    std::string model_;
    std::string version_;
    std::vector<std::string> adapters_;
    std::uint32_t running_{0}; ///< Requests that hold a slot.
};

struct load_model {
    std::string model_;
    std::string version_;

    friend bool operator==(const load_model&, const load_model&) = default;
};

struct load_adapter {
    std::string adapter_;

    friend bool operator==(const load_adapter&, const load_adapter&) = default;
};

struct change_role {
    config::engine_role role_{config::engine_role::decode};

    friend bool operator==(const change_role&, const change_role&) = default;
};

using order_body = std::variant<load_model, load_adapter, change_role>;

struct order {
    base::upstream_name engine_;
    order_body body_;
};

class reconciler {
public:
    void set_state(const config::state& value);
    void observe(const observation& seen, base::time_point now);

    /// The engine did not execute the order; it may be given again.
    void failed(const base::upstream_name& engine) { open_.erase(engine); }

    /// Forgets open orders, for example after the lease was lost: another
    /// holder may have given others.
    void reset() { open_.clear(); }

    /// Orders to give now. Each is open from this call on.
    std::vector<order> next_orders(base::time_point now);

private:
    struct seen_engine {
        observation last_;
        base::time_point at_;
    };
    struct open_order {
        order_body body_;
        base::time_point since_;
    };

    std::optional<order_body> difference(const config::upstream& intended,
                                         const observation& seen) const;
    bool may_change_role(const config::upstream& intended,
                         const observation& seen) const;
    std::size_t open_loads() const;
    void close_expired(base::time_point now);

    config::state state_;
    std::map<base::upstream_name, seen_engine> seen_;
    std::map<base::upstream_name, open_order> open_;
};

} // namespace pimentoferry::orders

#endif
