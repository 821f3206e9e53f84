/// Finds the route of a request by its host and the longest matching path
/// prefix.
///
///     routing::route_table table{configuration};
///     if (const auto* found = table.find("shop.example", "/orders/7")) {
///         const auto* service = routing::choose_service(*found, point);
///     }
///
/// The returned pointers are valid as long as the table.
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

    /// Returns the route of `host` with the longest prefix of `path`; null if
    /// there is none. The port of `host` and its letter case are ignored;
    /// `path` must not include the query.
    const route* find(std::string_view host, std::string_view path) const;

    /// Null if there is no such service.
    const service* find_service(const base::service_name& name) const;

    /// Whether the service cannot be read, or may be one that cannot.
    bool is_closed(const base::service_name& name) const;

    const configuration& source() const { return source_; }
    std::uint64_t version() const { return source_.version_; }

private:
    configuration source_;
    /// Indexes of routes by host and path prefix. A lookup tries the prefixes
    /// of a path that end with a slash, the longest first.
    std::map<std::string,
             std::map<std::string, std::size_t, std::less<>>,
             std::less<>>
        by_host_;
};

/// Returns the service for `point`, a random number in [0, 1). With
/// weights 99.5 and 0.5, points below 0.995 select the first service. Returns
/// null if no service has a weight.
const base::service_name* choose_service(const route& chosen, double point);

/// Returns the host in lower case and without its port.
std::string canonical_host(std::string_view host);

} // namespace pimentoferry::routing

#endif
