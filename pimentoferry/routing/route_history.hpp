/// The services to which routes have led of late.
///
/// A stream belongs to the service that began it. Where a route has led to one
/// service only, its streams are of that one; else the service has to be looked
/// up.
///
///     history.replaced(before, now);  // the configuration is replaced
///     history.services_of(route, now, keep);
///
/// The class has no clock; the passed times must not decrease.
#ifndef PIMENTOFERRY_ROUTING_ROUTE_HISTORY_HPP
#define PIMENTOFERRY_ROUTING_ROUTE_HISTORY_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/routing/configuration.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>

namespace pimentoferry::routing {

/// Services of the route that have a weight.
std::set<base::service_name> serving(const route& route);

class route_history {
public:
    /// The configuration was in force until now.
    void replaced(const configuration& before, base::time_point now);

    /// The services that serve the route, and those that did so within `keep`
    /// under an earlier configuration.
    std::set<base::service_name> services_of(const route& route,
                                             base::time_point now,
                                             base::milliseconds keep) const;

    /// Services with which another one shares a route of streams.
    std::set<base::service_name> sharing_a_route(const configuration& in_force,
                                                 base::time_point now,
                                                 base::milliseconds keep) const;

    /// Forgets what ended before that time.
    void expire(base::time_point ended_before);

private:
    /// Host and path prefix.
    using route_key = std::pair<std::string, std::string>;

    std::map<route_key, std::map<base::service_name, base::time_point>>
        served_until_;
};

} // namespace pimentoferry::routing

#endif
