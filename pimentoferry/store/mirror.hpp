/// Local replica of a part of the store's data, kept by an instance.
///
/// The replica is filled from a complete listing and then updated by watches.
/// It can also be updated from the replica of a peer, for an instance that the
/// store does not serve. Replicas are ordered by the position of the store up
/// to which they are complete: of two replicas, the one of the later era is
/// more recent, and in one era the one with the higher revision.
///
/// After the store has come back from an older copy, the replica becomes that
/// copy, with whatever the copy has lost. What has to outlast it is kept by the
/// owners of the data, such as `gateway::registry`.
///
///     mirror replica;
///     replica.replace(items, at, era);             // a complete listing
///     replica.apply(changed);                      // the result of a watch
///     auto delta = replica.since(peer.current()); // for a peer that is behind
///     peer.merge(delta);
///
/// `replace`, `apply` and `merge` return the keys whose value changed or that
/// were removed. Writes and the removals of a watch are in the order of the
/// argument; removals that follow from a listing are in the order of the keys.
#ifndef PIMENTOFERRY_STORE_MIRROR_HPP
#define PIMENTOFERRY_STORE_MIRROR_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::store {

/// The item is new or its value changed.
struct item_written {
    item item_;
};

struct item_removed {
    std::string key_;
};

using mirror_change = std::variant<item_written, item_removed>;

/// Changes after revision `from_` up to and including `to_`. If `from_` is 0,
/// `written_` is the complete set of items.
struct mirror_delta {
    revision from_{0};
    revision to_{0};
    std::vector<item> written_;
    std::vector<key_revision> removed_;
    era era_{0};

    /// The position of a replica that has this delta.
    position end() const { return {era_, to_}; }

    /// Size of the keys and values, which is about that of the message.
    std::size_t bytes() const;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.from_, self.to_, self.written_, self.removed_,
                        self.era_);
    }
};

class mirror {
public:
    /// Replaces the contents by a complete listing, except for items that are
    /// newer here. `at` is the store revision of the listing's first page. A
    /// listing of an earlier era is ignored; one of a later era replaces
    /// everything.
    std::vector<mirror_change>
    replace(const std::vector<item>& items, revision at, era of = 0);

    /// The revisions known here turned out to be those of another era: the next
    /// listing in `actual` replaces all items.
    void forget_revisions(era actual);

    /// Applies the changes that a watch returned.
    std::vector<mirror_change> apply(const changed& changes);

    /// Applies the delta of a peer. A delta is ignored if it starts after this
    /// replica's revision, because changes in between would be missed, or if it
    /// ends at or before it. One of another era is ignored unless it is
    /// complete and the era later.
    std::vector<mirror_change> merge(const mirror_delta& delta);

    /// Returns the delta for a peer whose replica is complete up to `of_peer`.
    /// Empty for a peer in a later era.
    mirror_delta since(position of_peer) const;

    /// Returns the store revision up to which this replica is complete; 0
    /// before the first listing.
    revision at() const { return at_; }

    position current() const { return {era_, at_}; }

    const std::map<std::string, item>& items() const { return items_; }

private:
    std::vector<mirror_change> restore(const std::vector<item>& items,
                                       position copy);
    void write(const item& update, std::vector<mirror_change>& changes);
    void remove(const std::string& key,
                revision at,
                std::vector<mirror_change>& changes);
    void record_removal(const std::string& key, revision at);

    std::map<std::string, item> items_;
    /// Removed keys with the revisions of their removals, for deltas to peers.
    std::map<std::string, revision> removed_;
    /// Removals up to this revision may be missing from `removed_`.
    revision removals_complete_after_{0};
    era era_{0};
    revision at_{0};
};

} // namespace pimentoferry::store

#endif
