#include "pimentoferry/routing/instance_table.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::routing {

void instance_table::put(instance registered) {
    auto id = registered.id_;
    records_.insert_or_assign(std::move(id),
                              record{std::move(registered), std::nullopt});
}

void instance_table::remove(const base::upstream_name& id,
                            bool source_disturbed,
                            base::time_point now) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    // A draining instance has announced that it leaves and does not register
    // again.
    if (!source_disturbed || found->second.instance_.draining_) {
        records_.erase(found);
    } else if (!found->second.kept_until_) {
        found->second.kept_until_ = now + reregistration_time;
    }
}

void instance_table::retain(const std::vector<base::upstream_name>& ids,
                            bool source_disturbed,
                            base::time_point now) {
    const std::set<base::upstream_name> kept{ids.begin(), ids.end()};
    std::vector<base::upstream_name> removed;
    for (const auto& [id, entry] : records_) {
        if (!kept.contains(id)) {
            removed.push_back(id);
        }
    }
    std::ranges::for_each(
        removed, [&](const auto& id) { remove(id, source_disturbed, now); });
}

bool instance_table::is_usable(const record& entry, base::time_point now) {
    const bool expired = entry.kept_until_ && *entry.kept_until_ <= now;
    return !entry.instance_.draining_ && !expired;
}

std::vector<const instance*>
instance_table::usable(const base::service_name& service,
                       base::time_point now) const {
    std::vector<const instance*> found;
    for (const auto& [id, entry] : records_) {
        if (entry.instance_.service_ == service && is_usable(entry, now)) {
            found.push_back(&entry.instance_);
        }
    }
    return found;
}

const instance* instance_table::find_usable(const base::upstream_name& id,
                                            base::time_point now) const {
    const auto found = records_.find(id);
    return found != records_.end() && is_usable(found->second, now)
               ? &found->second.instance_
               : nullptr;
}

void instance_table::expire(base::time_point now) {
    std::erase_if(records_, [now](const auto& entry) {
        return entry.second.kept_until_ && *entry.second.kept_until_ <= now;
    });
}

} // namespace pimentoferry::routing
