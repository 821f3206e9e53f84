/// Table of the upstream instances to which a gateway may send requests.
///
/// Instances register themselves, and the registrations reach the gateway
/// through a source that can be unavailable for a while. An instance that
/// drains or deregisters receives no new requests from the moment at which the
/// gateway learns of it. A registration that expires while the source is
/// unavailable or slow is kept for a short time, because a live instance
/// registers again soon after the source has recovered.
///
///     instances.put(instance);
///     instances.remove(id, source_disturbed, now);
///     for (const auto* each : instances.usable(service, now)) { ... }
///
/// The returned pointers are valid until the table is changed.
#ifndef PIMENTOFERRY_ROUTING_INSTANCE_TABLE_HPP
#define PIMENTOFERRY_ROUTING_INSTANCE_TABLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::routing {

enum class engine_stage : std::uint8_t { prefill, decode };

/// One run of an upstream process.
struct instance {
    base::upstream_name id_;
    base::service_name service_;
    base::endpoint address_;
    base::failure_domain failure_domain_;
    std::uint32_t slots_{0};
    bool draining_{false};
    /// Unset for a replica of a plain service.
    std::optional<engine_stage> stage_;
    /// Unix time of its start in ms; 0 if unknown. Distinguishes two runs that
    /// register under the same id.
    std::uint64_t started_at_ms_{0};

    friend bool operator==(const instance&, const instance&) = default;
};

/// Time for which an expired registration is still used after the source
/// recovered. Live instances register again within about two seconds.
inline constexpr base::milliseconds reregistration_time{2000};

class instance_table {
public:
    /// Adds or replaces a registration.
    void put(instance registered);

    /// Records that the registration was removed from the source.
    /// `source_disturbed`: the source was unavailable or slow shortly before,
    /// so the registration may only have expired.
    void remove(const base::upstream_name& id,
                bool source_disturbed,
                base::time_point now);

    /// Removes every instance that is not in `ids`, as `remove` does.
    void retain(const std::vector<base::upstream_name>& ids,
                bool source_disturbed,
                base::time_point now);

    /// Returns the instances of a service that may receive new requests.
    std::vector<const instance*> usable(const base::service_name& service,
                                        base::time_point now) const;

    /// Returns the instance if it may receive new requests, else null.
    const instance* find_usable(const base::upstream_name& id,
                                base::time_point now) const;

    /// Erases expired registrations that are no longer kept.
    void expire(base::time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct record {
        instance instance_;
        /// Set when the registration has expired: until when it is still used.
        std::optional<base::time_point> kept_until_;
    };

    static bool is_usable(const record& entry, base::time_point now);

    std::map<base::upstream_name, record> records_;
};

} // namespace pimentoferry::routing

#endif
