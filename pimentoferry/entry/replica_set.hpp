/// Load balancing over the replicas of plain services, for one traffic thread.
///
///     const auto choice = replicas.choose(candidates, domain, now);
///     replicas.call_started(choice->name_);
///     ...
///     replicas.call_ended(choice->name_, failed, now);
///
/// Uses the power of two choices on the calls in flight of this thread, and
/// prefers the own failure domain where a replica there is usable. A replica is
/// ejected for a growing time after consecutive failures.
#ifndef PIMENTOFERRY_ENTRY_REPLICA_SET_HPP
#define PIMENTOFERRY_ENTRY_REPLICA_SET_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace pimentoferry::entry {

struct replica {
    base::upstream_name name_;
    base::endpoint address_;
    base::failure_domain failure_domain_;
};

class replica_set {
public:
    explicit replica_set(std::uint64_t seed) : random_(seed) {}

    /// Chooses a replica outside `excluded`; nothing when there is none.
    /// Ejected replicas are used only when no other replica is available.
    std::optional<replica> choose(const std::vector<replica>& candidates,
                                  const std::set<base::upstream_name>& excluded,
                                  const base::failure_domain& own_domain,
                                  base::time_point now);

    void call_started(const base::upstream_name& name);
    void call_ended(const base::upstream_name& name,
                    bool failed,
                    base::time_point now);

    bool is_ejected(const base::upstream_name& name,
                    base::time_point now) const;

private:
    struct record {
        std::uint32_t in_flight_{0};
        std::uint32_t failures_{0}; ///< Consecutive failures.
        base::milliseconds ejection_duration_{0};
        base::time_point ejected_until_;
    };

    const replica& pick_less_loaded(const std::vector<replica>& candidates);

    std::map<base::upstream_name, record> records_;
    std::mt19937_64 random_;
};

} // namespace pimentoferry::entry

#endif
