/// The lease that permits one entry at a time to send orders to engines.
///
/// The lease is a key in the store that is bound to a store lease. Its
/// fencing number is the revision of the write that acquired it, so a later
/// holder always has a higher number.
///
///     fencing_lease lease{instance};
///     submit(lease.tick(candidate, now));
///     submit(lease.handle(result, now));
///     if (auto number = lease.fencing_number(now)) { /* may send orders */ }
///
/// A holder stops sending orders some time before the store lease can expire.
/// It measures this time from when it sent its last successful renewal, so that
/// neither a slow reply nor a pause of the process extends the time during
/// which it considers itself the holder.
#ifndef PIMENTOFERRY_ORDERS_FENCING_LEASE_HPP
#define PIMENTOFERRY_ORDERS_FENCING_LEASE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::orders {

/// Time to live of the store lease.
inline constexpr base::milliseconds lease_ttl{10000};
/// The holder renews the lease when this much time has passed since it sent the
/// last successful renewal.
inline constexpr base::milliseconds lease_renewal{3000};
/// No order is sent later than this after the last successful renewal was sent.
/// The rest of the lease is the margin for a pause of the process between the
/// check and the send.
inline constexpr base::milliseconds lease_margin{6000};
/// Interval at which a candidate reads the key to see whether it has a holder.
inline constexpr base::milliseconds lease_poll{2000};
/// An operation without a result is abandoned after this time.
inline constexpr base::milliseconds lease_operation_timeout{4000};

inline constexpr const char* lease_key = "orders/lease";

class fencing_lease {
public:
    explicit fencing_lease(base::instance_id instance) : instance_{instance} {}

    /// Advances time: renews or acquires the lease when that is due.
    /// `candidate` says whether this instance should acquire the lease when it
    /// has no holder.
    std::vector<store::operation> tick(bool candidate, base::time_point now);

    /// Handles the result of one of this object's store operations. Ignores the
    /// results of operations that were abandoned.
    std::vector<store::operation> handle(const store::result& result,
                                         base::time_point now);

    /// Releases the lease; `fencing_number` returns nullopt afterwards.
    std::vector<store::operation> release(base::time_point now);

    /// The fencing number for orders; nullopt while none may be sent.
    std::optional<std::uint64_t> fencing_number(base::time_point now) const;

    /// Whether the token belongs to the pending operation of this object.
    bool owns(store::token token) const { return token == pending_token_; }

private:
    enum class step : std::uint8_t {
        idle,
        reading,    ///< Reads the key to find out whether it has a holder.
        granting,   ///< Requests a store lease for the key.
        acquiring,  ///< Writes the key.
        confirming, ///< Reads the key back after the write's result was lost.
        renewing,   ///< Renews the store lease.
    };

    std::vector<store::operation>
    send(step next, store::request request, base::time_point now);
    std::vector<store::operation> on_read(const store::outcome& outcome,
                                          base::time_point now);
    std::vector<store::operation> on_granted(const store::outcome& outcome,
                                             base::time_point now);
    std::vector<store::operation> on_acquired(const store::outcome& outcome,
                                              base::time_point now);
    void on_confirmed(const store::outcome& outcome);
    void on_renewed(const store::outcome& outcome);
    void set_held(std::uint64_t number);
    void drop_lease();
    std::string holder_value() const;

    base::instance_id instance_;
    step step_{step::idle};
    store::token pending_token_;
    std::uint64_t next_token_{1};
    base::time_point pending_since_;
    base::time_point next_poll_;
    store::lease_id lease_;
    /// Part of the key's value; distinguishes the attempts of this instance to
    /// acquire the key when it is read back.
    std::uint64_t attempt_{0};
    /// When the grant of `lease_` or its last successful renewal was sent.
    base::time_point valid_from_;
    std::optional<std::uint64_t> number_;
};

} // namespace pimentoferry::orders

#endif
