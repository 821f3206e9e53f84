/// Finds the route of a request by host and longest path prefix.
///
///     routing::route_table table{configuration};
///     if (const auto* found = table.find("shop.example", "/orders/7")) {
///         const auto& service = table.choose_service(*found, point);
///     }
#ifndef PIMENTOFERRY_ROUTING_ROUTE_TABLE_HPP
#define PIMENTOFERRY_ROUTING_ROUTE_TABLE_HPP

#include "pimentoferry/routing/configuration.hpp"

#include <map>
#include <string>
#include <string_view>

namespace pimentoferry::routing {

class route_table {
public:
    explicit route_table(configuration source);

    /// The route with the longest prefix of `path` among those of the host;
    /// null if there is none. A port in `host` and its letter case are
    /// ignored; `path` is without its query.
    const route* find(std::string_view host, std::string_view path) const;

    const service* find_service(const base::service_name& name) const;

    const configuration& source() const { return source_; }
    std::uint64_t version() const { return source_.version_; }

private:
    configuration source_;
    /// Routes by host and prefix; a lookup tries the prefixes of a path that
    /// end with a slash, the longest first.
    std::map<std::string,
             std::map<std::string, std::size_t, std::less<>>,
             std::less<>>
        by_host_;
};

/// The service that serves `point`, a number from 0 up to but excluding 1.
/// With weights 90 and 10, points below 0.9 go to the first service.
const base::service_name& choose_service(const route& chosen, double point);

/// A host in lower case and without its port.
std::string canonical_host(std::string_view host);

} // namespace pimentoferry::routing

#endif
