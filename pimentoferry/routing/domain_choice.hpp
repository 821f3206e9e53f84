/// When a call pays to leave its failure domain.
///
/// Load: a failure domain whose own replicas are too few for some seconds, or
/// slow, while others have places free. Calls between failure domains are
/// slower and cost money, so a call leaves only if it is expected to end
/// earlier by more than that.
///
///     const auto home = completion_time({3, 6, mean});
///     const auto away = completion_time({0, 6, mean});
///     if (leaving_pays(home, away, budget, price)) { ... }
#ifndef PIMENTOFERRY_ROUTING_DOMAIN_CHOICE_HPP
#define PIMENTOFERRY_ROUTING_DOMAIN_CHOICE_HPP

#include <chrono>
#include <cstdint>
#include <string_view>

namespace pimentoferry::routing {

using fractional_ms = std::chrono::duration<double, std::milli>;

/// What is known of a replica.
struct replica_load {
    std::uint32_t calls_{0}; ///< In progress there.
    std::uint32_t places_{0};
    fractional_ms service_time_{0}; ///< Mean of its recent answers.
};

/// What a call to a replica of another failure domain costs.
struct domain_price {
    fractional_ms delay_{0}; ///< There and back.
    /// The wait of a caller that the operator accepts to save the transfer.
    fractional_ms worth_{0};
};

/// Expected time until the answer of a further call.
fractional_ms completion_time(const replica_load& load);

/// Whether a call should go to another failure domain. `budget`: the time in
/// which its answer is due. A call that is in time only elsewhere leaves at any
/// price.
bool leaving_pays(fractional_ms home,
                  fractional_ms away,
                  fractional_ms budget,
                  const domain_price& price);

/// Why a call left its failure domain.
enum class leave_reason : std::uint8_t {
    stays,
    no_replica, ///< The domain has none that can be used.
    full,       ///< Its replicas have no place.
    slower,     ///< A call there is expected to end later.
};
std::string_view to_string(leave_reason reason);

} // namespace pimentoferry::routing

#endif
