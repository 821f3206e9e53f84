/// Table of the upstream instances to which a gateway may send requests.
///
/// Instances register themselves, and the registrations reach the gateway
/// through a source that can be unavailable for a while. An instance that
/// drains or deregisters receives no new requests from the moment at which the
/// gateway learns of it. A registration that lapsed during an outage of the
/// source is kept until shortly after the source returned, because a live
/// instance registers again by then. The table does not know of outages: it is
/// told until when removals may be lapses, and applies a later correction to
/// the registrations that it keeps already.
///
///     instances.put(instance);
///     instances.keep_lapsed_until(source_returned + window);
///     instances.remove(id, now);
///     for (const auto* each : instances.usable(service, now)) { ... }
///
/// The source may come back from an older copy of its data. What an instance
/// has said in one run is not taken back by an older registration of that run:
/// one that drains goes on draining, an earlier run does not replace a later
/// one, and one that is gone is used again only after it has registered anew or
/// its entry has outlasted the time in which those of dead instances expire.
///
/// An instance may also say itself that it leaves, in its answers, before the
/// source does. That holds for the rest of its run, whatever its registration
/// says:
///
///     instances.note_leaving({id, started_at_ms, now});
///
/// The returned pointers are valid until the table is changed.
#ifndef PIMENTOFERRY_ROUTING_INSTANCE_TABLE_HPP
#define PIMENTOFERRY_ROUTING_INSTANCE_TABLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/software_version.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
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
    /// Empty if the registration names none.
    base::software_version software_version_{};

    friend bool operator==(const instance&, const instance&) = default;
};

/// What became of a registration.
enum class put_result : std::uint8_t {
    taken,
    drains_already, ///< It drains, whatever the registration says.
    earlier_run,    ///< A later run of the instance is known; not taken.
    gone_already,   ///< It was removed; not used for now.
};

std::string_view to_string(put_result result);

/// A run of an instance that said that it leaves.
struct leaving_run {
    base::upstream_name instance_;
    std::uint64_t started_at_ms_{0}; ///< See `instance::started_at_ms_`.
    base::time_point heard_at_;
};

class instance_table {
public:
    /// Adds or replaces a registration.
    put_result put(instance registered);

    /// As `put`, for a registration in an older copy of the source's data.
    put_result put_from_copy(instance registered, base::time_point now);

    /// Removals before `until` may be lapses; the removed instances are used
    /// until then. A time in the past ends the use of all of them.
    void keep_lapsed_until(base::time_point until) {
        lapsed_kept_until_ = until;
    }

    /// Records that the registration was removed from the source.
    void remove(const base::upstream_name& id, base::time_point now);

    /// Removes an instance that cannot be used, whatever the state of the
    /// source.
    void erase(const base::upstream_name& id) { records_.erase(id); }

    /// Removes every instance that is not in `ids`, as `remove` does.
    void retain(const std::vector<base::upstream_name>& ids,
                base::time_point now);

    /// Records that the instance said that it leaves. Returns whether that is
    /// news; a statement of an earlier run than the registered one is none.
    bool note_leaving(const leaving_run& heard);

    /// Whether the instance is draining by its registration, or has said that
    /// it leaves.
    bool leaves(const instance& registered) const;

    /// As above, for the registered run of an instance.
    bool leaves(const base::upstream_name& id) const;

    /// The registered instances that have said that they leave.
    std::vector<leaving_run> leaving() const;

    /// Returns the instances of a service that may receive new requests.
    std::vector<const instance*> usable(const base::service_name& service,
                                        base::time_point now) const;

    /// Returns the instance if it may receive new requests, else null.
    const instance* find_usable(const base::upstream_name& id,
                                base::time_point now) const;

    /// Whether the instance has never been registered as far as this table
    /// knows, so that nothing says that it has ended.
    bool is_unknown(const base::upstream_name& id) const {
        return !records_.contains(id) && !gone_.contains(id);
    }

    /// Erases lapsed registrations that are no longer kept, and takes instances
    /// into use whose entries have outlasted those of dead ones. Returns
    /// whether there were any.
    bool expire(base::time_point now);

    std::size_t size() const { return records_.size(); }

private:
    struct record {
        instance instance_;
        bool lapsed_{false};
        /// Not used before, unless it registers again.
        base::time_point unused_until_{base::time_point::min()};
    };
    /// An instance that was removed.
    struct gone_run {
        std::uint64_t started_at_ms_{0};
        base::time_point removed_at_;
    };

    bool is_usable(const record& entry, base::time_point now) const;
    void forget_leaving(base::time_point now);

    void remember_gone(const instance& removed, base::time_point now);

    std::map<base::upstream_name, record> records_;
    std::map<base::upstream_name, gone_run> gone_;
    std::map<base::upstream_name, leaving_run> leaving_;
    base::time_point lapsed_kept_until_{base::time_point::min()};
};

} // namespace pimentoferry::routing

#endif
