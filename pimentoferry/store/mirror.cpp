#include "pimentoferry/store/mirror.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::store {

namespace {

// A peer that missed more removals than this is sent the whole copy.
constexpr std::size_t remembered_removals = 256;

} // namespace

void mirror::write(const item& seen, std::vector<mirror_change>& out) {
    const auto found = items_.find(seen.key_);
    const bool newer =
        found == items_.end() || found->second.revision_ < seen.revision_;
    const auto gone = removed_.find(seen.key_);
    const bool removed_later =
        gone != removed_.end() && gone->second > seen.revision_;
    if (!newer || removed_later) {
        return;
    }
    const bool differs =
        found == items_.end() || found->second.value_ != seen.value_;
    items_.insert_or_assign(seen.key_, seen);
    removed_.erase(seen.key_);
    if (differs) {
        out.emplace_back(item_written{seen});
    }
}

void mirror::remove(const std::string& key,
                    revision at,
                    std::vector<mirror_change>& out) {
    const auto found = items_.find(key);
    if (found != items_.end() && found->second.revision_ > at) {
        return;
    }
    remember_removal(key, at);
    if (found != items_.end()) {
        items_.erase(found);
        out.emplace_back(item_removed{key});
    }
}

void mirror::remember_removal(const std::string& key, revision at) {
    auto& known = removed_[key];
    known = std::max(known, at);
    if (removed_.size() > remembered_removals) {
        const auto oldest = std::ranges::min_element(
            removed_, {}, [](const auto& entry) { return entry.second; });
        removals_from_ = std::max(removals_from_, oldest->second);
        removed_.erase(oldest);
    }
}

std::vector<mirror_change> mirror::replace(const std::vector<item>& items,
                                           revision at) {
    std::vector<mirror_change> out;
    std::set<std::string> listed;
    for (const auto& each : items) {
        listed.insert(each.key_);
    }
    std::vector<std::string> missing;
    for (const auto& [key, known] : items_) {
        if (!listed.contains(key)) {
            missing.push_back(key);
        }
    }
    std::ranges::for_each(missing,
                          [&](const auto& key) { remove(key, at, out); });
    std::ranges::for_each(items, [&](const auto& each) { write(each, out); });
    // Items that came and went between the two listings are unknown here.
    if (at > at_) {
        removals_from_ = at;
    }
    at_ = std::max(at_, at);
    return out;
}

std::vector<mirror_change> mirror::apply(const changed& seen) {
    std::vector<mirror_change> out;
    std::ranges::for_each(seen.written_,
                          [&](const auto& each) { write(each, out); });
    std::ranges::for_each(seen.removed_, [&](const auto& each) {
        remove(each.key_, each.revision_, out);
    });
    at_ = std::max(at_, seen.at_);
    return out;
}

std::vector<mirror_change> mirror::merge(const mirror_delta& delta) {
    if (delta.to_ <= at_ || delta.from_ > at_) {
        return {};
    }
    if (delta.from_ == 0) {
        return replace(delta.written_, delta.to_);
    }
    return apply({delta.written_, delta.removed_, delta.to_});
}

mirror_delta mirror::since(revision peer) const {
    const bool whole = peer == 0 || peer < removals_from_;
    mirror_delta delta{whole ? 0 : peer, at_, {}, {}};
    for (const auto& [key, known] : items_) {
        if (whole || known.revision_ > peer) {
            delta.written_.push_back(known);
        }
    }
    for (const auto& [key, at] : removed_) {
        if (!whole && at > peer) {
            delta.removed_.push_back({key, at});
        }
    }
    return delta;
}

} // namespace pimentoferry::store
