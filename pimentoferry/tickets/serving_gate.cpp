#include "pimentoferry/tickets/serving_gate.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::tickets {

void serving_gate::advance(base::time_point now) {
    if (!started_) {
        started_ = true;
        last_peer_frame_ = now;
        live_ = {name_};
        known_ = {name_};
        require_confirmation(now);
    } else if (now - last_event_ > pause_limit) {
        note_pause(now);
    }
    last_event_ = now;
    // When contact is restored, this entry may be missing tickets that were
    // accepted during the loss of contact.
    if (confirmed_ && (isolated(now) || partitioned(now))) {
        require_confirmation(now);
    }
}

void serving_gate::note_pause(base::time_point now) {
    // An entry that is alone in the fleet can't have missed another's ticket.
    if (!alone()) {
        require_confirmation(now);
    }
}

void serving_gate::note_store(base::time_point sent, base::time_point now) {
    last_store_ = std::max(last_store_.value_or(sent), sent);
    std::erase_if(last_live_, [&](const auto& entry) {
        return now - entry.second > known_entry_ttl;
    });
    known_.clear();
    for (const auto& [name, ignored] : last_live_) {
        known_.insert(name);
    }
    add_current_entries();
}

void serving_gate::note_confirmed(base::time_point sent) {
    confirmed_ = confirmed_ || sent >= unconfirmed_since_;
}

void serving_gate::note_peers_agreed(base::time_point sent) {
    if (store_failed_ && *store_failed_ >= unconfirmed_since_) {
        note_confirmed(sent);
    }
}

void serving_gate::note_members(const peers_updated& members,
                                base::time_point now) {
    live_ = {name_};
    for (const auto& peer : members.live_) {
        live_.insert(peer.name_);
        last_live_[peer.name_] = now;
    }
    listed_ = {members.listed_.begin(), members.listed_.end()};
    for (const auto& name : members.left_) {
        if (!live_.contains(name)) {
            listed_.erase(name);
            known_.erase(name);
            last_live_.erase(name);
        }
    }
    if (!last_store_ || now - *last_store_ <= isolation_limit) {
        add_current_entries();
    }
}

void serving_gate::add_current_entries() {
    known_.insert(live_.begin(), live_.end());
    known_.insert(listed_.begin(), listed_.end());
}

void serving_gate::note_known_entries(const std::vector<std::string>& names) {
    if (!last_store_) {
        known_.insert(names.begin(), names.end());
    }
}

void serving_gate::note_numbers(std::uint64_t applied,
                                std::uint64_t highest,
                                base::time_point now) {
    applied_ = applied;
    if (highest <= applied) {
        behind_since_.reset();
    } else if (!behind_since_) {
        behind_since_ = now;
    }
}

serving_status serving_gate::evaluate(base::time_point now) const {
    if (applied_ == 0) {
        return {false, serving_reason::no_configuration};
    }
    const bool paused = now - last_event_ > pause_limit && !alone();
    if (isolated(now)) {
        return {false, serving_reason::isolated};
    }
    if (!confirmed_ || paused) {
        return {false, serving_reason::unconfirmed};
    }
    if (partitioned(now)) {
        return {false, serving_reason::partitioned};
    }
    if (behind_since_ && now - *behind_since_ > behind_limit) {
        return {false, serving_reason::behind};
    }
    return {true, serving_reason::in_force};
}

bool serving_gate::partitioned(base::time_point now) const {
    const bool store_reachable =
        last_store_ && now - *last_store_ <= isolation_limit;
    if (store_reachable || alone() ||
        policy_ == config::partition_policy::serve) {
        return false;
    }
    const auto reachable = std::ranges::count_if(
        known_, [&](const auto& name) { return live_.contains(name); });
    // Gossip about the entries lost to a large partition takes more than 8 s
    // to complete.
    constexpr std::size_t slack_divisor = 10;
    const auto slack = known_.size() / slack_divisor;
    return 2 * static_cast<std::size_t>(reachable) <= known_.size() + 2 * slack;
}

bool serving_gate::isolated(base::time_point now) const {
    const auto last_contact =
        std::max(last_peer_frame_, last_store_.value_or(last_peer_frame_));
    return now - last_contact > isolation_limit && !alone();
}

void serving_gate::require_confirmation(base::time_point now) {
    confirmed_ = false;
    unconfirmed_since_ = now;
}

} // namespace pimentoferry::tickets
