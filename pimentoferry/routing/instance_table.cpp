#include "pimentoferry/routing/instance_table.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>

namespace pimentoferry::routing {

namespace {

// Removed instances that are remembered, and for how long: a copy of the
// source's data is some seconds old, or minutes at most.
constexpr std::size_t max_gone = 1024;
constexpr base::milliseconds gone_memory{600'000};
// Instances that said that they leave and that are remembered. Those that are
// not registered are kept for `gone_memory`: a message may be faster than the
// registration, and an entry may lapse and come back.
constexpr std::size_t max_leaving = 4096;
// The source removes entries of dead instances within this time after its
// return: three intervals of their registrations, and the time until the
// removal is known.
constexpr base::milliseconds dead_entry_lifetime{5000};

} // namespace

std::string_view to_string(put_result result) {
    switch (result) {
    case put_result::taken:
        return "taken";
    case put_result::drains_already:
        return "drains_already";
    case put_result::earlier_run:
        return "earlier_run";
    case put_result::gone_already:
        return "gone_already";
    }
    return "unknown";
}

put_result instance_table::put(instance registered) {
    const auto found = records_.find(registered.id_);
    auto result = put_result::taken;
    if (found != records_.end() && registered.started_at_ms_ != 0) {
        const auto& known = found->second.instance_;
        if (known.started_at_ms_ > registered.started_at_ms_) {
            return put_result::earlier_run;
        }
        const bool same_run = known.started_at_ms_ == registered.started_at_ms_;
        if (same_run && known.draining_ && !registered.draining_) {
            registered.draining_ = true;
            result = put_result::drains_already;
        }
    }
    gone_.erase(registered.id_);
    auto id = registered.id_;
    records_.insert_or_assign(std::move(id), record{std::move(registered)});
    return result;
}

put_result instance_table::put_from_copy(instance registered,
                                         base::time_point now) {
    const auto gone = gone_.find(registered.id_);
    const bool was_removed =
        gone != gone_.end() && now - gone->second.removed_at_ < gone_memory &&
        registered.started_at_ms_ <= gone->second.started_at_ms_;
    if (!was_removed) {
        return put(std::move(registered));
    }
    auto id = registered.id_;
    records_.insert_or_assign(
        std::move(id),
        record{std::move(registered), false, now + dead_entry_lifetime});
    return put_result::gone_already;
}

void instance_table::remember_gone(const instance& removed,
                                   base::time_point now) {
    if (gone_.size() >= max_gone && !gone_.contains(removed.id_)) {
        gone_.erase(std::ranges::min_element(gone_, {}, [](const auto& entry) {
            return entry.second.removed_at_;
        }));
    }
    gone_[removed.id_] = {removed.started_at_ms_, now};
}

void instance_table::remove(const base::upstream_name& id,
                            base::time_point now) {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return;
    }
    // A draining instance has announced that it leaves and does not register
    // again.
    if (now >= lapsed_kept_until_ || leaves(found->second.instance_)) {
        remember_gone(found->second.instance_, now);
        // Without a start time, the next registration is one of a new run.
        if (found->second.instance_.started_at_ms_ == 0) {
            leaving_.erase(id);
        }
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
    return !leaves(entry.instance_) && !expired && now >= entry.unused_until_;
}

bool instance_table::note_leaving(const leaving_run& heard) {
    const auto registered = records_.find(heard.instance_);
    const bool of_earlier_run =
        registered != records_.end() &&
        heard.started_at_ms_ < registered->second.instance_.started_at_ms_;
    const auto known = leaving_.find(heard.instance_);
    if (known != leaving_.end()) {
        if (of_earlier_run ||
            heard.started_at_ms_ <= known->second.started_at_ms_) {
            return false;
        }
        known->second = heard;
        return true;
    }
    if (of_earlier_run || leaving_.size() >= max_leaving) {
        return false;
    }
    leaving_.emplace(heard.instance_, heard);
    return true;
}

bool instance_table::leaves(const instance& registered) const {
    const auto said = leaving_.find(registered.id_);
    return registered.draining_ ||
           (said != leaving_.end() &&
            said->second.started_at_ms_ >= registered.started_at_ms_);
}

bool instance_table::leaves(const base::upstream_name& id) const {
    const auto registered = records_.find(id);
    return registered != records_.end() && leaves(registered->second.instance_);
}

std::vector<leaving_run> instance_table::leaving() const {
    std::vector<leaving_run> found;
    std::ranges::copy_if(leaving_ | std::views::values,
                         std::back_inserter(found),
                         [this](const leaving_run& each) {
                             return records_.contains(each.instance_);
                         });
    return found;
}

void instance_table::forget_leaving(base::time_point now) {
    std::erase_if(leaving_, [&](const auto& entry) {
        const auto registered = records_.find(entry.first);
        return registered == records_.end()
                   ? now - entry.second.heard_at_ >= gone_memory
                   : !leaves(registered->second.instance_);
    });
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
    forget_leaving(now);
    bool changed = false;
    for (auto& [id, entry] : records_) {
        const bool held_back = entry.unused_until_ != base::time_point::min();
        if (held_back && now >= entry.unused_until_) {
            entry.unused_until_ = base::time_point::min();
            changed = true;
        }
    }
    const auto erased = std::erase_if(records_, [&](const auto& each) {
        const bool expired = each.second.lapsed_ && now >= lapsed_kept_until_;
        if (expired) {
            remember_gone(each.second.instance_, now);
        }
        return expired;
    });
    return changed || erased > 0;
}

} // namespace pimentoferry::routing
