#include "pimentoferry/requests/allowance.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace pimentoferry::requests {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// Time over which unused requests accumulate.
constexpr fractional_seconds accumulation_time{0.25};

double capacity_of(double per_second) {
    return std::max(1.0, per_second * accumulation_time.count());
}

} // namespace

double limit_share(bool owns,
                   std::uint32_t live_gateways,
                   std::uint32_t largest_fleet) {
    constexpr double autonomous_share = 0.5;
    const double fleet = std::max({live_gateways, largest_fleet, 1U});
    return owns ? std::max(live_gateways, 1U) / fleet
                : autonomous_share / fleet;
}

double allowance_table::accrued(const entry& of, base::time_point now) {
    const fractional_seconds passed = now - of.updated_;
    return std::min(of.requests_ + of.per_second_ * passed.count(),
                    capacity_of(of.per_second_));
}

void allowance_table::set(const base::upstream_name& instance,
                          double per_second,
                          double initial,
                          base::time_point now) {
    const auto [found, added] =
        entries_.try_emplace(instance, entry{per_second, initial, now, now});
    auto& existing = found->second;
    if (added || existing.per_second_ == per_second) {
        return;
    }
    existing.requests_ =
        std::min(accrued(existing, now), capacity_of(per_second));
    existing.updated_ = now;
    existing.per_second_ = per_second;
}

void allowance_table::retain(
    const std::function<bool(const base::upstream_name&)>& is_limited) {
    std::erase_if(entries_, [&is_limited](const auto& each) {
        return !is_limited(each.first);
    });
}

void allowance_table::take(const base::upstream_name& instance,
                           base::time_point now) {
    const auto found = entries_.find(instance);
    if (found != entries_.end()) {
        auto& taken = found->second;
        taken.requests_ = accrued(taken, now) - 1;
        taken.updated_ = now;
        taken.last_taken_ = now;
    }
}

double allowance_table::expected(const base::upstream_name& instance,
                                 base::time_point until,
                                 base::time_point now) const {
    const auto found = entries_.find(instance);
    if (found == entries_.end()) {
        return std::numeric_limits<double>::infinity();
    }
    const fractional_seconds ahead = std::max(until, now) - now;
    return accrued(found->second, now) +
           found->second.per_second_ * ahead.count();
}

std::optional<double>
allowance_table::rate(const base::upstream_name& instance) const {
    const auto found = entries_.find(instance);
    return found != entries_.end() ? std::optional{found->second.per_second_}
                                   : std::nullopt;
}

std::optional<base::time_point>
allowance_table::last_taken(const base::upstream_name& instance) const {
    const auto found = entries_.find(instance);
    return found != entries_.end() ? std::optional{found->second.last_taken_}
                                   : std::nullopt;
}

} // namespace pimentoferry::requests
