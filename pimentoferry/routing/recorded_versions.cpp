#include "pimentoferry/routing/recorded_versions.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::routing {

recorded_versions::version_sets
recorded_versions::sets_of(const versions_in_use& versions) {
    version_sets sets;
    std::ranges::for_each(versions.services_,
                          [&sets](const service_versions& each) {
                              sets[each.service_].insert(each.versions_.begin(),
                                                         each.versions_.end());
                          });
    return sets;
}

versions_in_use recorded_versions::list_of(const version_sets& sets) {
    versions_in_use list;
    std::ranges::transform(
        sets, std::back_inserter(list.services_), [](const auto& each) {
            return service_versions{each.first,
                                    {each.second.begin(), each.second.end()}};
        });
    return list;
}

bool recorded_versions::take(const versions_in_use& record,
                             record_position position) {
    if (position < position_) {
        return false;
    }
    recorded_ = sets_of(record);
    position_ = position;
    return true;
}

void recorded_versions::clear(std::uint64_t era) {
    recorded_.clear();
    position_ = {era, 0};
}

bool recorded_versions::contains(const base::service_name& service,
                                 const base::software_version& version) const {
    const auto found = recorded_.find(service);
    return found != recorded_.end() && found->second.contains(version);
}

std::vector<base::software_version>
recorded_versions::versions_of(const base::service_name& service) const {
    const auto found = recorded_.find(service);
    return found == recorded_.end()
               ? std::vector<base::software_version>{}
               : std::vector<base::software_version>{found->second.begin(),
                                                     found->second.end()};
}

std::optional<versions_in_use>
recorded_versions::update_for(const versions_in_use& known,
                              const versions_in_use& in_use,
                              bool may_remove) const {
    const bool complete = std::ranges::all_of(
        in_use.services_, [this](const service_versions& each) {
            return std::ranges::all_of(
                each.versions_, [&](const auto& version) {
                    return contains(each.service_, version);
                });
        });
    auto wanted = sets_of(known);
    if (may_remove && !wanted.empty()) {
        return wanted == recorded_ ? std::nullopt
                                   : std::optional{list_of(wanted)};
    }
    if (complete) {
        return std::nullopt;
    }
    std::ranges::for_each(recorded_, [&wanted](const auto& each) {
        wanted[each.first].insert(each.second.begin(), each.second.end());
    });
    return list_of(wanted);
}

} // namespace pimentoferry::routing
