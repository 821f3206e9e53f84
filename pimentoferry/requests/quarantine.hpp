/// Crash marks of requests, by fingerprint.
///
/// Isolates a request that crashes the engines that run it before it takes down
/// a pool, without refusing the requests that only ran beside it. The first
/// crash marks every request that ran on the engine as a suspect. The cell
/// owner places suspects on separate engines, so a second crash is attributed
/// to one request, which is quarantined.
///
///     quarantine marks{quarantine_limits{}};
///     for (const crash_mark& mark :
///          marks.attribute_crash({{fingerprint, false}}, now)) {
///         publish(mark);
///     }
///     marks.status_of(fingerprint, now); // crash_status::suspect
#ifndef PIMENTOFERRY_REQUESTS_QUARANTINE_HPP
#define PIMENTOFERRY_REQUESTS_QUARANTINE_HPP

#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace pimentoferry::requests {

struct quarantine_limits {
    base::milliseconds mark_lifetime_{600'000};
    base::milliseconds first_quarantine_{600'000};
    base::milliseconds longest_quarantine_{7'200'000};
    /// From this number of crashes on, the quarantine is the longest one.
    std::uint8_t crashes_to_longest_{std::numeric_limits<std::uint8_t>::max()};
    std::size_t max_marks_{4'096};
};

enum class crash_status : std::uint8_t { clear, suspect, quarantined };

/// A mark as entries exchange it. `remaining_` is the remaining lifetime of the
/// mark after one crash, and the remaining quarantine after more.
struct crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// A request that ran on an engine when the engine crashed.
struct crash_candidate {
    std::uint64_t fingerprint_{0};
    bool placed_as_suspect_{false}; ///< No other suspect was placed beside it.
};

class quarantine {
public:
    explicit quarantine(quarantine_limits limits);

    crash_status status_of(std::uint64_t fingerprint,
                           base::time_point now) const;

    /// The remaining quarantine; zero when not quarantined.
    base::milliseconds remaining(std::uint64_t fingerprint,
                                 base::time_point now) const;

    /// Attributes a crash to some of the candidates and returns the marks that
    /// were set or raised. Without a suspect among them, each candidate is
    /// marked. Otherwise only the suspects are, and if some of them were placed
    /// as suspects, only those: the others were marked after they had been
    /// placed beside them.
    std::vector<crash_mark>
    attribute_crash(const std::vector<crash_candidate>& candidates,
                    base::time_point now);

    /// Removes the mark of a fingerprint, a quarantine too.
    void clear(std::uint64_t fingerprint) { erase(fingerprint); }

    /// Whether a quarantine of the fingerprint has ended and its mark has not.
    bool was_quarantined(std::uint64_t fingerprint, base::time_point now) const;

    /// The mark of a fingerprint; unset if none is in force.
    std::optional<crash_mark> find_mark(std::uint64_t fingerprint,
                                        base::time_point now) const;

    /// The marks that are in force, with what remains of each.
    std::vector<crash_mark> marks(base::time_point now) const;

    /// When the crash was recorded that set or raised the mark of a
    /// fingerprint; unset without a mark.
    std::optional<base::time_point> raised_at(std::uint64_t fingerprint,
                                              base::time_point now) const;

    /// Time since the crash that set or raised a mark.
    base::milliseconds age(const crash_mark& mark) const;

    /// Records a completed run: it clears a suspect, but not a quarantine.
    void run_completed(std::uint64_t fingerprint, base::time_point now);

    /// Merges a mark of another entry: the higher count wins, so one crash that
    /// several entries saw counts once. Returns whether anything changed.
    bool merge(const crash_mark& mark, base::time_point now);

    std::size_t size() const { return marks_.size(); }

private:
    struct mark {
        std::uint8_t crashes_{0};
        base::time_point raised_at_;
        base::time_point quarantined_until_;
        /// A mark outlasts its quarantine by the mark lifetime, so that a
        /// further crash doubles the quarantine.
        base::time_point expires_;
    };
    // Order in which new marks evict old ones: suspects first, then the mark
    // that expires first.
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
