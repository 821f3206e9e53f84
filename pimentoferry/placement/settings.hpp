/// Settings of a cell scheduler and its policies.
#ifndef PIMENTOFERRY_PLACEMENT_SETTINGS_HPP
#define PIMENTOFERRY_PLACEMENT_SETTINGS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>

namespace pimentoferry::placement {

/// Reserves a decode slot before the prefill starts (design section 3.1).
struct reserved {
    /// `policy.waste_weight` of the tickets, 0 to 1: the weight of wasted
    /// prefills against goodput. At a higher weight, the scheduler counts on
    /// fewer decode slots that are not free yet.
    double waste_weight_{0.5};
};

/// Baseline: round robin over both pools, regardless of load.
struct round_robin {};

/// Baseline: chooses both engines before the prefill, by the last reports.
struct least_load {};

/// Baseline: starts every prefill at once and chooses a decode engine when the
/// prefill ends.
struct prefill_first {};

using policy = std::variant<reserved, round_robin, least_load, prefill_first>;

/// The policy with this name, such as `reserved`; none if it is unknown.
std::optional<policy> make_policy(std::string_view name, double waste_weight);

std::string_view to_string(const policy& chosen);

struct scheduler_settings {
    base::cell_name cell_;
    policy policy_{reserved{}};
    base::milliseconds first_token_target_{1'600};
    base::milliseconds token_interval_target_{74};
    /// Time after which an engine evicts a prefill result that is not fetched.
    base::milliseconds result_lifetime_{800};
    /// Longest time for which a new owner grants only half of the free slots.
    base::milliseconds rebuild_limit_{1'000};
    std::size_t queue_limit_{20'000};
    /// Prefix hashes kept per prefill engine, of about 40 B each.
    std::size_t prefix_limit_{8'192};
    /// Whether `decision_record` actions are returned.
    bool record_decisions_{true};
    base::milliseconds headroom_interval_{200};
    /// An imbalance of the pools that lasts this long causes a proposal.
    base::milliseconds role_change_after_{30'000};
    base::milliseconds role_change_pause_{300'000};
};

} // namespace pimentoferry::placement

#endif
