// Cells: who owns them, and the scheduling of those that this entry owns.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::entry {

namespace {

void log_answer(const placement::to_entry& answer) {
    std::visit(
        base::overloaded{
            [](const placement::place_grant& m) {
                log_info("place",
                         {{"attempt", base::to_string(m.attempt_)},
                          {"prefill", m.prefill_.value_},
                          {"decode", m.decode_.value_},
                          {"inline", m.prefill_at_decode_ ? "yes" : "no"}});
            },
            [](const placement::place_refusal& m) {
                log_info("place_refused",
                         {{"attempt", base::to_string(m.attempt_)},
                          {"code", std::string{to_string(m.code_)}}});
            },
            [](const placement::decode_bound& m) {
                log_info("bind", {{"attempt", base::to_string(m.attempt_)},
                                  {"decode", m.decode_.value_}});
            },
            [](const placement::place_queued& m) {
                log_info("queue", {{"attempt", base::to_string(m.attempt_)}});
            }},
        answer);
}

std::string_view outcome_of(const placement::to_entry& answer) {
    return std::visit(
        base::overloaded{
            [](const placement::place_grant&) { return "granted"; },
            [](const placement::place_refusal&) { return "refused"; },
            [](const placement::decode_bound&) { return "bound"; },
            [](const placement::place_queued&) { return "queued"; }},
        answer);
}

bool is_engine(const config::upstream& upstream) {
    return upstream.kind_ == config::upstream_kind::engine;
}

/// The region of each failure domain, as its entries tell it.
std::map<base::failure_domain, std::string>
regions_of(const std::vector<membership::member>& members) {
    std::map<base::failure_domain, std::string> regions;
    for (const auto& member : members) {
        regions.emplace(member.failure_domain_, member.region_);
    }
    return regions;
}

} // namespace

std::vector<base::instance_id>
control::cell_candidates(const base::cell_name& cell) const {
    const auto place =
        std::ranges::find(places_, cell, [](const auto& p) { return p.cell_; });
    if (place == places_.end()) {
        return {};
    }
    return membership::cell_candidates(*place, places_, swim_.live());
}

// An engine in a failure domain without entries counts to this entry's region:
// tickets do not name regions, and a fleet without entries there has one.
void control::refresh_cells() {
    const auto live = swim_.live();
    const auto regions = regions_of(live);
    std::map<base::cell_name, std::string> cells;
    for (const auto& [name, upstream] : routing_->state_.upstreams_) {
        if (is_engine(upstream)) {
            const auto region = regions.find(upstream.failure_domain_);
            cells.emplace(cell_of(upstream), region == regions.end()
                                                 ? settings_.region_
                                                 : region->second);
        }
    }
    places_.clear();
    for (const auto& [cell, region] : cells) {
        places_.push_back({cell, region});
    }
    const auto before = std::move(owners_);
    owners_ = membership::assign_cells(places_, live);
    for (const auto& [cell, owner] : owners_) {
        const auto old = before.find(cell);
        if (old == before.end() || old->second != owner) {
            log_info("cell_owner", {{"cell", cell.value_},
                                    {"owner", base::to_hex(owner.value_)}});
            raise(requests::event{requests::owner_changed{cell}});
        }
    }
}

void control::to_cell(base::instance_id from, const cell_message& message) {
    const auto answer =
        cells_.handle(*snapshot_, message.cell_, message.message_);
    if (answer) {
        from_cell(from, *answer);
    }
}

void control::from_cell(base::instance_id to,
                        const placement::to_entry& answer) {
    log_answer(answer);
    metrics_.count_placement(outcome_of(answer));
    if (to == instance_) {
        raise(requests::event{requests::placed{answer}});
    } else {
        send_to(to, answer);
    }
}

void control::step_cells() {}

void control::raise_engines_known() {
    std::map<base::cell_name, requests::engines_known> cells;
    for (const auto& [name, upstream] : routing_->state_.upstreams_) {
        if (!is_engine(upstream)) {
            continue;
        }
        const auto cell = cell_of(upstream);
        auto& known = cells[cell];
        known.cell_ = cell;
        const bool serving =
            upstream.state_ == config::upstream_state::serving &&
            !swim_.gossip().is_leaving(name);
        if (serving) {
            const bool decode = upstream.role_ == config::engine_role::decode;
            known.engines_.push_back({name, decode, 0});
        }
    }
    for (auto& [cell, known] : cells) {
        raise(requests::event{std::move(known)});
    }
}

} // namespace pimentoferry::entry
