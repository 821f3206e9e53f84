/// A gateway's view of routes and instances, read from its local replica of the
/// store's data.
///
///     registry.set_store_return(availability.returned_at());
///     for (const auto& change : replica.apply(changes)) {
///         registry.apply(change, origin, now);
///     }
///     registry.routes();     // null before the first configuration
///     registry.instances();
///
/// What the gateway has acted upon stays true when the store comes back from an
/// older copy: a configuration takes effect only if its version is higher than
/// that of the one in force, and `routing::instance_table` keeps which
/// instances drain or are gone. When nothing of a value can be decoded, the
/// configuration in force stays, and an instance is not used. When a part of a
/// configuration cannot be decoded, the rest of it takes effect.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRY_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRY_HPP

#include "pimentoferry/accounts/key_table.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/registry_codec.hpp"
#include "pimentoferry/routing/instance_table.hpp"
#include "pimentoferry/routing/route_table.hpp"
#include "pimentoferry/store/availability.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <memory>
#include <optional>
#include <string_view>

namespace pimentoferry::gateway {

/// The part of the registry that a change of the replica affected.
enum class registry_change : std::uint8_t { nothing, configuration, instances };

/// The latest value of the configuration, if nothing of it can be read.
struct unreadable_configuration {
    store::revision revision_{0};
    unreadable failure_;
};

/// Live instances register again within about 2 s after the store's return;
/// the rest is the time until every gateway has received the registration.
inline constexpr base::milliseconds lapse_window{2500};

/// How a change reached the gateway, for log lines.
struct change_origin {
    std::string_view received_by_; ///< "list", "watch", "peer" or "copy".
    /// The change follows from the store's return from an older copy, so it may
    /// show what was known to be over.
    bool from_copy_{false};
    const store::availability* store_answers_{nullptr};
};

class registry {
public:
    explicit registry(registry_codec codec) : codec_(std::move(codec)) {}

    /// Sets when the last outage of the store ended; unset if none is known.
    /// A registration that is removed within `lapse_window` after that may only
    /// have lapsed, and is kept until the end of the window. Applies to those
    /// that are kept already, too.
    void set_store_return(std::optional<base::time_point> returned_at);

    /// Applies a change of the replica.
    registry_change apply(const store::mirror_change& change,
                          const change_origin& origin,
                          base::time_point now);

    /// The routes in force; null before the first configuration. A request
    /// keeps the table with which it began.
    std::shared_ptr<const routing::route_table> routes() const {
        return routes_;
    }

    /// Unset if the latest configuration could be read.
    const std::optional<unreadable_configuration>& unreadable_latest() const {
        return unreadable_;
    }

    /// The keys of the accounts of the configuration in force; null if it has
    /// none.
    std::shared_ptr<const accounts::key_table> account_keys() const {
        return account_keys_;
    }

    const routing::instance_table& instances() const { return instances_; }

    /// See `routing::instance_table::note_leaving`.
    bool note_leaving(const routing::leaving_run& heard) {
        return instances_.note_leaving(heard);
    }

    /// Returns whether an instance that was kept is no longer used.
    bool expire(base::time_point now) { return instances_.expire(now); }

private:
    registry_change apply_configuration(const store::item& item);
    /// Takes the keys out of the configuration.
    void apply_accounts(routing::configuration& next);
    registry_change apply_instance(std::string_view id,
                                   const store::item& item,
                                   const change_origin& origin,
                                   base::time_point now);

    registry_codec codec_;
    accounts::hash_secret hash_secret_{accounts::make_secret()};
    std::shared_ptr<const routing::route_table> routes_;
    std::shared_ptr<const accounts::key_table> account_keys_;
    std::optional<unreadable_configuration> unreadable_;
    routing::instance_table instances_;
};

} // namespace pimentoferry::gateway

#endif
