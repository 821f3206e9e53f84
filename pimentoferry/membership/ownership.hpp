/// Assignment of cells and shards to live entries, and their address weights.
/// Entries with the same view compute the same assignment.
///
///     auto owners = membership::assign_cells(cells, live_members);
///     auto owner = owners.at(cell);
///
/// All functions exclude entries that are draining. The owner of a cell handles
/// several messages for each of its requests, so cells are assigned to the
/// strongest entries only, see `strongest`.
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

/// Returns the entries that are not draining and whose processor share and
/// bandwidth are at least half of those of the strongest one: with each
/// resource relative to the largest in the fleet, the scarcer one counts. All
/// entries if none states its resources.
std::vector<member> strongest(const std::vector<member>& live);

/// A cell and the region of its engines.
struct cell_location {
    base::cell_name cell_;
    std::string region_;
};

/// Returns the owner of each cell. Cells are assigned in the order of their
/// names, each to the entry of its region with the highest rendezvous score; an
/// entry that owns a cell is skipped while another entry of the region owns
/// none. The cells of a region without entries have no owner.
std::map<base::cell_name, base::instance_id>
assign_cells(std::vector<cell_location> cells, const std::vector<member>& live);

/// Returns the strongest entries of the cell's region in the order in which
/// requesters try them: the assigned owner, then the rest by descending
/// rendezvous score.
std::vector<base::instance_id>
cell_candidates(const cell_location& location,
                const std::vector<cell_location>& cells,
                const std::vector<member>& live);

/// Returns all entries by descending rendezvous score for the shard. The first
/// one takes over a shard without a live owner.
std::vector<base::instance_id>
shard_candidates(std::uint32_t shard, const std::vector<member>& live);

/// An address for callers with a weight of 1 to 100, in proportion to the free
/// capacity of the entry.
struct weighted_address {
    base::endpoint address_;
    base::instance_id instance_;
    std::uint32_t weight_{0};
};

/// How long callers may cache the address list.
inline constexpr base::milliseconds address_list_lifetime{2000};

/// Returns the addresses of the entries for callers. The capacity of an entry
/// is estimated as twice the mean load of the fleet and at least 8 requests, so
/// that an entry with the mean load gets half of the maximum weight.
std::vector<weighted_address> address_list(const std::vector<member>& live);

} // namespace pimentoferry::membership

#endif
