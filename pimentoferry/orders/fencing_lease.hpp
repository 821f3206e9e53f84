/// The lease under which one entry gives orders to engines.
///
/// The lease is a key in the store that is bound to a store lease. Its
/// fencing number is the revision of the write that acquired it, so a later
/// holder always has a higher one.
///
///     fencing_lease lease{instance};
///     execute(lease.handle(lease_tick{candidate}, now));
///     if (auto number = lease.fencing_number(now)) { /* may give orders */ }
///
/// A holder stops giving orders some time before the store lease can lapse:
/// it counts from the moment at which its last successful renewal began, so
/// that neither a slow answer nor a pause of the process extends its belief.
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

inline constexpr base::milliseconds lease_ttl{10000};
inline constexpr base::milliseconds lease_renewal{3000};
/// No order is given later than this after the last renewal began. The rest
/// of the lease is the margin for a pause between the check and the send.
inline constexpr base::milliseconds lease_margin{6000};
/// A candidate looks at the key of another holder at this interval.
inline constexpr base::milliseconds lease_poll{2000};
/// An operation without an answer is given up after this time.
inline constexpr base::milliseconds lease_operation_timeout{4000};

inline constexpr const char* lease_key = "orders/lease";

class fencing_lease {
public:
    explicit fencing_lease(base::instance_id instance) : instance_{instance} {}

    /// Time passed. `candidate`: this instance should hold the lease when
    /// nobody does.
    std::vector<store::operation> tick(bool candidate, base::time_point now);

    /// An answer of the store to one of this object's operations.
    std::vector<store::operation> handle(const store::result& result,
                                         base::time_point now);

    /// Gives the lease up: no order is given afterwards.
    std::vector<store::operation> release(base::time_point now);

    /// The number for orders, while they may be given.
    std::optional<std::uint64_t> fencing_number(base::time_point now) const;

    /// Whether the token belongs to an operation of this object.
    bool owns(store::token token) const { return token == pending_token_; }

private:
    enum class step : std::uint8_t {
        idle,
        reading,    ///< Who holds the key?
        granting,   ///< A store lease for the key.
        acquiring,  ///< The write of the key.
        confirming, ///< Reads the key back after an acquiring write was lost.
        renewing,
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
    void hold(std::uint64_t number);
    void forget();
    std::string mark() const;

    base::instance_id instance_;
    step step_{step::idle};
    store::token pending_token_;
    std::uint64_t next_token_{1};
    base::time_point pending_since_;
    base::time_point next_poll_;
    store::lease_id lease_;
    /// Makes each try to acquire the key recognisable when it is read back.
    std::uint64_t round_{0};
    /// When the grant of `lease_`, or its last successful renewal, began.
    base::time_point valid_from_;
    std::optional<std::uint64_t> number_;
};

} // namespace pimentoferry::orders

#endif
