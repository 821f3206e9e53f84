#include "pimentoferry/orders/reconciler.hpp"

#include <algorithm>

namespace pimentoferry::orders {

namespace {

bool is_load(const order_body& body) {
    return !std::holds_alternative<change_role>(body);
}

std::vector<config::model_target> targets_of(const config::deployment& served) {
    std::vector<config::model_target> targets{served.target_};
    std::ranges::transform(served.overrides_, std::back_inserter(targets),
                           &config::caller_target::target_);
    return targets;
}

// The first load that an engine needs to serve a deployment. Overrides may name
// other adapters, but an engine holds one model and version at a time.
std::optional<order_body> needed_load(const config::deployment& served,
                                      const observation& seen) {
    const auto& target = served.target_;
    if (seen.model_ != target.model_ || seen.version_ != target.version_) {
        return load_model{target.model_, target.version_};
    }
    const auto targets = targets_of(served);
    const auto missing = std::ranges::find_if(
        targets, [&](const config::model_target& required) {
            return !required.adapter_.empty() &&
                   std::ranges::find(seen.adapters_, required.adapter_) ==
                       seen.adapters_.end();
        });
    if (missing == targets.end()) {
        return std::nullopt;
    }
    return load_adapter{missing->adapter_};
}

} // namespace

void reconciler::set_state(const config::state& value) {
    state_ = value;
    std::erase_if(observed_, [&](const auto& entry) {
        return !state_.upstreams_.contains(entry.first);
    });
    std::erase_if(open_, [&](const auto& entry) {
        return !state_.upstreams_.contains(entry.first);
    });
}

void reconciler::observe(const observation& seen, base::time_point now) {
    const auto intended = state_.upstreams_.find(seen.engine_);
    if (intended == state_.upstreams_.end()) {
        return;
    }
    const auto last = observed_.find(seen.engine_);
    const bool restarted =
        last != observed_.end() &&
        last->second.observation_.engine_instance_ != seen.engine_instance_;
    observed_[seen.engine_] = {seen, now};
    const auto open = open_.find(seen.engine_);
    // An engine loses its open order when it restarts.
    if (open != open_.end() &&
        (restarted ||
         needed_order(intended->second, seen) != open->second.body_)) {
        open_.erase(open);
    }
}

bool reconciler::may_change_role(const config::upstream& intended,
                                 const observation& seen) const {
    if (seen.running_ > 0) {
        return false;
    }
    // Another serving engine of the same cell must have the old role, and the
    // state in force must keep it there.
    return std::ranges::any_of(state_.upstreams_, [&](const auto& entry) {
        const auto& other = entry.second;
        const auto observed = observed_.find(other.name_);
        return other.name_ != intended.name_ &&
               other.kind_ == config::upstream_kind::engine &&
               other.cell_ == intended.cell_ &&
               other.state_ == config::upstream_state::serving &&
               other.role_ == seen.role_ && observed != observed_.end() &&
               observed->second.observation_.role_ == seen.role_;
    });
}

std::optional<order_body>
reconciler::needed_order(const config::upstream& intended,
                         const observation& seen) const {
    if (intended.kind_ != config::upstream_kind::engine ||
        intended.state_ == config::upstream_state::leaving) {
        return std::nullopt;
    }
    if (seen.role_ != intended.role_) {
        return change_role{intended.role_};
    }
    const auto served = state_.deployments_.find(intended.deployment_);
    if (served == state_.deployments_.end()) {
        return std::nullopt;
    }
    return needed_load(served->second, seen);
}

std::size_t reconciler::open_loads() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        open_, [](const auto& entry) { return is_load(entry.second.body_); }));
}

void reconciler::close_expired(base::time_point now) {
    std::erase_if(open_, [&](const auto& entry) {
        return now >= entry.second.sent_at_ + order_limit;
    });
}

std::vector<order> reconciler::next_orders(base::time_point now) {
    close_expired(now);
    std::vector<order> orders;
    for (const auto& [name, observed] : observed_) {
        if (open_.contains(name) ||
            now >= observed.observed_at_ + observation_limit) {
            continue;
        }
        const auto& intended = state_.upstreams_.at(name);
        const auto body = needed_order(intended, observed.observation_);
        if (!body) {
            continue;
        }
        const bool allowed =
            is_load(*body) ? open_loads() < state_.policy_.parallel_loads_
                           : may_change_role(intended, observed.observation_);
        if (allowed) {
            open_[name] = {*body, now};
            orders.push_back({name, *body});
        }
    }
    return orders;
}

} // namespace pimentoferry::orders
