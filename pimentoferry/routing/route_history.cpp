#include "pimentoferry/routing/route_history.hpp"

#include "pimentoferry/routing/route_table.hpp"

#include <algorithm>

namespace pimentoferry::routing {

std::set<base::service_name> serving(const route& route) {
    std::set<base::service_name> services;
    std::ranges::for_each(route.services_, [&services](const auto& share) {
        if (share.weight_ > 0) {
            services.insert(share.service_);
        }
    });
    return services;
}

void route_history::replaced(const configuration& before,
                             base::time_point now) {
    for (const auto& route : before.routes_) {
        if (route.kind_ != call_kind::stream) {
            continue;
        }
        auto& served =
            served_until_[{canonical_host(route.host_), route.path_prefix_}];
        std::ranges::for_each(serving(route), [&](const auto& service) {
            served.insert_or_assign(service, now);
        });
    }
}

std::set<base::service_name> route_history::services_of(
    const route& route, base::time_point now, base::milliseconds keep) const {
    auto services = serving(route);
    const auto served =
        served_until_.find({canonical_host(route.host_), route.path_prefix_});
    if (served != served_until_.end()) {
        std::ranges::for_each(served->second, [&](const auto& each) {
            if (each.second + keep > now) {
                services.insert(each.first);
            }
        });
    }
    return services;
}

std::set<base::service_name>
route_history::sharing_a_route(const configuration& in_force,
                               base::time_point now,
                               base::milliseconds keep) const {
    std::set<base::service_name> sharing;
    for (const auto& route : in_force.routes_) {
        if (route.kind_ != call_kind::stream) {
            continue;
        }
        const auto services = services_of(route, now, keep);
        if (services.size() > 1) {
            sharing.insert(services.begin(), services.end());
        }
    }
    return sharing;
}

void route_history::expire(base::time_point ended_before) {
    for (auto& [route, served] : served_until_) {
        std::erase_if(served, [ended_before](const auto& each) {
            return each.second < ended_before;
        });
    }
    std::erase_if(served_until_,
                  [](const auto& each) { return each.second.empty(); });
}

} // namespace pimentoferry::routing
