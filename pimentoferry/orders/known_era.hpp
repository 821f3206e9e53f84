/// Which era of the store a process knows, and for how long.
///
/// The store may come back from an older copy, which lacks keys that were
/// written since. Each return begins an era, and every answer names its era. A
/// missing key therefore shows that nobody wrote it only if the era has lasted
/// for longer than anybody can still act upon what the store has lost:
///
///     era.seen(answer_era, now);   // for every answer and every listing
///     if (era.is_settled(answer_era, now)) { /* the key was never written */ }
///
/// A process that starts cannot tell how old the era is, and counts from its
/// first answer. News of an earlier era that arrive late only extend the wait.
#ifndef PIMENTOFERRY_ORDERS_KNOWN_ERA_HPP
#define PIMENTOFERRY_ORDERS_KNOWN_ERA_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"

#include <optional>

namespace pimentoferry::orders {

class known_era {
public:
    /// `settling_time`: how long a process may act upon lost data.
    explicit known_era(base::milliseconds settling_time)
        : settling_time_(settling_time) {}

    /// An answer or a listing of the store, or of a peer, was of this era.
    void seen(store::era era, base::time_point now) {
        if (era_ != era) {
            era_ = era;
            since_ = now;
        }
    }

    /// Whether `era` is the known one and has lasted for the settling time.
    bool is_settled(store::era era, base::time_point now) const {
        return era_ == era && now - since_ >= settling_time_;
    }

private:
    base::milliseconds settling_time_;
    std::optional<store::era> era_;
    base::time_point since_;
};

} // namespace pimentoferry::orders

#endif
