#include "pimentoferry/entry/cell_set.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoferry::entry {

namespace {

// One owner receives at most 16 load reports per second (section 3), however
// many engines the cell has. The fewer engines a cell has, the more often each
// is polled.
constexpr base::milliseconds poll_interval_per_engine{62};
constexpr base::milliseconds min_poll_interval{250};
constexpr base::milliseconds max_poll_interval{1000};
constexpr int loads_per_cache_poll = 2;

base::milliseconds poll_interval(std::size_t engines) {
    return std::clamp(poll_interval_per_engine * static_cast<int>(engines),
                      min_poll_interval, max_poll_interval);
}

bool in_cell(const config::upstream& upstream, const base::cell_name& cell) {
    return upstream.kind_ == config::upstream_kind::engine &&
           cell_of(upstream) == cell;
}

placement::scheduler_settings settings_for(const base::cell_name& cell,
                                           const config::state& state) {
    placement::scheduler_settings settings;
    settings.cell_ = cell;
    const auto engine =
        std::ranges::find_if(state.upstreams_, [&cell](const auto& item) {
            return in_cell(item.second, cell);
        });
    if (engine == state.upstreams_.end()) {
        return settings;
    }
    const auto found = state.deployments_.find(engine->second.deployment_);
    if (found == state.deployments_.end()) {
        return settings;
    }
    const auto& deployment = found->second;
    settings.first_token_target_ = deployment.first_token_target_;
    settings.token_interval_target_ = deployment.token_interval_target_;
    const auto policy =
        placement::make_policy(deployment.policy_, state.policy_.waste_weight_);
    settings.policy_ = policy.value_or(settings.policy_);
    return settings;
}

} // namespace

std::vector<base::cell_name> cell_set::names() const {
    std::vector<base::cell_name> names;
    names.reserve(cells_.size());
    for (const auto& [name, cell] : cells_) {
        names.push_back(name);
    }
    return names;
}

std::vector<placement::engine_description>
cell_set::update_engines(scheduled_cell& cell,
                         const base::cell_name& name,
                         const routing_table& routing,
                         const is_leaving_function& is_leaving) {
    std::vector<placement::engine_description> engines;
    std::map<base::upstream_name, polled_engine> updated;
    for (const auto& [upstream_name, upstream] : routing.state_.upstreams_) {
        if (!in_cell(upstream, name)) {
            continue;
        }
        const bool prefill = upstream.role_ == config::engine_role::prefill;
        const bool serving =
            upstream.state_ == config::upstream_state::serving &&
            !is_leaving(upstream_name);
        engines.push_back({upstream_name,
                           prefill ? placement::engine_role::prefill
                                   : placement::engine_role::decode,
                           upstream.failure_domain_, !serving, upstream.slots_,
                           upstream.kv_blocks_});
        auto& engine = updated[upstream_name];
        const auto previous = cell.engines_.find(upstream_name);
        if (previous != cell.engines_.end()) {
            engine = previous->second;
        }
        engine.address_ = upstream.address_;
        engine.prefill_ = prefill;
    }
    cell.engines_ = std::move(updated);
    return engines;
}

cell_set::actions
cell_set::open(const base::cell_name& cell,
               const routing_table& routing,
               const is_leaving_function& is_leaving,
               const std::vector<base::instance_id>& ended_instances,
               base::time_point now) {
    const auto settings = settings_for(cell, routing.state_);
    auto& opened =
        cells_
            .insert_or_assign(
                cell,
                scheduled_cell{placement::cell_scheduler{settings}, {}, now})
            .first->second;
    auto engines = update_engines(opened, cell, routing, is_leaving);
    auto result = opened.scheduler_.handle(
        placement::engines_changed{std::move(engines)}, now);
    const auto add = [&](const placement::event& event) {
        std::ranges::move(opened.scheduler_.handle(event, now),
                          std::back_inserter(result));
    };
    for (const auto instance : ended_instances) {
        add(placement::entry_dead{instance});
    }
    add(placement::became_owner{});
    return result;
}

cell_set::actions cell_set::refresh(const base::cell_name& cell,
                                    const routing_table& routing,
                                    const is_leaving_function& is_leaving,
                                    base::time_point now) {
    const auto found = cells_.find(cell);
    if (found == cells_.end()) {
        return {};
    }
    auto& refreshed = found->second;
    refreshed.scheduler_.configure(settings_for(cell, routing.state_));
    auto engines = update_engines(refreshed, cell, routing, is_leaving);
    return refreshed.scheduler_.handle(
        placement::engines_changed{std::move(engines)}, now);
}

cell_set::actions cell_set::close(const base::cell_name& cell,
                                  base::time_point now) {
    auto result = handle(cell, placement::lost_ownership{}, now);
    cells_.erase(cell);
    return result;
}

cell_set::actions cell_set::handle(const base::cell_name& cell,
                                   const placement::event& event,
                                   base::time_point now) {
    const auto found = cells_.find(cell);
    if (found == cells_.end()) {
        return {};
    }
    if (std::holds_alternative<placement::entry_message>(event)) {
        found->second.last_request_ = now;
    }
    return found->second.scheduler_.handle(event, now);
}

std::vector<due_poll> cell_set::take_due_polls(base::time_point now) {
    std::vector<due_poll> polls;
    for (auto& [name, cell] : cells_) {
        for (auto& [engine_name, engine] : cell.engines_) {
            const bool load = now >= engine.next_load_;
            const bool cache = engine.prefill_ && now >= engine.next_cache_;
            if (engine.polling_ || (!load && !cache)) {
                continue;
            }
            engine.polling_ = true;
            polls.push_back({name, engine_name, engine.address_, load, {}});
            if (cache) {
                polls.back().cache_after_ = engine.sequence_;
            }
        }
    }
    return polls;
}

void cell_set::poll_finished(const due_poll& poll,
                             std::uint64_t last_sequence,
                             base::time_point now) {
    const auto cell = cells_.find(poll.cell_);
    if (cell == cells_.end()) {
        return;
    }
    const auto found = cell->second.engines_.find(poll.engine_);
    if (found == cell->second.engines_.end()) {
        return;
    }
    auto& engine = found->second;
    const auto interval = poll_interval(cell->second.engines_.size());
    engine.polling_ = false;
    if (poll.load_) {
        engine.next_load_ = now + interval;
    }
    if (poll.cache_after_) {
        engine.next_cache_ = now + loads_per_cache_poll * interval;
        engine.sequence_ = last_sequence;
    }
}

base::time_point cell_set::last_request(const base::cell_name& cell) const {
    const auto found = cells_.find(cell);
    return found == cells_.end() ? base::time_point{}
                                 : found->second.last_request_;
}

std::optional<base::time_point> cell_set::next_wakeup() const {
    std::optional<base::time_point> next;
    for (const auto& [name, cell] : cells_) {
        const auto due = cell.scheduler_.next_wakeup();
        if (due && (!next || *due < *next)) {
            next = due;
        }
    }
    return next;
}

} // namespace pimentoferry::entry
