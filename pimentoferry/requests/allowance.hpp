/// Paces the requests to instances that announced a limit.
///
/// A limit is a number of requests a second that all gateways together may
/// send to an instance. The holder of an allowance counts for all of them, or
/// for its share: what is not used accumulates for a quarter of a second, and
/// at least up to one request.
///
///     allowance_table allowances;
///     allowances.set(instance, 14.0, 0, now);
///     if (allowances.available(instance, now)) {
///         allowances.take(instance, now);   // and send
///     }
///
/// An instance without an entry is not limited. The caller passes the current
/// time, which must never decrease.
#ifndef PIMENTOFERRY_REQUESTS_ALLOWANCE_HPP
#define PIMENTOFERRY_REQUESTS_ALLOWANCE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace pimentoferry::requests {

/// The part of an announced limit that a gateway may use. The owner counts for
/// all gateways that it reaches; those that it does not reach may be using the
/// rest. A gateway that is not the owner sends on its own account only while
/// the owner does not answer, and uses half of an equal share then, so that all
/// together stay within one and a half times the limit. `largest_fleet`: the
/// largest number of live gateways in recent time.
double limit_share(bool owns,
                   std::uint32_t live_gateways,
                   std::uint32_t largest_fleet);

class allowance_table {
public:
    /// Sets the rate in requests a second. `initial` is the number of requests
    /// that a new entry allows at once; an existing entry keeps its number, up
    /// to what the new rate accumulates.
    void set(const base::upstream_name& instance,
             double per_second,
             double initial,
             base::time_point now);

    void erase(const base::upstream_name& instance) {
        entries_.erase(instance);
    }

    void
    retain(const std::function<bool(const base::upstream_name&)>& is_limited);

    bool limited(const base::upstream_name& instance) const {
        return entries_.contains(instance);
    }

    /// Whether a request may be sent now.
    bool available(const base::upstream_name& instance,
                   base::time_point now) const {
        return expected(instance, now, now) >= 1;
    }

    /// Counts a request that is sent now. No effect without a limit.
    void take(const base::upstream_name& instance, base::time_point now);

    /// Requests that may be sent until `until` if none is sent in the meantime;
    /// infinite without a limit.
    double expected(const base::upstream_name& instance,
                    base::time_point until,
                    base::time_point now) const;

    /// Requests a second; unset without a limit.
    std::optional<double> rate(const base::upstream_name& instance) const;

    /// When a request was last counted, or the entry was created.
    std::optional<base::time_point>
    last_taken(const base::upstream_name& instance) const;

private:
    struct entry {
        double per_second_{0};
        double requests_{0}; ///< That may be sent at `updated_`.
        base::time_point updated_;
        base::time_point last_taken_;
    };

    static double accrued(const entry& of, base::time_point now);

    std::map<base::upstream_name, entry> entries_;
};

} // namespace pimentoferry::requests

#endif
