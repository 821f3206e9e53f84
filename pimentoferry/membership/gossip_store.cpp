#include "pimentoferry/membership/gossip_store.hpp"

namespace pimentoferry::membership {

bool gossip_store::merge(const shard_owner& received) {
    const auto [position, added] =
        shards_.try_emplace(received.shard_, received);
    if (!added && received.epoch_ <= position->second.epoch_) {
        return false;
    }
    position->second = received;
    return true;
}

bool gossip_store::merge(const cell_headroom& received) {
    const auto [position, added] = cells_.try_emplace(received.cell_, received);
    if (!added && received.version_ <= position->second.version_) {
        return false;
    }
    position->second = received;
    return true;
}

bool gossip_store::merge(const crash_mark& received, base::time_point now) {
    if (marks_.size() >= crash_mark_limit &&
        !marks_.contains(received.fingerprint_)) {
        return false;
    }
    const auto [position, added] =
        marks_.try_emplace(received.fingerprint_, mark{0, now});
    // The remaining time decreases in transit, so that only a higher crash
    // count is a change.
    if (received.crashes_ <= position->second.crashes_) {
        return false;
    }
    position->second = mark{received.crashes_, now + received.remaining_};
    return true;
}

bool gossip_store::merge(const leaving_upstream& received,
                         base::time_point now) {
    const auto [position, added] = leaving_.try_emplace(received.upstream_);
    const bool changed =
        added || !(position->second.address_ == received.address_);
    position->second = leaving{received.address_, now};
    return changed;
}

void gossip_store::remove_expired(base::time_point now) {
    std::erase_if(
        marks_, [&](const auto& entry) { return entry.second.until_ <= now; });
    std::erase_if(leaving_, [&](const auto& entry) {
        return now - entry.second.last_received_ > leaving_upstream_retention;
    });
}

} // namespace pimentoferry::membership
