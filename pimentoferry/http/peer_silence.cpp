#include "pimentoferry/http/peer_silence.hpp"

#include <algorithm>

namespace pimentoferry::http::internal {

namespace {

// A single repetition, or the answer to it, may be lost on the way.
constexpr std::uint32_t min_unanswered = 2;
// The kernel reports the age of an acknowledgement in ticks of some ms.
constexpr base::milliseconds age_precision{20};

} // namespace

bool peer_silence::observe(const transmission_state& state,
                           base::time_point now) {
    const auto acknowledged_at = now - state.since_acknowledgement_;
    if (!acknowledged_at_ ||
        acknowledged_at > *acknowledged_at_ + age_precision) {
        acknowledged_at_ = acknowledged_at;
        answered_retransmissions_ = state.retransmissions_;
    }
    if (!state.awaits_acknowledgement_) {
        awaited_since_.reset();
        return false;
    }
    awaited_since_ = awaited_since_.value_or(now);
    const auto unanswered = state.unanswered_probes_ + state.retransmissions_ -
                            answered_retransmissions_;
    return unanswered >= min_unanswered &&
           now - std::max(*awaited_since_, *acknowledged_at_) >= limit;
}

} // namespace pimentoferry::http::internal
