/// How many gateways may be using a rate that the fleet shares.
///
/// A gateway that is not live any more may have ended, or may be running where
/// it cannot be reached. It counts as running for some time.
#ifndef PIMENTOFERRY_RATES_FLEET_SIZE_HPP
#define PIMENTOFERRY_RATES_FLEET_SIZE_HPP

#include "pimentoferry/base/time.hpp"

#include <cstdint>

namespace pimentoferry::rates {

class fleet_size {
public:
    /// Records the number of live gateways, this one included.
    void update(std::uint32_t live, base::time_point now);

    std::uint32_t live() const { return live_; }

    /// The largest number of live gateways in recent time.
    std::uint32_t largest() const { return largest_; }

    /// The part of a rate that an owner may use for the gateways that it
    /// reaches; the others may be using the rest.
    double reachable_part() const;

private:
    std::uint32_t live_{1};
    std::uint32_t largest_{1};
    base::time_point largest_at_;
};

} // namespace pimentoferry::rates

#endif
