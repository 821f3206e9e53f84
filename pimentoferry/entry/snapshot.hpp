/// The snapshot of the state in force that the traffic threads use.
///
/// The control thread builds a new snapshot after a change and posts it to
/// every traffic thread; a snapshot is immutable.
#ifndef PIMENTOFERRY_ENTRY_SNAPSHOT_HPP
#define PIMENTOFERRY_ENTRY_SNAPSHOT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/config/state.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimentoferry::entry {

/// The state that the tickets define, with the indexes that routing needs.
struct routing_table {
    std::uint64_t ticket_number_{0};
    config::state state_;
    /// By the lower-case hexadecimal SHA-256 of the key.
    std::map<std::string, base::caller_name, std::less<>> callers_by_key_;
    std::map<base::service_name, std::vector<base::upstream_name>> replicas_;
    std::map<base::deployment_name, std::vector<base::cell_name>> cells_;
};

std::shared_ptr<const routing_table> make_routing_table(std::uint64_t number,
                                                        config::state state);

/// An address that callers may use. The weight is its relative share of new
/// callers.
struct entry_address {
    base::endpoint address_;
    std::uint32_t weight_{1};

    friend bool operator==(const entry_address&,
                           const entry_address&) = default;
};

struct snapshot {
    std::shared_ptr<const routing_table> routing_;
    std::vector<entry_address> entries_; ///< Live, not draining.
    /// The refusal of new work; nothing while the entry serves.
    std::optional<base::refusal> closed_;
    /// Free decode slots of each cell, from the gossip of its owner.
    std::map<base::cell_name, std::uint32_t> headroom_;
    /// Upstreams that leave according to the platform's list or gossip. What
    /// tickets say about an upstream is in the routing table.
    std::set<base::upstream_name> leaving_;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Lower-case hexadecimal SHA-256.
std::string sha256_hex(std::string_view text);

/// The caller with that value of the `Authorization` field, if there is one.
std::optional<base::caller_name> find_caller(const routing_table& routing,
                                             std::string_view authorization);

/// A deployment with the target that applies to one caller.
struct resolved_deployment {
    const config::deployment* deployment_{nullptr};
    config::model_target target_;
};

/// Refuses if there is no such deployment or if it does not admit the caller.
/// The result points into `routing`.
std::variant<resolved_deployment, base::refusal>
resolve_deployment(const routing_table& routing,
                   const base::deployment_name& name,
                   const base::caller_name& caller);

/// Whether a list of allowed callers admits one; an empty list admits all.
bool admits(const std::vector<base::caller_name>& callers,
            const base::caller_name& caller);

/// The upstream if it exists; null otherwise.
const config::upstream* find_upstream(const snapshot& state,
                                      const base::upstream_name& name);

/// Whether new work may be placed on the upstream.
bool is_serving(const snapshot& state, const config::upstream& upstream);

/// The cell of an engine: the named one, or one for the whole deployment.
base::cell_name cell_of(const config::upstream& engine);

/// Chooses a cell of the deployment by power of two choices on the headroom.
/// `seed` should differ between requests. Without engines, the cell is named
/// after the deployment.
base::cell_name choose_cell(const snapshot& state,
                            const base::deployment_name& deployment,
                            std::uint64_t seed);

} // namespace pimentoferry::entry

#endif
