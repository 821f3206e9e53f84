#include "pimentoferry/store/slot_ring.hpp"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <vector>

namespace pimentoferry::store {

ring_slot
slot_ring::oldest(std::size_t skipped,
                  const std::function<revision(std::size_t)>& copied) const {
    std::vector<ring_slot> slots;
    std::ranges::transform(std::views::iota(std::size_t{0}, size_),
                           std::back_inserter(slots), [&](std::size_t slot) {
                               const auto known = learned_.find(slot);
                               const auto copy = copied(slot);
                               return ring_slot{
                                   slot, known == learned_.end()
                                             ? copy
                                             : std::max(copy, known->second)};
                           });
    const auto chosen =
        std::next(slots.begin(), static_cast<std::ptrdiff_t>(skipped));
    std::ranges::nth_element(slots, chosen, {}, [](const ring_slot& each) {
        return std::pair{each.revision_, each.number_};
    });
    return *chosen;
}

void slot_ring::learned(std::size_t slot, revision at) {
    learned_.insert_or_assign(slot, at);
}

} // namespace pimentoferry::store
