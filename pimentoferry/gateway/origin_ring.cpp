#include "pimentoferry/gateway/origin_ring.hpp"

#include "pimentoferry/log/log.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <algorithm>
#include <functional>
#include <numeric>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::gateway {

namespace {

std::string slot_key(int slot) {
    return std::string{origin_ring::prefix} + std::to_string(slot);
}

store::revision revision_of(const store::mirror& replica,
                            const std::string& key) {
    const auto found = replica.items().find(key);
    return found == replica.items().end() ? 0 : found->second.revision_;
}

/// The slot that was written first, or not yet, after `skipped` others.
std::string oldest_slot(const store::mirror& replica, std::size_t skipped) {
    std::vector<std::pair<store::revision, int>> slots;
    std::ranges::transform(
        std::views::iota(0, origin_ring::size), std::back_inserter(slots),
        [&replica](int slot) {
            return std::pair{revision_of(replica, slot_key(slot)), slot};
        });
    const auto found = slots.begin() + static_cast<std::ptrdiff_t>(
                                           std::min(skipped, slots.size() - 1));
    std::ranges::nth_element(slots, found);
    return slot_key(found->second);
}

} // namespace

void origin_ring::write(const began_streams& message,
                        std::size_t rank,
                        const store::mirror& replica) {
    writing_ = true;
    auto key = oldest_slot(replica, rank);
    const auto streams = std::transform_reduce(
        message.groups_.begin(), message.groups_.end(), std::size_t{0},
        std::plus{}, [](const auto& group) { return group.streams_.size(); });
    log::log_info("stream_origins_written",
                  {{"service", message.service_.value_},
                   {"streams", std::to_string(streams)},
                   {"rank", std::to_string(rank)},
                   {"key", key}});
    const auto expected = revision_of(replica, key);
    store_.submit(
        {store::token{1}, store::put{std::move(key), wire::encode(message),
                                     expected, store::lease_id{}}},
        [this](const store::result& result) {
            writing_ = false;
            const bool done =
                std::holds_alternative<store::written>(result.outcome_);
            counters_.count_store_call("stream_origins",
                                       done ? "ok" : "unavailable");
        });
}

} // namespace pimentoferry::gateway
