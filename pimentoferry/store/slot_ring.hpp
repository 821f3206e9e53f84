/// Chooses the key of a ring of keys that is written next: the one that was
/// written first.
///
/// A replica shows a write only some time after the store has acknowledged it.
/// The ring therefore remembers what its own writes have shown; otherwise the
/// next write would replace the last one, or fail, since it expects an older
/// revision.
///
///     const auto slot = ring.oldest(skipped, copied);
///     ring.learned(slot.number_, revision); // after a write or a conflict
///
/// Writers that skip different numbers of slots rarely collide.
#ifndef PIMENTOFERRY_STORE_SLOT_RING_HPP
#define PIMENTOFERRY_STORE_SLOT_RING_HPP

#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <functional>
#include <map>

namespace pimentoferry::store {

struct ring_slot {
    std::size_t number_{0};
    revision revision_{0}; ///< 0: not written yet.
};

class slot_ring {
public:
    explicit slot_ring(std::size_t size) : size_(size) {}

    /// `copied`: the revision of a slot in the replica; 0 if it has none.
    /// `skipped` must be below the size.
    ring_slot oldest(std::size_t skipped,
                     const std::function<revision(std::size_t)>& copied) const;

    /// The store has the slot at this revision.
    void learned(std::size_t slot, revision at);

    /// The store has come back from an older copy.
    void forget() { learned_.clear(); }

private:
    std::size_t size_;
    std::map<std::size_t, revision> learned_;
};

} // namespace pimentoferry::store

#endif
