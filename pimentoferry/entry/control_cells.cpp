// Computes the owners of cells and schedules the cells that this entry owns.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

#include <algorithm>

namespace pimentoferry::entry {

namespace {

// An entry that received a request as the next owner schedules the cell until
// this long after the last request, unless it becomes the owner.
constexpr std::chrono::seconds adopted_cell_idle_timeout{10};

bool is_engine(const config::upstream& upstream) {
    return upstream.kind_ == config::upstream_kind::engine;
}

/// The region of each failure domain, as its entries report it.
std::map<base::failure_domain, std::string>
regions_of(const std::vector<membership::member>& members) {
    std::map<base::failure_domain, std::string> regions;
    for (const auto& member : members) {
        regions.emplace(member.failure_domain_, member.region_);
    }
    return regions;
}

std::string_view to_string(placement::decision_kind kind) {
    switch (kind) {
    case placement::decision_kind::grant:
        return "grant";
    case placement::decision_kind::bind:
        return "bind";
    case placement::decision_kind::queue:
        return "queue";
    case placement::decision_kind::refuse:
        return "refuse";
    case placement::decision_kind::expire:
        return "expire";
    }
    return "unknown";
}

std::string candidates_text(const placement::decision_record& record) {
    std::string text;
    for (const auto& candidate : record.candidates_) {
        text += text.empty() ? "" : ",";
        text +=
            candidate.engine_.value_ + ":" + std::to_string(candidate.score_);
    }
    return text;
}

} // namespace

std::vector<base::instance_id>
control::cell_candidates(const base::cell_name& cell) const {
    const auto location = std::ranges::find(cell_locations_, cell,
                                            &membership::cell_location::cell_);
    if (location == cell_locations_.end()) {
        return {};
    }
    return membership::cell_candidates(*location, cell_locations_,
                                       swim_.live());
}

// An engine in a failure domain without entries is assigned to the region of
// this entry: tickets do not name regions, and a fleet that has a failure
// domain without entries has one region.
void control::locate_cells() {
    const auto regions = regions_of(swim_.live());
    std::map<base::cell_name, std::string> cells;
    for (const auto& [name, upstream] : routing_->state_.upstreams_) {
        if (is_engine(upstream)) {
            const auto region = regions.find(upstream.failure_domain_);
            cells.emplace(cell_of(upstream), region == regions.end()
                                                 ? settings_.region_
                                                 : region->second);
        }
    }
    cell_locations_.clear();
    for (const auto& [cell, region] : cells) {
        cell_locations_.push_back({cell, region});
    }
}

void control::refresh_cells() {
    locate_cells();
    const auto before = std::exchange(
        owners_, membership::assign_cells(cell_locations_, swim_.live()));
    for (const auto& [cell, owner] : owners_) {
        const auto old = before.find(cell);
        if (old == before.end() || old->second != owner) {
            log_info("cell_owner", {{"cell", cell.value_},
                                    {"owner", base::to_hex(owner.value_)}});
            // The scheduler must exist before announcements reach it.
            if (owner == instance_ && !cells_.schedules(cell)) {
                open_cell(cell);
            }
            raise(requests::event{requests::owner_changed{cell}});
        }
    }
    const auto now = base::clock::now();
    for (const auto& cell : cells_.names()) {
        const auto owner = owners_.find(cell);
        if (owner != owners_.end() && owner->second == instance_) {
            perform_cell(cell, cells_.refresh(cell, *routing_,
                                              leaving_predicate(), now));
        } else {
            perform_cell(cell, cells_.close(cell, now));
        }
    }
}

cell_set::is_leaving_function control::leaving_predicate() const {
    return [this](const base::upstream_name& name) {
        return swim_.gossip().is_leaving(name);
    };
}

void control::open_cell(const base::cell_name& cell) {
    const std::vector<base::instance_id> ended_instances{
        ended_instances_.begin(), ended_instances_.end()};
    perform_cell(cell, cells_.open(cell, *routing_, leaving_predicate(),
                                   ended_instances, base::clock::now()));
}

void control::refresh_leaving() {
    snapshot_changed_ = true;
    raise_engines_updated();
    for (const auto& cell : cells_.names()) {
        perform_cell(cell, cells_.refresh(cell, *routing_, leaving_predicate(),
                                          base::clock::now()));
    }
}

void control::handle_cell_message(base::instance_id from,
                                  const cell_message& message) {
    const auto& cell = message.cell_;
    const bool is_placement_request =
        std::holds_alternative<placement::placement_request>(message.message_);
    // An entry sends its requests to the next owner when the owner is
    // unresponsive, which is some seconds before membership declares the owner
    // dead.
    const auto candidates = cell_candidates(cell);
    const bool is_candidate =
        std::ranges::count(candidates, instance_) > 0 && !drain_.begun();
    if (is_placement_request && !cells_.schedules(cell) && is_candidate) {
        log_info("cell_adopted", {{"cell", cell.value_}});
        open_cell(cell);
    }
    notify_scheduler(cell, placement::entry_message{from, message.message_});
}

void control::notify_scheduler(const base::cell_name& cell,
                               const placement::event& event) {
    perform_cell(cell, cells_.handle(cell, event, base::clock::now()));
}

void control::notify_all_schedulers(const placement::event& event) {
    for (const auto& cell : cells_.names()) {
        notify_scheduler(cell, event);
    }
}

void control::perform_cell(const base::cell_name& cell,
                           const cell_set::actions& actions) {
    for (const auto& action : actions) {
        std::visit(base::overloaded{[this, &cell](const auto& a) {
                       perform_cell(cell, a);
                   }},
                   action);
    }
}

void control::perform_cell(const base::cell_name&,
                           const placement::send_to_entry& action) {
    if (action.to_ == instance_) {
        raise(requests::event{
            requests::owner_reply_received{action.message_, instance_}});
    } else {
        send_to(action.to_, action.message_);
    }
}

void control::perform_cell(const base::cell_name&,
                           const placement::cancel_attempts& action) {
    perform(requests::cancel_attempts{action.engine_, action.attempts_});
}

// The higher version wins on every entry, and a counter would restart from zero
// at a new owner, so versions are taken from the wall clock.
void control::perform_cell(const base::cell_name& cell,
                           const placement::publish_headroom& action) {
    const auto wall = static_cast<std::uint64_t>(
        std::chrono::duration_cast<base::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch())
            .count());
    headroom_version_ = std::max(headroom_version_ + 1, wall);
    raise(membership::event{membership::publish{
        membership::cell_headroom{cell, instance_, headroom_version_,
                                  action.free_decode_slots_, action.queued_}}});
    snapshot_changed_ = true;
}

