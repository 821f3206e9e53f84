/// The exclusive permission of one process to send orders to a group of
/// engines.
///
/// A claim is a conditional write of one key in the store; the revision of that
/// write is the fencing number. A claim is valid for a short time after its
/// write was sent, so a process that was paused or partitioned stops sending
/// orders by itself, whatever happens to the key. A process that takes the key
/// over from another one waits until the other's claim has expired and at least
/// `holder_distance` has passed since the other's last possible order, and then
/// claims the key again.
///
/// Revisions are given out again after the store has come back from an older
/// copy, so the fencing number has the era of the store in its upper part. A
/// missing key may be one that the copy lacks, so it is claimed like one that
/// another process holds unless the era is settled, see `known_era`. What was
/// written in one era counts for nothing in the next.
///
///     order_claim claim{"orders/chat", "gateway-1"};
///     submit(claim.acquire(now));  // repeatedly, while orders may be needed
///     submit(claim.handle(result, era, now));
///     if (const auto number = claim.fencing_number(now)) { /* order */ }
///
/// Times must come from a clock that keeps running while the machine sleeps.
///
/// Alternatives considered: a key held by a lease of the store
/// (`fencing_lease`) needs no wait at a takeover, but if the store revokes a
/// lease early, a second holder can start while the first still relies on its
/// last renewal.
#ifndef PIMENTOFERRY_ORDERS_ORDER_CLAIM_HPP
#define PIMENTOFERRY_ORDERS_ORDER_CLAIM_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/orders/known_era.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::orders {

/// How long a claim is valid after its write was sent.
inline constexpr base::milliseconds claim_validity{2000};
/// Minimum time between orders of two different processes.
inline constexpr base::milliseconds holder_distance{3000};
/// How long a process that takes the key over waits: the validity of the
/// other's claim, `holder_distance`, and a margin for orders in flight.
inline constexpr base::milliseconds takeover_wait{
    claim_validity + holder_distance + base::milliseconds{1000}};

class order_claim {
public:
    order_claim(std::string key, std::string holder)
        : key_(std::move(key)), holder_(std::move(holder)) {}

    /// Claims the key, or renews an expired claim. Returns no operation while a
    /// claim is valid or pending, or while waiting after a takeover.
    std::vector<store::operation> acquire(base::time_point now);

    /// Handles the result of a write of this object. `known` is what the
    /// process knew of the store's era before this result.
    std::vector<store::operation> handle(const store::result& result,
                                         const known_era& known,
                                         base::time_point now);

    /// Records that an order is sent at `now`.
    void note_order(base::time_point now) { last_order_ = now; }

    /// Whether this process is the only one that can have a valid claim,
    /// so that its next claim is valid without a wait. A process that may have
    /// to send orders claims in advance, so that the wait after a takeover is
    /// over by then.
    bool exclusive() const { return exclusive_; }

    /// The store has come back from an older copy: ends the claim.
    void forget();

    /// Ends the claim; no order may be sent afterwards. Deletes the key, so
    /// that a successor doesn't have to wait, unless an order was sent
    /// recently.
    std::vector<store::operation> release(base::time_point now);

    /// The fencing number for orders; nullopt while none may be sent.
    std::optional<std::uint64_t> fencing_number(base::time_point now) const;

private:
    std::vector<store::operation> write(base::time_point now);

    std::string key_;
    std::string holder_;
    std::uint64_t next_token_{1};
    std::optional<store::token> pending_;
    base::time_point pending_since_;
    store::revision key_revision_{0}; ///< Last known revision of the key.
    /// This process wrote the key last, and no other process can still have a
    /// valid claim.
    bool exclusive_{false};
    std::optional<store::revision>
        own_revision_;      ///< Revision of the last write of this process.
    store::era own_era_{0}; ///< Era of that write.
    std::optional<base::time_point> wait_until_;
    std::optional<std::uint64_t> number_;
    std::optional<base::time_point> last_order_;
    base::time_point valid_until_;
};

} // namespace pimentoferry::orders

#endif
