/// The lasting record of the software versions that may have begun streams
/// which still go on.
///
/// No caller gets an event of a version before the record has that version. A
/// copy of the record that was read after a caller's request came therefore has
/// the version of every stream which that caller can continue, whatever the
/// reader has missed. That does not hold for a store that has come back from an
/// older copy, until the versions are written again.
///
///     recorded.take(record, {era, revision});          // received or written
///     recorded.contains(service, version);             // may begin streams
///     recorded.update_for(known, in_use, may_remove);  // what to write next
///
/// No class has a clock.
#ifndef PIMENTOFERRY_ROUTING_RECORDED_VERSIONS_HPP
#define PIMENTOFERRY_ROUTING_RECORDED_VERSIONS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/software_version.hpp"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace pimentoferry::routing {

struct service_versions {
    base::service_name service_;
    std::vector<base::software_version> versions_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.service_, self.versions_);
    }
};

/// Where in the history of the store a copy of the record belongs. Revisions of
/// a later era of the store are later.
struct record_position {
    std::uint64_t era_{0};
    std::uint64_t revision_{0};
    friend auto operator<=>(const record_position&,
                            const record_position&) = default;
};

struct versions_in_use {
    std::vector<service_versions> services_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.services_);
    }
};

class recorded_versions {
public:
    /// Takes a copy of the record. Returns false if a later one is known
    /// already.
    bool take(const versions_in_use& record, record_position position);

    /// The record does not exist in this era of the store.
    void clear(std::uint64_t era);

    /// The position of the copy; revision 0 if none is known.
    const record_position& position() const { return position_; }

    bool contains(const base::service_name& service,
                  const base::software_version& version) const;

    std::vector<base::software_version>
    versions_of(const base::service_name& service) const;

    /// What the record should be; unset if it may stay. `known`: the versions
    /// that may have open streams. `in_use`: those that may begin streams now.
    /// Versions are removed only with `may_remove`: writers that forget one at
    /// different times would undo each other's writes.
    std::optional<versions_in_use> update_for(const versions_in_use& known,
                                              const versions_in_use& in_use,
                                              bool may_remove) const;

private:
    using version_sets =
        std::map<base::service_name, std::set<base::software_version>>;

    static version_sets sets_of(const versions_in_use& versions);
    static versions_in_use list_of(const version_sets& sets);

    version_sets recorded_;
    record_position position_;
};

} // namespace pimentoferry::routing

#endif
