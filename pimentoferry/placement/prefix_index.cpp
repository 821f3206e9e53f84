#include "pimentoferry/placement/prefix_index.hpp"

#include <algorithm>

namespace pimentoferry::placement {

prefix_index::prefix_index(std::size_t limit) : limit_{limit} {}

void prefix_index::apply(std::span<const cache_change> changes) {
    for (const cache_change& change : changes) {
        if (change.sequence_ <= last_sequence_) {
            continue;
        }
        const bool gap =
            last_sequence_ != 0 && change.sequence_ != last_sequence_ + 1;
        if (gap) {
            prefixes_.clear();
            order_.clear();
        }
        last_sequence_ = change.sequence_;
        if (change.added_) {
            add(change.prefix_);
        } else {
            prefixes_.erase(change.prefix_);
        }
    }
}

void prefix_index::add_granted(std::span<const std::uint64_t> prefixes) {
    std::ranges::for_each(prefixes, [this](std::uint64_t p) { add(p); });
}

std::uint32_t
prefix_index::cached_blocks(std::span<const std::uint64_t> prefixes) const {
    const auto first_miss = std::ranges::find_if(
        prefixes, [this](std::uint64_t p) { return !prefixes_.contains(p); });
    return static_cast<std::uint32_t>(first_miss - prefixes.begin());
}

void prefix_index::clear() {
    prefixes_.clear();
    order_.clear();
    last_sequence_ = 0;
}

void prefix_index::add(std::uint64_t prefix) {
    if (limit_ == 0 || !prefixes_.insert(prefix).second) {
        return;
    }
    order_.push_back(prefix);
    while (order_.size() > limit_) {
        prefixes_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace pimentoferry::placement
