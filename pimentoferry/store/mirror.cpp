#include "pimentoferry/store/mirror.hpp"

#include <algorithm>
#include <numeric>
#include <set>
#include <utility>

namespace pimentoferry::store {

namespace {

// A peer that missed more removals than this is sent all items.
constexpr std::size_t max_recorded_removals = 256;

} // namespace

std::size_t mirror_delta::bytes() const {
    const auto keys =
        std::accumulate(removed_.begin(), removed_.end(), std::size_t{0},
                        [](std::size_t sum, const key_revision& each) {
                            return sum + each.key_.size();
                        });
    return std::accumulate(written_.begin(), written_.end(), keys,
                           [](std::size_t sum, const item& each) {
                               return sum + each.key_.size() +
                                      each.value_.size();
                           });
}

void mirror::write(const item& update, std::vector<mirror_change>& changes) {
    const auto found = items_.find(update.key_);
    const bool newer =
        found == items_.end() || found->second.revision_ < update.revision_;
    const auto removal = removed_.find(update.key_);
    const bool removed_later =
        removal != removed_.end() && removal->second > update.revision_;
    if (!newer || removed_later) {
        return;
    }
    const bool differs =
        found == items_.end() || found->second.value_ != update.value_;
    items_.insert_or_assign(update.key_, update);
    removed_.erase(update.key_);
    if (differs) {
        changes.emplace_back(item_written{update});
    }
}

void mirror::remove(const std::string& key,
                    revision at,
                    std::vector<mirror_change>& changes) {
    const auto found = items_.find(key);
    if (found != items_.end() && found->second.revision_ > at) {
        return;
    }
    record_removal(key, at);
    if (found != items_.end()) {
        items_.erase(found);
        changes.emplace_back(item_removed{key});
    }
}

void mirror::record_removal(const std::string& key, revision at) {
    auto& latest = removed_[key];
    latest = std::max(latest, at);
    if (removed_.size() > max_recorded_removals) {
        const auto oldest = std::ranges::min_element(
            removed_, {}, [](const auto& entry) { return entry.second; });
        removals_complete_after_ =
            std::max(removals_complete_after_, oldest->second);
        removed_.erase(oldest);
    }
}

std::vector<mirror_change> mirror::restore(const std::vector<item>& items,
                                           position copy) {
    const auto before = std::exchange(items_, {});
    removed_.clear();
    removals_complete_after_ = copy.at_;
    era_ = copy.era_;
    at_ = copy.at_;
    std::vector<mirror_change> changes;
    for (const auto& each : items) {
        items_.insert_or_assign(each.key_, each);
    }
    for (const auto& [key, old] : before) {
        if (!items_.contains(key)) {
            changes.emplace_back(item_removed{key});
        }
    }
    for (const auto& [key, each] : items_) {
        const auto old = before.find(key);
        if (old == before.end() || old->second.value_ != each.value_) {
            changes.emplace_back(item_written{each});
        }
    }
    return changes;
}

std::vector<mirror_change>
mirror::replace(const std::vector<item>& items, revision at, era of) {
    if (of < era_) {
        return {};
    }
    if (of > era_) {
        return restore(items, {of, at});
    }
    std::vector<mirror_change> changes;
    std::set<std::string> listed_keys;
    for (const auto& each : items) {
        listed_keys.insert(each.key_);
    }
    std::vector<std::string> missing;
    for (const auto& [key, value] : items_) {
        if (!listed_keys.contains(key)) {
            missing.push_back(key);
        }
    }
    std::ranges::for_each(missing,
                          [&](const auto& key) { remove(key, at, changes); });
    std::ranges::for_each(items,
                          [&](const auto& each) { write(each, changes); });
    // Items that were written and removed between the two listings are in
    // neither of them, so the removals up to `at` are incomplete.
    if (at > at_) {
        removals_complete_after_ = at;
    }
    at_ = std::max(at_, at);
    return changes;
}

void mirror::forget_revisions(era actual) {
    for (auto& [key, each] : items_) {
        each.revision_ = 0;
    }
    removed_.clear();
    removals_complete_after_ = 0;
    era_ = actual;
    at_ = 0;
}

std::vector<mirror_change> mirror::apply(const changed& changes) {
    std::vector<mirror_change> applied;
    std::ranges::for_each(changes.written_,
                          [&](const auto& each) { write(each, applied); });
    std::ranges::for_each(changes.removed_, [&](const auto& each) {
        remove(each.key_, each.revision_, applied);
    });
    at_ = std::max(at_, changes.at_);
    return applied;
}

std::vector<mirror_change> mirror::merge(const mirror_delta& delta) {
    const bool same_era = delta.era_ == era_;
    if (delta.end() <= current() || (same_era && delta.from_ > at_) ||
        (!same_era && delta.from_ != 0)) {
        return {};
    }
    if (delta.from_ == 0) {
        return replace(delta.written_, delta.to_, delta.era_);
    }
    return apply({delta.written_, delta.removed_, delta.to_});
}

mirror_delta mirror::since(position of_peer) const {
    if (of_peer.era_ > era_) {
        return {};
    }
    const auto peer_revision = of_peer.at_;
    const bool complete = of_peer.era_ < era_ || peer_revision == 0 ||
                          peer_revision < removals_complete_after_;
    mirror_delta delta{complete ? 0 : peer_revision, at_, {}, {}, era_};
    for (const auto& [key, stored_item] : items_) {
        if (complete || stored_item.revision_ > peer_revision) {
            delta.written_.push_back(stored_item);
        }
    }
    for (const auto& [key, at] : removed_) {
        if (!complete && at > peer_revision) {
            delta.removed_.push_back({key, at});
        }
    }
    return delta;
}

} // namespace pimentoferry::store
