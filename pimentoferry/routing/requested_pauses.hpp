/// Pauses that instances ask this gateway for.
///
/// An instance that rejects a request may say for how long it wants no further
/// ones from the gateway that sent it. That says nothing about other gateways,
/// nor about the health of the instance.
///
///     pauses.note(instance, duration, now);
///     if (!pauses.paused(instance, now)) { ... }
#ifndef PIMENTOFERRY_ROUTING_REQUESTED_PAUSES_HPP
#define PIMENTOFERRY_ROUTING_REQUESTED_PAUSES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimentoferry::routing {

/// A pause that is longer counts as this long. An instance that needs more says
/// so again to the first request after it.
inline constexpr base::milliseconds longest_pause{60'000};

class requested_pauses {
public:
    /// The instance asks for a pause of `duration`. Of several pauses, the one
    /// that ends last counts. Returns whether the pause has just begun.
    bool note(const instance& asking,
              base::milliseconds duration,
              base::time_point now);

    /// Whether this run of the instance has asked for a pause that lasts.
    bool paused(const instance& candidate, base::time_point now) const;

    /// The time until the first of `candidates` may be used; unset if one of
    /// them may be used now, or if there is none.
    std::optional<base::milliseconds>
    wait_for_any(const std::vector<const instance*>& candidates,
                 base::time_point now) const;

    /// Forgets the pauses that have ended. Returns their instances.
    std::vector<base::upstream_name> expire(base::time_point now);

private:
    struct pause {
        std::uint64_t started_at_ms_{0}; ///< Of the run that asked for it.
        base::time_point until_;
    };

    std::map<base::upstream_name, pause> pauses_;
};

} // namespace pimentoferry::routing

#endif
