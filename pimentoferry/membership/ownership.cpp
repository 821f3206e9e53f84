#include "pimentoferry/membership/ownership.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace pimentoferry::membership {
namespace {

/// Sorts by descending score. Equal scores are ordered by id, so that every
/// entry computes the same order.
std::vector<base::instance_id>
sorted_by_score(const std::string& key, std::vector<base::instance_id> nodes) {
    std::ranges::sort(nodes, std::ranges::greater{}, [&](auto node) {
        return std::pair{base::rendezvous_score(key, node.value_), node.value_};
    });
    return nodes;
}

std::string cell_key(const base::cell_name& cell) {
    return "cell/" + cell.value_;
}

template <class Filter>
std::vector<base::instance_id> not_draining(const std::vector<member>& live,
                                            Filter filter) {
    std::vector<base::instance_id> nodes;
    for (const auto& entry : live) {
        if (!entry.draining_ && filter(entry)) {
            nodes.push_back(entry.instance_);
        }
    }
    return nodes;
}

std::vector<base::instance_id>
strongest_in_region(const std::vector<member>& live,
                    const std::string& region) {
    std::vector<member> in_region;
    std::ranges::copy_if(
        live, std::back_inserter(in_region),
        [&](const member& entry) { return entry.region_ == region; });
    std::vector<base::instance_id> nodes;
    std::ranges::transform(strongest(in_region), std::back_inserter(nodes),
                           &member::instance_);
    return nodes;
}

double share_of(std::uint32_t part, std::uint32_t most) {
    return most > 0 ? static_cast<double>(part) / most : 1;
}

} // namespace

std::vector<member> strongest(const std::vector<member>& live) {
    constexpr double least_share = 0.5;
    std::vector<member> entries;
    std::uint32_t most_millicores = 0;
    std::uint32_t most_mbps = 0;
    for (const auto& entry : live) {
        if (!entry.draining_) {
            entries.push_back(entry);
            most_millicores = std::max(most_millicores, entry.millicores_);
            most_mbps = std::max(most_mbps, entry.link_mbps_);
        }
    }
    const auto strength = [=](const member& entry) {
        return std::min(share_of(entry.millicores_, most_millicores),
                        share_of(entry.link_mbps_, most_mbps));
    };
    double best = 0;
    for (const auto& entry : entries) {
        best = std::max(best, strength(entry));
    }
    std::erase_if(entries, [&](const member& entry) {
        return strength(entry) < best * least_share;
    });
    return entries;
}

std::map<base::cell_name, base::instance_id>
assign_cells(std::vector<cell_location> cells,
             const std::vector<member>& live) {
    std::ranges::sort(
        cells, [](const auto& a, const auto& b) { return a.cell_ < b.cell_; });
    std::map<base::cell_name, base::instance_id> owners;
    std::set<base::instance_id> owning;
    for (const auto& location : cells) {
        const auto ranked =
            sorted_by_score(cell_key(location.cell_),
                            strongest_in_region(live, location.region_));
        if (ranked.empty()) {
            continue;
        }
        const auto free = std::ranges::find_if(
            ranked, [&](auto node) { return !owning.contains(node); });
        const auto owner = free == ranked.end() ? ranked.front() : *free;
        owners.emplace(location.cell_, owner);
        owning.insert(owner);
    }
    return owners;
}

std::vector<base::instance_id>
cell_candidates(const cell_location& location,
                const std::vector<cell_location>& cells,
                const std::vector<member>& live) {
    auto ranked = sorted_by_score(cell_key(location.cell_),
                                  strongest_in_region(live, location.region_));
    const auto owners = assign_cells(cells, live);
    const auto assigned = owners.find(location.cell_);
    if (assigned != owners.end()) {
        const auto at = std::ranges::find(ranked, assigned->second);
        std::rotate(ranked.begin(), at, std::next(at));
    }
    return ranked;
}

std::vector<base::instance_id>
shard_candidates(std::uint32_t shard, const std::vector<member>& live) {
    return sorted_by_score(
        "shard/" + std::to_string(shard),
        not_draining(live, [](const member&) { return true; }));
}

std::vector<weighted_address> address_list(const std::vector<member>& live) {
    constexpr std::uint64_t least_capacity = 8;
    constexpr std::uint64_t most_weight = 100;
    std::uint64_t load = 0;
    std::uint64_t entries = 0;
    for (const auto& entry : live) {
        load += entry.draining_ ? 0 : entry.in_flight_;
        entries += entry.draining_ ? 0 : 1;
    }
    if (entries == 0) {
        return {};
    }
    const auto capacity = std::max(least_capacity, 2 * load / entries);
    std::vector<weighted_address> list;
    for (const auto& entry : live) {
        if (entry.draining_) {
            continue;
        }
        const auto free =
            capacity - std::min<std::uint64_t>(capacity, entry.in_flight_);
        const auto weight =
            std::max<std::uint64_t>(1, most_weight * free / capacity);
        list.push_back({entry.traffic_address_, entry.instance_,
                        static_cast<std::uint32_t>(weight)});
    }
    return list;
}

} // namespace pimentoferry::membership
