/// What a gateway believes about routes and instances, read from its copy of
/// the store.
///
///     for (const auto& change : copy.apply(seen)) {
///         registry.take(change, store_disturbed, now);
///     }
///     registry.routes();     // null before the first configuration
///     registry.instances();
///
/// The version of the configuration only grows. A value that cannot be read
/// leaves what was known before: a configuration stays in force, and an
/// instance is not used.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRY_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRY_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/registry_codec.hpp"
#include "pimentoferry/routing/instance_table.hpp"
#include "pimentoferry/routing/route_table.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <memory>

namespace pimentoferry::gateway {

/// What a change of the copy changed here.
enum class registry_change : std::uint8_t { nothing, configuration, instances };

class registry {
public:
    explicit registry(registry_codec codec) : codec_(std::move(codec)) {}

    /// `store_disturbed`: the store was not available shortly before, so that
    /// a removed registration may only have lapsed.
    registry_change take(const store::mirror_change& change,
                         bool store_disturbed,
                         base::time_point now);

    /// A request keeps the table with which it began.
    std::shared_ptr<const routing::route_table> routes() const {
        return routes_;
    }

    const routing::instance_table& instances() const { return instances_; }

    void expire(base::time_point now) { instances_.expire(now); }

private:
    registry_change take_configuration(const store::item& item);
    registry_change take_instance(std::string_view id, const store::item& item);

    registry_codec codec_;
    std::shared_ptr<const routing::route_table> routes_;
    routing::instance_table instances_;
};

} // namespace pimentoferry::gateway

#endif
