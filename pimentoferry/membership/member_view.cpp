#include "pimentoferry/membership/member_view.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoferry::membership {
namespace {

bool overrides(const member_update& received, const member& current) {
    // An instance that left does not return; a restarted process has another
    // id.
    if (current.state_ == member_state::left) {
        return false;
    }
    if (received.state_ == member_state::left) {
        return true;
    }
    return std::pair{received.incarnation_, received.state_} >
           std::pair{current.incarnation_, current.state_};
}

} // namespace

member_update update_of(const member& value) {
    return {value.instance_, value.incarnation_,    value.state_,
            value.draining_, value.applied_ticket_, value.in_flight_,
            value.version_};
}

merge_result member_view::merge(const member& received, base::time_point now) {
    const auto [position, added] =
        members_.try_emplace(received.instance_, known_member{received, now});
    if (!added) {
        return merge(update_of(received), now);
    }
    update_suspects(received);
    return merge_result::state;
}

merge_result member_view::merge(const member_update& received,
                                base::time_point now) {
    const auto position = members_.find(received.instance_);
    if (position == members_.end()) {
        return merge_result::nothing;
    }
    auto& current = position->second.member_;
    auto result = merge_result::nothing;
    if (received.version_ > current.version_) {
        current.version_ = received.version_;
        current.draining_ = received.draining_;
        current.applied_ticket_ = received.applied_ticket_;
        current.in_flight_ = received.in_flight_;
        result = merge_result::details;
    }
    if (overrides(received, current)) {
        if (current.state_ != received.state_) {
            position->second.since_ = now;
        }
        current.incarnation_ = received.incarnation_;
        current.state_ = received.state_;
        update_suspects(current);
        result = merge_result::state;
    }
    return result;
}

const known_member* member_view::find(base::instance_id instance) const {
    const auto position = members_.find(instance);
    return position == members_.end() ? nullptr : &position->second;
}

std::vector<base::instance_id> member_view::live_instances() const {
    std::vector<base::instance_id> live;
    for (const auto& [instance, record] : members_) {
        if (is_live(record.member_.state_)) {
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

void member_view::update_suspects(const member& current) {
    if (current.state_ == member_state::suspect) {
        suspects_.insert(current.instance_);
    } else {
        suspects_.erase(current.instance_);
    }
}

void member_view::remove_ended(base::time_point now) {
    std::erase_if(members_, [&](const auto& entry) {
        return !is_live(entry.second.member_.state_) &&
               now - entry.second.since_ > ended_member_retention;
    });
}

} // namespace pimentoferry::membership
