#include "pimentoferry/membership/gossip_store.hpp"

namespace pimentoferry::membership {

bool gossip_store::learn(const shard_owner& told) {
    const auto [place, added] = shards_.try_emplace(told.shard_, told);
    if (!added && told.epoch_ <= place->second.epoch_) {
        return false;
    }
    place->second = told;
    return true;
}

bool gossip_store::learn(const cell_headroom& told) {
    const auto [place, added] = cells_.try_emplace(told.cell_, told);
    if (!added && told.version_ <= place->second.version_) {
        return false;
    }
    place->second = told;
    return true;
}

bool gossip_store::learn(const crash_mark& told, base::time_point now) {
    if (marks_.size() >= crash_mark_limit &&
        !marks_.contains(told.fingerprint_)) {
        return false;
    }
    const auto [place, added] =
        marks_.try_emplace(told.fingerprint_, mark{0, now});
    // The remaining time shrinks on the way, so only more crashes are news.
    if (told.crashes_ <= place->second.crashes_) {
        return false;
    }
    place->second = mark{told.crashes_, now + told.remaining_};
    return true;
}

bool gossip_store::learn(const leaving_upstream& told, base::time_point now) {
    const auto [place, added] = leaving_.try_emplace(told.upstream_);
    const bool news = added || !(place->second.address_ == told.address_);
    place->second = leaving{told.address_, now};
    return news;
}

void gossip_store::forget_expired(base::time_point now) {
    std::erase_if(
        marks_, [&](const auto& entry) { return entry.second.until_ <= now; });
    std::erase_if(leaving_, [&](const auto& entry) {
        return now - entry.second.told_ > leaving_memory;
    });
}

} // namespace pimentoferry::membership
