/// Compares the observed state of engines with the state in force, and decides
/// which orders to send next.
///
///     reconciler engines;
///     engines.set_state(state_in_force);
///     engines.observe(observation, now);
///     for (const order& next : engines.next_orders(now)) { send(next); }
///
/// Orders are idempotent. An order is open until the engine is observed in the
/// ordered state or `order_limit` passes. The policy in the tickets limits the
/// concurrent loads of the whole fleet, because the weight store is rate
/// limited.
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

/// How long an order stays open if it is not observed to take effect.
inline constexpr base::milliseconds order_limit{120000};
/// No order is based on an observation that is at least this old.
inline constexpr base::milliseconds observation_limit{10000};

/// The state of an engine as observed by a cell owner.
struct observation {
    base::upstream_name engine_;
    std::uint64_t engine_instance_{0}; ///< Differs after each start.
    config::engine_role role_{config::engine_role::decode};
    std::string model_;
    std::string version_;
    std::vector<std::string> adapters_;
    std::uint32_t running_{0}; ///< Requests that hold a decode slot.
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
    /// Replaces the state in force. Drops observations and open orders of
    /// engines that are no longer in it.
    void set_state(const config::state& value);
    /// Records an observation, and closes the open order of the engine if it
    /// was executed or the engine restarted. Ignores engines that are not in
    /// the state in force.
    void observe(const observation& seen, base::time_point now);

    /// Records that the engine did not execute its order, which may then be
    /// sent again.
    void mark_failed(const base::upstream_name& engine) { open_.erase(engine); }

    /// Drops all open orders, for example after the lease was lost: another
    /// holder may have sent different ones.
    void reset() { open_.clear(); }

    /// Returns the orders to send now. Each is open from this call on.
    std::vector<order> next_orders(base::time_point now);

private:
    struct observed_engine {
        observation observation_;
        base::time_point observed_at_;
    };
    struct open_order {
        order_body body_;
        base::time_point sent_at_;
    };

    std::optional<order_body> needed_order(const config::upstream& intended,
                                           const observation& seen) const;
    bool may_change_role(const config::upstream& intended,
                         const observation& seen) const;
    std::size_t open_loads() const;
    void close_expired(base::time_point now);

    config::state state_;
    std::map<base::upstream_name, observed_engine> observed_;
    std::map<base::upstream_name, open_order> open_;
};

} // namespace pimentoferry::orders

#endif
