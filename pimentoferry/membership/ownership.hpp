/// Which live entry owns what, computed alike by every entry from the same
/// view.
///
///     auto owners = membership::assign_cells(cells, live_members);
///     auto owner = owners.at(cell);
///
/// All functions leave out entries that are draining.
#ifndef PIMENTOFERRY_MEMBERSHIP_OWNERSHIP_HPP
#define PIMENTOFERRY_MEMBERSHIP_OWNERSHIP_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace pimentoferry::membership {

/// A cell and the region that its engines are in.
struct cell_location {
    base::cell_name cell_;
    std::string region_;
};

/// Owner of each cell: cells are taken in name order, and each goes to the
/// entry of its region with the highest rendezvous score; an entry that owns
/// a cell is skipped while another entry of the region owns none. A region
/// without entries has no owners.
std::map<base::cell_name, base::instance_id>
assign_cells(std::vector<cell_location> cells, const std::vector<member>& live);

/// Entries of the cell's region to ask, in order: the assigned owner, then
/// the others by falling rendezvous score.
std::vector<base::instance_id>
cell_candidates(const cell_location& place,
                const std::vector<cell_location>& cells,
                const std::vector<member>& live);

/// All entries by falling rendezvous score for the shard; the first one takes
/// over a shard without a live owner.
std::vector<base::instance_id>
shard_candidates(std::uint32_t shard, const std::vector<member>& live);

/// An address for callers; 1 to 100, in proportion to the free capacity.
struct weighted_address {
    base::endpoint address_;
    base::instance_id instance_;
    std::uint32_t weight_{0};
};

/// Callers may keep the list for this long.
inline constexpr base::milliseconds address_list_keep{2000};

/// The fleet's common capacity is taken as twice the mean load, and at least
/// 8 requests, so that entries with a mean load get half of the weight.
std::vector<weighted_address> address_list(const std::vector<member>& live);

} // namespace pimentoferry::membership

#endif
