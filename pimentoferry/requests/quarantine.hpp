/// Crash marks of requests, by fingerprint.
///
/// A request that crashes each engine that runs it must not take down a pool,
/// and a request that ran beside it must not be refused for it. A first crash
/// makes everything that ran on the engine a suspect; the cell owner keeps
/// suspects apart, so a second crash has one culprit.
///
///     quarantine marks{quarantine_limits{}};
///     for (const crash_mark& mark :
///          marks.engine_crashed({{fingerprint, false}}, now)) {
///         spread(mark);
///     }
///     marks.standing_of(fingerprint, now); // standing::suspect
#ifndef PIMENTOFERRY_REQUESTS_QUARANTINE_HPP
#define PIMENTOFERRY_REQUESTS_QUARANTINE_HPP

#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace pimentoferry::requests {

struct quarantine_limits {
    base::milliseconds mark_lifetime_{600'000};
    base::milliseconds first_quarantine_{600'000};
    base::milliseconds longest_quarantine_{7'200'000};
    std::size_t max_marks_{4'096};
};

enum class crash_status : std::uint8_t { clear, suspect, quarantined };

/// A mark in the form in which entries exchange it. `remaining_` is the rest
/// of the mark after one crash, and of the quarantine after more.
struct crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// What ran on an engine when it crashed.
struct crash_candidate {
    std::uint64_t fingerprint_{0};
    bool placed_as_suspect_{false}; ///< Placed as a suspect, so alone among suspects.
};

class quarantine {
public:
    explicit quarantine(quarantine_limits limits);

    crash_status status_of(std::uint64_t fingerprint,
                           base::time_point now) const;

    /// Rest of the quarantine; zero when not quarantined.
    base::milliseconds remaining(std::uint64_t fingerprint,
                                 base::time_point now) const;

    /// Judges a crash and returns the marks that were set or raised.
    /// Without a suspect, each witness is marked. With suspects, only they
    /// are blamed; of several, those that were placed as suspects, because
    /// the others were marked after they had been placed beside them.
    std::vector<crash_mark>
    attribute_crash(const std::vector<crash_candidate>& candidates,
                    base::time_point now);

    /// A completed run clears a suspect; a quarantine stays.
    void run_completed(std::uint64_t fingerprint, base::time_point now);

    /// Merges a mark of another entry: the higher count wins, so one crash
    /// that several entries saw counts once. True when anything changed.
    bool merge(const crash_mark& mark, base::time_point now);

    std::size_t size() const { return marks_.size(); }

private:
    struct mark {
        std::uint8_t crashes_{0};
        base::time_point quarantined_until_;
        /// A mark outlasts its quarantine by the mark time, so that a
        /// further crash doubles the quarantine.
        base::time_point expires_;
    };
    // Order in which marks give way to new ones: suspects first, then the
    // soonest to expire.
    using eviction_key = std::tuple<bool, base::time_point, std::uint64_t>;

    const mark* find(std::uint64_t fingerprint, base::time_point now) const;
    std::vector<std::uint64_t>
    attributed_fingerprints(const std::vector<crash_candidate>& candidates,
                            base::time_point now) const;
    crash_mark record_crash(std::uint64_t fingerprint, base::time_point now);
    void put(std::uint64_t fingerprint, const mark& value);
    void erase(std::uint64_t fingerprint);
    void drop_expired(base::time_point now);
    base::milliseconds quarantine_time(std::uint8_t crashes) const;

    quarantine_limits limits_;
    std::unordered_map<std::uint64_t, mark> marks_;
    std::set<eviction_key> eviction_order_;
};

} // namespace pimentoferry::requests

#endif
