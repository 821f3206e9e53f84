#include "pimentoferry/rates/fleet_size.hpp"

#include <algorithm>

namespace pimentoferry::rates {

namespace {

// A gateway that has been unreachable for this long is taken to have ended.
constexpr base::milliseconds unreachable_kept{30'000};

} // namespace

void fleet_size::update(std::uint32_t live, base::time_point now) {
    live_ = std::max(live, 1U);
    if (live_ >= largest_ || now - largest_at_ > unreachable_kept) {
        largest_ = live_;
        largest_at_ = now;
    }
}

double fleet_size::reachable_part() const {
    return static_cast<double>(live_) / largest_;
}

} // namespace pimentoferry::rates
