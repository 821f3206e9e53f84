/// The upstream instances that a gateway may send requests to.
///
/// Instances register themselves, and the registrations reach the gateway
/// through a source that can be unavailable for a while. An instance that
/// leaves receives nothing new from the moment at which the gateway learns of
/// it. A registration that lapses while the source is disturbed is kept for a
/// short time, because a live instance registers again soon after the source
/// has recovered.
///
///     instances.put(instance, now);
///     instances.remove(id, now);
///     for (const auto* each : instances.usable(service, now)) { ... }
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
    /// None for a replica of a plain service.
    std::optional<engine_stage> stage_;
    /// Unix time of its start in ms; 0 if unknown. Distinguishes two runs
    /// that register under the same id.
    std::uint64_t started_at_ms_{0};

    friend bool operator==(const instance&, const instance&) = default;
};

/// How long a lapsed registration is still used after the source recovered.
/// Live instances are registered again within about two seconds.
inline constexpr base::milliseconds reregistration_time{2000};

class instance_table {
public:
    /// Records a registration.
    void put(instance registered);

    /// The registration is gone. `source_disturbed`: the source was
    /// unavailable or slow shortly before, so that the removal may only be a
    /// lapse.
    void remove(const base::upstream_name& id,
                bool source_disturbed,
                base::time_point now);

    /// Removes every instance that is not in `ids`.
    void retain(const std::vector<base::upstream_name>& ids,
                bool source_disturbed,
                base::time_point now);

    /// The instances of a service that may receive new requests.
    std::vector<const instance*> usable(const base::service_name& service,
                                        base::time_point now) const;

    /// An instance that may receive new requests; null otherwise.
    const instance* find_usable(const base::upstream_name& id,
                                base::time_point now) const;

    /// Forgets lapsed registrations whose time is over.
    void expire(base::time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct record {
        instance instance_;
        /// Set while the registration has lapsed.
        std::optional<base::time_point> lapses_at_;
    };

    static bool is_usable(const record& entry, base::time_point now);

    std::map<base::upstream_name, record> records_;
};

} // namespace pimentoferry::routing

#endif
