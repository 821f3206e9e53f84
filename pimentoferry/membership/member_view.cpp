#include "pimentoferry/membership/member_view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoferry::membership {
namespace {

bool overrides(const member_update& told, const member& known) {
    // An instance that left never comes back; its successor has another id.
    if (known.state_ == member_state::left) {
        return false;
    }
    if (told.state_ == member_state::left) {
        return true;
    }
    return std::pair{told.incarnation_, told.state_} >
           std::pair{known.incarnation_, known.state_};
}

} // namespace

member_update update_of(const member& value) {
    return {value.instance_, value.incarnation_,    value.state_,
            value.draining_, value.applied_ticket_, value.in_flight_,
            value.version_};
}

merge_result member_view::merge(const member& told, base::time_point now) {
    const auto [place, added] =
        members_.try_emplace(told.instance_, known_member{told, now});
    if (!added) {
        return merge(update_of(told), now);
    }
    note_state(told);
    return merge_result::state;
}

merge_result member_view::merge(const member_update& told,
                                base::time_point now) {
    const auto place = members_.find(told.instance_);
    if (place == members_.end()) {
        return merge_result::nothing;
    }
    auto& known = place->second.member_;
    auto result = merge_result::nothing;
    if (told.version_ > known.version_) {
        known.version_ = told.version_;
        known.draining_ = told.draining_;
        known.applied_ticket_ = told.applied_ticket_;
        known.in_flight_ = told.in_flight_;
        result = merge_result::details;
    }
    if (overrides(told, known)) {
        if (known.state_ != told.state_) {
            place->second.since_ = now;
        }
        known.incarnation_ = told.incarnation_;
        known.state_ = told.state_;
        note_state(known);
        result = merge_result::state;
    }
    return result;
}

const known_member* member_view::find(base::instance_id instance) const {
    const auto place = members_.find(instance);
    return place == members_.end() ? nullptr : &place->second;
}

std::vector<base::instance_id> member_view::probed() const {
    std::vector<base::instance_id> live;
    for (const auto& [instance, known] : members_) {
        if (is_live(known.member_.state_)) {
            live.push_back(instance);
        }
    }
    return live;
}

std::vector<base::instance_id>
member_view::overdue_suspects(base::time_point now) const {
    std::vector<base::instance_id> overdue;
    for (const auto instance : suspects_) {
        if (now - members_.at(instance).since_ >= suspicion_limit) {
            overdue.push_back(instance);
        }
    }
    return overdue;
}

void member_view::restart_suspicions(base::time_point now) {
    for (const auto instance : suspects_) {
        members_.at(instance).since_ = now;
    }
}

void member_view::note_state(const member& known) {
    if (known.state_ == member_state::suspect) {
        suspects_.insert(known.instance_);
    } else {
        suspects_.erase(known.instance_);
    }
}

void member_view::forget_ended(base::time_point now) {
    std::erase_if(members_, [&](const auto& entry) {
        return !is_live(entry.second.member_.state_) &&
               now - entry.second.since_ > ended_memory;
    });
}

} // namespace pimentoferry::membership
