/// A copy of a part of the store, held by an instance.
///
/// The copy follows the store by a complete listing and then by watches. It
/// can also follow the copy of a peer, which helps an instance that the store
/// does not serve: all copies are ordered by the revision of the store up to
/// which they are complete, so the later of two copies is always the better.
///
///     mirror copy;
///     copy.replace(items, at);        // a complete listing
///     copy.apply(changed);            // what a watch returned
///     auto delta = copy.since(peer);  // for a peer that is behind
///     other.merge(delta);
///
/// Every function that takes changes in returns what became different, in the
/// order of the keys.
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

/// An item is new or has another value.
struct item_written {
    item item_;
};

struct item_removed {
    std::string key_;
};

using mirror_change = std::variant<item_written, item_removed>;

/// What happened after revision `from_` up to `to_`. With `from_` 0 the items
/// are all there are.
struct mirror_delta {
    revision from_{0};
    revision to_{0};
    std::vector<item> written_;
    std::vector<key_revision> removed_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.from_, self.to_, self.written_, self.removed_);
    }
};

class mirror {
public:
    /// Takes a complete listing; `at` is the revision of its first page.
    std::vector<mirror_change> replace(const std::vector<item>& items,
                                       revision at);

    std::vector<mirror_change> apply(const changed& seen);

    /// Takes what a peer knows. Nothing changes when the delta begins after
    /// this copy ends, or ends before it.
    std::vector<mirror_change> merge(const mirror_delta& delta);

    /// What a peer lacks whose copy is complete up to `peer`.
    mirror_delta since(revision peer) const;

    /// The revision up to which this copy is complete; 0 before the first
    /// listing.
    revision at() const { return at_; }

    const std::map<std::string, item>& items() const { return items_; }

private:
    void write(const item& seen, std::vector<mirror_change>& out);
    void remove(const std::string& key,
                revision at,
                std::vector<mirror_change>& out);
    void remember_removal(const std::string& key, revision at);

    std::map<std::string, item> items_;
    /// Removals that peers may not have seen.
    std::map<std::string, revision> removed_;
    /// Removals up to this revision are no longer remembered.
    revision removals_from_{0};
    revision at_{0};
};

} // namespace pimentoferry::store

#endif