void control::perform_cell(const base::cell_name& cell,
                           const placement::decision_record& record) {
    const auto kind = to_string(record.kind_);
    metrics_.count_placement(kind);
    log_info("place",
             {{"attempt", base::to_string(record.attempt_)},
              {"cell", cell.value_},
              {"decision", std::string{kind}},
              {"choice", record.choice_.value_},
              {"reason", std::string{record.reason_}},
              {"candidates", candidates_text(record)},
              {"first_token_us",
               std::to_string(record.predicted_first_token_.count())}});
}

void control::perform_cell(const base::cell_name& cell,
                           const placement::propose_role_change& proposal) {
    log_info("role_change_proposed",
             {{"cell", cell.value_},
              {"engine", proposal.engine_.value_},
              {"reason", std::string{proposal.reason_}}});
}

void control::step_cells() {
    const auto now = base::clock::now();
    notify_all_schedulers(placement::tick{});
    for (const auto& cell : cells_.names()) {
        const auto owner = owners_.find(cell);
        const bool own = owner != owners_.end() && owner->second == instance_;
        if (!own &&
            cells_.last_request(cell) + adopted_cell_idle_timeout < now) {
            log_info("cell_released", {{"cell", cell.value_}});
            perform_cell(cell, cells_.close(cell, now));
        }
    }
    for (const auto& poll : cells_.take_due_polls(now)) {
        start_poll(poll);
    }
}

void control::raise_engines_updated() {
    std::map<base::cell_name, requests::engines_updated> cells;
    for (const auto& [name, upstream] : routing_->state_.upstreams_) {
        if (!is_engine(upstream)) {
            continue;
        }
        const auto cell = cell_of(upstream);
        auto& update = cells[cell];
        update.cell_ = cell;
        const bool serving =
            upstream.state_ == config::upstream_state::serving &&
            !swim_.gossip().is_leaving(name);
        if (serving) {
            const bool decode = upstream.role_ == config::engine_role::decode;
            update.engines_.push_back({name, decode, 0});
        }
    }
    for (auto& [cell, update] : cells) {
        raise(requests::event{std::move(update)});
    }
}

} // namespace pimentoferry::entry
