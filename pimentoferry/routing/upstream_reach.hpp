/// Whether this gateway reaches any upstream at all.
///
/// An instance that does not accept connections may have ended, or the gateway
/// may be cut off from it. If several instances in a row cannot be reached and
/// none over a new connection, it is the gateway's own links that are at fault.
/// Open connections prove nothing: they may live on while new ones fail.
///
/// Instances that have ended look the same, so that only one that has not
/// failed yet can confirm it.
///
///     reach.failed(instance.id_);   // no connection, or silence
///     reach.connected();            // an answer over a new connection
///     if (reach.isolated()) { ... }
#ifndef PIMENTOFERRY_ROUTING_UPSTREAM_REACH_HPP
#define PIMENTOFERRY_ROUTING_UPSTREAM_REACH_HPP

#include "pimentoferry/base/ids.hpp"

#include <set>

namespace pimentoferry::routing {

class upstream_reach {
public:
    /// Returns whether the gateway is found isolated by this.
    bool failed(const base::upstream_name& instance);

    /// Returns whether the gateway was isolated before.
    bool connected();

    bool isolated() const;

    /// Whether the instance is part of the evidence.
    bool has_failed(const base::upstream_name& instance) const {
        return unreached_.contains(instance);
    }

    /// Whether the evidence suffices if no instance is left that could confirm
    /// it: more have failed than one call is let end.
    bool isolated_unconfirmed() const;

private:
    /// Instances that could not be reached since the last new connection.
    std::set<base::upstream_name> unreached_;
};

} // namespace pimentoferry::routing

#endif
