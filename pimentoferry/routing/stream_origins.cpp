#include "pimentoferry/routing/stream_origins.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::routing {

namespace {

// Bounds the memory to some MB; a fleet that begins more streams forgets the
// oldest sooner.
constexpr std::size_t max_entries = 100'000;

} // namespace

std::uint64_t stream_hash(const base::service_name& service,
                          const std::string& request) {
    return base::hash_combine(base::hash_bytes(service.value_),
                              base::hash_bytes(request));
}

std::size_t origin_table::position_of(const base::software_version& version) {
    const auto found = std::ranges::find(versions_, version);
    const auto position =
        static_cast<std::size_t>(std::distance(versions_.begin(), found));
    if (found == versions_.end()) {
        versions_.push_back(version);
    }
    return position;
}

bool origin_table::add(std::uint64_t stream,
                       const base::software_version& version,
                       base::time_point now) {
    if (entries_.contains(stream)) {
        return false;
    }
    if (order_.size() >= max_entries) {
        entries_.erase(order_.front().second);
        order_.pop_front();
    }
    entries_.emplace(stream, entry{position_of(version), false});
    order_.emplace_back(now, stream);
    return true;
}

std::optional<base::software_version>
origin_table::find(std::uint64_t stream) const {
    const auto found = entries_.find(stream);
    return found == entries_.end()
               ? std::nullopt
               : std::optional{versions_.at(found->second.version_)};
}

void origin_table::set_recorded(std::uint64_t stream) {
    const auto found = entries_.find(stream);
    if (found != entries_.end()) {
        found->second.recorded_ = true;
    }
}

void origin_table::clear_recorded() {
    std::ranges::for_each(entries_,
                          [](auto& each) { each.second.recorded_ = false; });
}

std::vector<streams_of_version>
origin_table::unrecorded(std::size_t most,
                         base::time_point added_before) const {
    std::map<std::size_t, std::vector<std::uint64_t>> by_version;
    std::size_t count = 0;
    for (const auto& [added, stream] : order_) {
        if (count == most || added >= added_before) {
            break;
        }
        const auto& each = entries_.at(stream);
        if (!each.recorded_) {
            by_version[each.version_].push_back(stream);
            ++count;
        }
    }
    std::vector<streams_of_version> groups;
    std::ranges::transform(
        by_version, std::back_inserter(groups), [this](auto& group) {
            return streams_of_version{versions_.at(group.first),
                                      std::move(group.second)};
        });
    return groups;
}

void origin_table::expire(base::time_point added_before) {
    while (!order_.empty() && order_.front().first < added_before) {
        entries_.erase(order_.front().second);
        order_.pop_front();
    }
}

void retention::update(base::milliseconds wanted, base::time_point now) {
    if (wanted >= time_ || now - wanted_at_ >= time_) {
        time_ = wanted;
        wanted_at_ = now;
    }
}

void version_history::seen(const base::software_version& version,
                           base::time_point now) {
    last_seen_.insert_or_assign(version, now);
}

void version_history::load(const std::vector<base::software_version>& versions,
                           base::time_point now) {
    std::ranges::for_each(versions, [&](const auto& version) {
        // The time of a version that stays in the record is known better here.
        if (!loaded_.contains(version)) {
            last_seen_.insert_or_assign(version, now);
        }
    });
    loaded_ = {versions.begin(), versions.end()};
}

std::vector<base::software_version>
version_history::possible(base::time_point now, base::milliseconds keep) const {
    std::vector<base::software_version> versions;
    for (const auto& [version, seen_at] : last_seen_) {
        if (seen_at + keep > now) {
            versions.push_back(version);
        }
    }
    return versions;
}

std::optional<base::software_version>
version_history::only(const std::vector<base::software_version>& recorded,
                      base::time_point now,
                      base::milliseconds keep) const {
    auto versions = possible(now, keep);
    versions.insert(versions.end(), recorded.begin(), recorded.end());
    const bool single =
        !recorded.empty() &&
        std::ranges::all_of(versions, [&versions](const auto& version) {
            return version == versions.front();
        });
    return single ? std::optional{std::move(versions.front())} : std::nullopt;
}

} // namespace pimentoferry::routing
