/// Latest gossip items other than member records: shard owners, cell headroom,
/// crash marks and leaving upstreams.
#ifndef PIMENTOFERRY_MEMBERSHIP_GOSSIP_STORE_HPP
#define PIMENTOFERRY_MEMBERSHIP_GOSSIP_STORE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <map>

namespace pimentoferry::membership {

/// Maximum number of stored crash marks; further ones are ignored.
inline constexpr std::size_t crash_mark_limit = 4096;
/// A leaving upstream is removed this long after the last item about it,
/// because a later upstream may have the same name.
inline constexpr base::milliseconds leaving_upstream_retention{600000};

class gossip_store {
public:
    /// Each returns whether the item changed the store and is to be passed on.
    bool merge(const shard_owner& received);
    bool merge(const cell_headroom& received);
    bool merge(const crash_mark& received, base::time_point now);
    bool merge(const leaving_upstream& received, base::time_point now);

    const std::map<std::uint32_t, shard_owner>& shard_owners() const {
        return shards_;
    }
    const std::map<base::cell_name, cell_headroom>& headroom() const {
        return cells_;
    }
    /// Whether the upstream is leaving according to gossip.
    bool is_leaving(const base::upstream_name& upstream) const {
        return leaving_.contains(upstream);
    }

    /// Removes expired crash marks and leaving upstreams.
    void remove_expired(base::time_point now);

private:
    struct mark {
        std::uint8_t crashes_{0};
        base::time_point until_;
    };
    struct leaving {
        base::endpoint address_;
        base::time_point last_received_;
    };

    std::map<std::uint32_t, shard_owner> shards_;
    std::map<base::cell_name, cell_headroom> cells_;
    std::map<std::uint64_t, mark> marks_;
    std::map<base::upstream_name, leaving> leaving_;
};

} // namespace pimentoferry::membership

#endif
