// Builds the snapshots that the traffic threads use.

#include "pimentoferry/entry/control.hpp"

namespace pimentoferry::entry {

std::optional<base::refusal> control::refusal_of_new_work() const {
    base::refusal refusal;
    refusal.ran_ = base::ran_state::not_run;
    refusal.retry_after_ = std::chrono::seconds{1};
    if (drain_.begun()) {
        refusal.code_ = base::refusal_code::draining;
        refusal.detail_ = "this entry is shutting down";
        return refusal;
    }
    if (!serving_.allowed_) {
        refusal.code_ = tickets::refusal_for(serving_.reason_);
        refusal.detail_ =
            refusal.code_ == base::refusal_code::isolated
                ? "this entry cannot confirm the configuration in force"
                : "this entry has no configuration yet";
        return refusal;
    }
    return std::nullopt;
}

void control::publish() {
    auto next = std::make_shared<snapshot>();
    next->routing_ = routing_;
    for (const auto& address : swim_.address_list()) {
        next->entries_.push_back({address.address_, address.weight_});
    }
    next->closed_ = refusal_of_new_work();
    for (const auto& [cell, headroom] : swim_.gossip().headroom()) {
        next->headroom_.emplace(cell, headroom.free_decode_slots_);
    }
    for (const auto& [name, upstream] : routing_->state_.upstreams_) {
        if (swim_.gossip().is_leaving(name)) {
            next->leaving_.insert(name);
        }
    }
    snapshot_ = std::move(next);
    snapshot_changed_ = false;
    for (auto* traffic : traffic_) {
        traffic->use(snapshot_);
    }
}

} // namespace pimentoferry::entry
