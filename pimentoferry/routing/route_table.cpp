#include "pimentoferry/routing/route_table.hpp"

#include <algorithm>
#include <numeric>

namespace pimentoferry::routing {

std::string canonical_host(std::string_view host) {
    std::string name{host.substr(0, host.find(':'))};
    std::ranges::transform(name, name.begin(), [](unsigned char c) {
        return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a')
                                    : static_cast<char>(c);
    });
    return name;
}

route_table::route_table(configuration source) : source_(std::move(source)) {
    for (std::size_t i = 0; i < source_.routes_.size(); ++i) {
        const auto& route = source_.routes_[i];
        by_host_[canonical_host(route.host_)].emplace(route.path_prefix_, i);
    }
}

const route* route_table::find(std::string_view host,
                               std::string_view path) const {
    const auto routes = by_host_.find(canonical_host(host));
    if (routes == by_host_.end()) {
        return nullptr;
    }
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto found = routes->second.find(path.substr(0, end + 1));
        if (found != routes->second.end()) {
            return &source_.routes_[found->second];
        }
    }
    return nullptr;
}

const service* route_table::find_service(const base::service_name& name) const {
    const auto found = source_.services_.find(name);
    return found == source_.services_.end() ? nullptr : &found->second;
}

bool route_table::is_closed(const base::service_name& name) const {
    const auto* found = find_service(name);
    return found != nullptr ? found->closed_ : source_.has_unnamed_service_;
}

const base::service_name* choose_service(const route& chosen, double point) {
    const auto& shares = chosen.services_;
    const auto total = std::accumulate(
        shares.begin(), shares.end(), 0.0,
        [](double sum, const traffic_share& s) { return sum + s.weight_; });
    double remaining = point * total;
    const auto is_chosen = [&remaining](const traffic_share& share) {
        remaining -= share.weight_;
        return remaining < 0;
    };
    auto found = std::ranges::find_if(shares, is_chosen);
    if (found == shares.end()) {
        // Rounding may leave a rest; a service without weight gets nothing.
        found = std::ranges::find_if(shares, [](const traffic_share& share) {
            return share.weight_ > 0;
        });
    }
    return found == shares.end() ? nullptr : &found->service_;
}

} // namespace pimentoferry::routing
