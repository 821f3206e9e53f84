/// Keeps the split of the engines between prefill and decode as planned.
///
/// The owner of a service's scheduler compares the split with the plan of
/// `placement::plan_prefill_engines` and orders engines to change their role,
/// all that the plan asks for at once. The plan needs the demand of the
/// streams, so no order is given before enough of them have been observed.
/// Later orders wait until the split has differed from the plan for a while.
/// Orders are given under a claim in the store, see `orders::order_claim`.
#ifndef PIMENTOFERRY_GATEWAY_STAGE_ORDERS_HPP
#define PIMENTOFERRY_GATEWAY_STAGE_ORDERS_HPP

#include "pimentoferry/base/boot_time.hpp"
#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/runtime.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/orders/order_claim.hpp"
#include "pimentoferry/placement/stage_plan.hpp"
#include "pimentoferry/store/http_store.hpp"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::gateway {

class stage_orders {
public:
    stage_orders(runtime& shared, store::http_store& store, std::string holder)
        : shared_(shared), store_(store), holder_(std::move(holder)) {}

    void start();

    /// The store has come back from an older copy, which may lack the claims.
    void forget_claims();

    /// What the gateway's replica of the store says of the era. Must be called
    /// at least every 100 ms.
    void note_era(store::era era) { era_.seen(era, base::boot_now()); }

    /// Releases the claims at shutdown, so that other gateways may give orders.
    void release();

private:
    struct service_state {
        std::optional<orders::order_claim> claim_;
        /// Since when the plan asks for more engines of `needed_role_`.
        std::optional<base::time_point> split_differs_since_;
        placement::engine_role needed_role_{placement::engine_role::decode};
        /// Whether a plan has been carried out or found to be met.
        bool planned_before_{false};
        base::time_point earliest_next_order_;
        std::size_t engine_count_{0};
        base::time_point engine_count_since_;
    };

    http::awaitable<void> run();
    http::awaitable<void> review(base::service_name service,
                                 base::milliseconds role_change);
    /// The role changes to order now; none while the split is as planned or the
    /// conditions of an order are not met.
    std::vector<placement::stage_change>
    due_changes(const base::service_name& service,
                base::milliseconds role_change,
                base::time_point now);
    /// Renews the claim. Returns its fencing number while it is valid.
    std::optional<std::uint64_t> claim(const base::service_name& service);
    orders::order_claim& claim_of(const base::service_name& service);
    /// Sends an order. False when the engine certainly did not accept it.
    http::awaitable<bool> order(placement::stage_change change,
                                std::uint64_t fencing_number);

    runtime& shared_;
    store::http_store& store_;
    std::string holder_;
    std::map<base::service_name, service_state> services_;
    base::time_point started_;
    orders::known_era era_{orders::takeover_wait};
};

} // namespace pimentoferry::gateway

#endif
