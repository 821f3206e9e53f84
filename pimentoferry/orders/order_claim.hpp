/// The right of one process at a time to give orders to a group of engines.
///
/// A claim is a conditional write of one key in the store; its revision is the
/// fencing number. A claim is good for a short time after its write began, so
/// a process that was paused or cut off stops giving orders by itself, whatever
/// happens to the key. A process that takes the key over from another one
/// waits until the other's claim cannot be good any more and its last order is
/// long over, and then claims once more.
///
///     order_claim claim{"orders/chat", "gateway-1"};
///     submit(claim.want(now));          // again and again while needed
///     submit(claim.handle(result, now));
///     if (const auto number = claim.fencing_number(now)) { /* order */ }
///
/// Times must come from a clock that also counts while the machine sleeps.
///
/// Alternatives considered: a key held by a lease of the store
/// (`fencing_lease`) needs no wait at a takeover, but a store that revokes
/// leases at once lets a second holder begin while the first still trusts its
/// renewal.
#ifndef PIMENTOFERRY_ORDERS_ORDER_CLAIM_HPP
#define PIMENTOFERRY_ORDERS_ORDER_CLAIM_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::orders {

/// How long a claim is good after its write began.
inline constexpr base::milliseconds claim_validity{2000};
/// Orders of two processes must be at least 3 s apart.
inline constexpr base::milliseconds holder_distance{3000};
/// Wait of a process that takes over: the validity of the other's claim, the
/// distance, and a margin for orders that are on their way.
inline constexpr base::milliseconds takeover_wait{
    claim_validity + holder_distance + base::milliseconds{1000}};

class order_claim {
public:
    order_claim(std::string key, std::string holder)
        : key_(std::move(key)), holder_(std::move(holder)) {}

    /// This process wants to give orders now.
    std::vector<store::operation> want(base::time_point now);

    std::vector<store::operation> handle(const store::result& result,
                                         base::time_point now);

    /// An order is given now.
    void note_order(base::time_point now) { last_order_ = now; }

    /// Whether a claim would be good at once. A process that may have to give
    /// orders claims in advance, so that the wait is over by then.
    bool settled() const { return settled_; }

    /// This process gives no more orders. Removes the key, so that a successor
    /// need not wait, unless an order was given a short time ago.
    std::vector<store::operation> release(base::time_point now);

    /// The number for orders, while they may be given.
    std::optional<std::uint64_t> fencing_number(base::time_point now) const;

private:
    std::vector<store::operation> write(base::time_point now);

    std::string key_;
    std::string holder_;
    std::uint64_t next_token_{1};
    std::optional<store::token> pending_;
    base::time_point pending_since_;
    store::revision known_{0}; ///< Of the key, as far as known.
    /// The key was last written by this process, and nobody else's claim can
    /// still be good.
    bool settled_{false};
    std::optional<store::revision> own_; ///< Revision of the last own write.
    std::optional<base::time_point> wait_until_;
    std::optional<std::uint64_t> number_;
    std::optional<base::time_point> last_order_;
    base::time_point valid_until_;
};

} // namespace pimentoferry::orders

#endif
