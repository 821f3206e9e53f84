#include "pimentoferry/orders/order_service.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::orders {

namespace {

std::vector<action> to_actions(std::vector<store::operation> operations) {
    return {std::make_move_iterator(operations.begin()),
            std::make_move_iterator(operations.end())};
}

} // namespace

std::vector<action> order_service::compare(base::time_point now) {
    const auto number = lease_.fencing_number(now);
    if (number != last_fencing_number_) {
        reconciler_.reset();
        last_fencing_number_ = number;
    }
    if (!number || now < next_compare_) {
        return {};
    }
    next_compare_ = now + compare_interval;
    std::vector<action> actions;
    std::ranges::transform(reconciler_.next_orders(now),
                           std::back_inserter(actions), [&](order& next) {
                               return send_order{std::move(next), *number};
                           });
    return actions;
}

std::vector<action> order_service::handle(const event& occurred,
                                          base::time_point now) {
    return std::visit(
        base::overloaded{
            [&](const candidate_changed& change) {
                candidate_ = change.candidate_;
                return std::vector<action>{};
            },
            [&](const state_changed& change) {
                reconciler_.set_state(change.state_);
                return std::vector<action>{};
            },
            [&](const engine_observed& seen) {
                reconciler_.observe(seen.observation_, now);
                return std::vector<action>{};
            },
            [&](const order_failed& failure) {
                reconciler_.mark_failed(failure.engine_);
                return std::vector<action>{};
            },
            [&](const store_answered& answer) {
                return to_actions(lease_.handle(answer.result_, now));
            },
            [&](const drain_started&) {
                draining_ = true;
                return to_actions(lease_.release(now));
            },
            [&](const tick&) {
                auto actions =
                    to_actions(lease_.tick(candidate_ && !draining_, now));
                std::ranges::move(compare(now), std::back_inserter(actions));
                return actions;
            }},
        occurred);
}

} // namespace pimentoferry::orders
