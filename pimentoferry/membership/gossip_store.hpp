/// Gossip other than of members: shard owners, headroom, crash marks and
/// leaving upstreams.
#ifndef PIMENTOFERRY_MEMBERSHIP_GOSSIP_STORE_HPP
#define PIMENTOFERRY_MEMBERSHIP_GOSSIP_STORE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace pimentoferry::membership {

inline constexpr std::size_t crash_mark_limit = 4096;
/// A leaving upstream that nobody mentions again is forgotten, because a
/// later upstream may have its name.
inline constexpr base::milliseconds leaving_memory{600000};

class gossip_store {
public:
    /// Each returns whether it was news, that is, to be passed on.
    bool learn(const shard_owner& told);
    bool learn(const cell_headroom& told);
    bool learn(const crash_mark& told, base::time_point now);
    bool learn(const leaving_upstream& told, base::time_point now);

    const std::map<std::uint32_t, shard_owner>& shard_owners() const {
        return shards_;
    }
    const std::map<base::cell_name, cell_headroom>& headroom() const {
        return cells_;
    }
    /// Whether gossip said that the upstream is leaving.
    bool is_leaving(const base::upstream_name& upstream) const {
        return leaving_.contains(upstream);
    }

    /// Forgets crash marks and leaving upstreams that expired.
    void forget_expired(base::time_point now);

private:
    struct mark {
        std::uint8_t crashes_{0};
        base::time_point until_;
    };
    struct leaving {
        base::endpoint address_;
        base::time_point told_;
    };

    std::map<std::uint32_t, shard_owner> shards_;
    std::map<base::cell_name, cell_headroom> cells_;
    std::map<std::uint64_t, mark> marks_;
    std::map<base::upstream_name, leaving> leaving_;
};

} // namespace pimentoferry::membership

#endif
