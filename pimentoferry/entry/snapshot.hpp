/// The state in force as the traffic threads see it.
///
/// The control thread builds a new snapshot at each change and posts it to
/// every traffic thread; a snapshot never changes.
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

/// The tickets' state with the indexes that routing needs.
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

/// An address that callers may use, with its share of new callers.
struct entry_address {
    base::endpoint address_;
    std::uint32_t weight_{1};

    friend bool operator==(const entry_address&,
                           const entry_address&) = default;
};

struct snapshot {
    std::shared_ptr<const routing_table> routing_;
    std::vector<entry_address> entries_; ///< Live, not draining.
    /// New work is refused with it; nothing: the entry serves.
    std::optional<base::refusal> closed_;
    /// Free places of each cell, by the gossip of their owners.
    std::map<base::cell_name, std::uint32_t> headroom_;
    /// Leaving by the platform's list or by gossip; tickets are in the table.
    std::set<base::upstream_name> leaving_;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Lower-case hexadecimal SHA-256.
std::string sha256_hex(std::string_view text);

/// The caller with that `Authorization` value, if it is known.
std::optional<base::caller_name> find_caller(const routing_table& routing,
                                             std::string_view authorization);

/// A deployment as one caller gets it.
struct resolved_deployment {
    const config::deployment* deployment_{nullptr};
    config::model_target target_;
};

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

/// A cell of the deployment, by power of two choices on the headroom. `seed`
/// varies between requests. Without engines it is the deployment's name.
base::cell_name choose_cell(const snapshot& state,
                            const base::deployment_name& deployment,
                            std::uint64_t seed);

} // namespace pimentoferry::entry

#endif
