/// Which software version began a stream, and which versions may have begun
/// one.
///
/// What two versions write does not fit together, so a stream that was broken
/// off goes on only at the version that began it. Replicas do not check this.
///
///     origins.add(stream, version, now);
///     origins.find(stream);            // unset: not known
///
///     history.seen(version, now);        // while an instance of it is usable
///     history.only(recorded, now, keep); // unset: several are possible
///
/// `keep` is the longest time in which a caller continues a stream, see
/// `retention`; the caller of `origin_table::expire` applies it to the table.
/// No class has a clock; the passed times must not decrease.
#ifndef PIMENTOFERRY_ROUTING_STREAM_ORIGINS_HPP
#define PIMENTOFERRY_ROUTING_STREAM_ORIGINS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/software_version.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace pimentoferry::routing {

/// A stream is named by a hash of its service and of the caller's request that
/// brought its first event.
std::uint64_t stream_hash(const base::service_name& service,
                          const std::string& request);

/// Streams that one version began.
struct streams_of_version {
    base::software_version version_;
    std::vector<std::uint64_t> streams_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.version_, self.streams_);
    }
};

class origin_table {
public:
    /// Records a stream. Returns false if it is known already; the first
    /// version that was recorded stays.
    bool add(std::uint64_t stream,
             const base::software_version& version,
             base::time_point now);

    std::optional<base::software_version> find(std::uint64_t stream) const;

    /// The stream is in the lasting record.
    void set_recorded(std::uint64_t stream);

    /// The lasting record may have lost any stream.
    void clear_recorded();

    /// At most `most` streams that are not in the lasting record and were added
    /// before `added_before`, the oldest first.
    std::vector<streams_of_version>
    unrecorded(std::size_t most, base::time_point added_before) const;

    /// Forgets what was added before `added_before`.
    void expire(base::time_point added_before);

    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::size_t version_{0}; ///< Position in `versions_`.
        bool recorded_{false};
    };

    std::size_t position_of(const base::software_version& version);

    /// Every version that a stream was recorded for.
    std::vector<base::software_version> versions_;
    std::unordered_map<std::uint64_t, entry> entries_;
    /// The streams and when they were added, the oldest first.
    std::deque<std::pair<base::time_point, std::uint64_t>> order_;
};

/// A time that follows a wanted one. It grows at once, and shrinks only after
/// the larger one has passed: what was kept for it may still be asked for.
class retention {
public:
    void update(base::milliseconds wanted, base::time_point now);
    base::milliseconds time() const { return time_; }

private:
    base::milliseconds time_{0};
    base::time_point wanted_at_; ///< When a time as long was last wanted.
};

class version_history {
public:
    /// An instance of the version may get new streams.
    void seen(const base::software_version& version, base::time_point now);

    /// The versions of the lasting record, see `recorded_versions`. A version
    /// that the record did not have before may have begun streams just now.
    void load(const std::vector<base::software_version>& versions,
              base::time_point now);

    /// Versions that, as far as this process knows, may have begun a stream
    /// which still goes on.
    std::vector<base::software_version> possible(base::time_point now,
                                                 base::milliseconds keep) const;

    /// The only possible version; unset if there are several. `recorded`: the
    /// versions of the lasting record, read after the question came. What this
    /// process knows by itself is never enough: it may have been stopped or cut
    /// off while a version came into service.
    std::optional<base::software_version>
    only(const std::vector<base::software_version>& recorded,
         base::time_point now,
         base::milliseconds keep) const;

private:
    std::map<base::software_version, base::time_point> last_seen_;
    /// Versions of the record that was loaded last.
    std::set<base::software_version> loaded_;
};

} // namespace pimentoferry::routing

#endif
