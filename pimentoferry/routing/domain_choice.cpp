#include "pimentoferry/routing/domain_choice.hpp"

#include <algorithm>

namespace pimentoferry::routing {

fractional_ms completion_time(const replica_load& load) {
    const double places = std::max(load.places_, 1U);
    const double queued = std::max(load.calls_ + 1.0 - places, 0.0);
    return load.service_time_ * (1 + queued / places);
}

bool leaving_pays(fractional_ms home,
                  fractional_ms away,
                  fractional_ms budget,
                  const domain_price& price) {
    const auto arrives = away + price.delay_;
    const bool only_away_in_time = home > budget && arrives <= budget;
    return only_away_in_time || arrives + price.worth_ < home;
}

std::string_view to_string(leave_reason reason) {
    switch (reason) {
    case leave_reason::stays:
        return "stays";
    case leave_reason::no_replica:
        return "no_replica";
    case leave_reason::full:
        return "full";
    case leave_reason::slower:
        return "slower";
    }
    return "unknown";
}

} // namespace pimentoferry::routing
