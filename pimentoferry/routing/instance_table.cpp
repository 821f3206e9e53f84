#include "pimentoferry/routing/instance_table.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::routing {

void instance_table::put(instance registered) {
    auto id = registered.id_;
    records_.insert_or_assign(std::move(id),
                              record{std::move(registered), false});
}

void instance_table::remove(const base::upstream_name& id,
                            base::time_point now) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    // A draining instance has announced that it leaves and does not register
    // again.
    if (now >= lapsed_kept_until_ || found->second.instance_.draining_) {
        records_.erase(found);
    } else {
        found->second.lapsed_ = true;
    }
}

void instance_table::retain(const std::vector<base::upstream_name>& ids,
                            base::time_point now) {
    const std::set<base::upstream_name> kept{ids.begin(), ids.end()};
    std::vector<base::upstream_name> removed;
    for (const auto& [id, entry] : records_) {
        if (!kept.contains(id)) {
            removed.push_back(id);
        }
    }
    std::ranges::for_each(removed, [&](const auto& id) { remove(id, now); });
}

bool instance_table::is_usable(const record& entry,
                               base::time_point now) const {
    const bool expired = entry.lapsed_ && now >= lapsed_kept_until_;
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

bool instance_table::expire(base::time_point now) {
    return std::erase_if(records_, [&](const auto& entry) {
               return entry.second.lapsed_ && now >= lapsed_kept_until_;
           }) > 0;
}

} // namespace pimentoferry::routing
