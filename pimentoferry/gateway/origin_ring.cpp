#include "pimentoferry/gateway/origin_ring.hpp"

#include "pimentoferry/log/log.hpp"
#include "pimentoferry/wire/codec.hpp"

#include <functional>
#include <numeric>
#include <string>
#include <utility>

namespace pimentoferry::gateway {

namespace {

// Writers with different views of the members may write at the same time.
constexpr std::size_t slots_of_writers = 8;

std::string slot_key(std::size_t slot) {
    return std::string{origin_ring::prefix} + std::to_string(slot);
}

store::revision revision_of(const store::mirror& replica,
                            const std::string& key) {
    const auto found = replica.items().find(key);
    return found == replica.items().end() ? 0 : found->second.revision_;
}

} // namespace

void origin_ring::write(const began_streams& message,
                        std::size_t rank,
                        const store::mirror& replica,
                        done_handler on_done) {
    writing_ = true;
    const auto slot = slots_.oldest(
        writer_ % slots_of_writers, [&replica](std::size_t number) {
            return revision_of(replica, slot_key(number));
        });
    auto key = slot_key(slot.number_);
    const auto streams = std::transform_reduce(
        message.groups_.begin(), message.groups_.end(), std::size_t{0},
        std::plus{}, [](const auto& group) { return group.streams_.size(); });
    log::log_info("stream_origins_written",
                  {{"service", message.service_.value_},
                   {"streams", std::to_string(streams)},
                   {"rank", std::to_string(rank)},
                   {"key", key}});
    store_.submit(
        {store::token{1}, store::put{std::move(key), wire::encode(message),
                                     slot.revision_, store::lease_id{}}},
        [this, number = slot.number_,
         on_done = std::move(on_done)](const store::result& result) {
            writing_ = false;
            const auto* done = std::get_if<store::written>(&result.outcome_);
            const auto* taken = std::get_if<store::conflict>(&result.outcome_);
            auto outcome = write_result::not_written;
            std::string_view counted = "unavailable";
            if (done != nullptr) {
                slots_.learned(number, done->revision_);
                outcome = write_result::written;
                counted = "ok";
            } else if (taken != nullptr) {
                slots_.learned(number, taken->current_);
                outcome = write_result::slot_taken;
                counted = "conflict";
            }
            counters_.count_store_call("stream_origins", counted);
            on_done(outcome);
        });
}

} // namespace pimentoferry::gateway
