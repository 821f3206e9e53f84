/// What is believed of the limits that upstream instances announce.
///
/// An instance in need announces in its answers how many requests a second it
/// accepts from all gateways together. The limit holds until an answer comes
/// without it. Answers on different connections overtake each other, and
/// gateways exchange what they heard, so every piece of evidence carries two
/// times: when the request was sent, and when its answer was received. The
/// instance decided between the two. Evidence is newer than other evidence if
/// its request was sent after the other answer was received; if neither is
/// newer, the stricter one holds until the next answer.
///
///     const auto change = limits.merge({id, run, 14.0, sent_at, now});
///     limits.limit_of(id);   // 14.0
///
/// Times must come from a clock that also advances while the machine is
/// suspended, because other gateways are told the ages.
#ifndef PIMENTOFERRY_ROUTING_ANNOUNCED_LIMITS_HPP
#define PIMENTOFERRY_ROUTING_ANNOUNCED_LIMITS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentoferry::routing {

/// What one answer said about the limit of its instance.
struct announced_limit {
    base::upstream_name instance_;
    /// Identifies the run of the instance, see `instance::started_at_ms_`.
    std::uint64_t started_at_ms_{0};
    /// Unset: the answer announced no limit.
    std::optional<double> requests_per_s_;
    base::time_point sent_at_;     ///< Of the request.
    base::time_point received_at_; ///< Of its answer.
};

enum class limit_change : std::uint8_t { none, begun, changed, ended };

std::string_view to_string(limit_change change);

class announced_limits {
public:
    /// Takes evidence into account and returns its effect on the limit. A later
    /// run of the instance replaces an earlier one, of which nothing is kept.
    limit_change merge(const announced_limit& heard);

    /// Requests a second; unset if the instance has no limit.
    std::optional<double> limit_of(const base::upstream_name& instance) const;

    /// All evidence, including limits that ended a short time ago: it is needed
    /// to recognise an earlier announcement that arrives later.
    std::vector<announced_limit> all() const;

    /// Erases the evidence of instances for which `is_current` returns false,
    /// and of limits that ended long ago.
    void retain(const std::function<bool(const announced_limit&)>& is_current,
                base::time_point now);

private:
    std::map<base::upstream_name, announced_limit> evidence_;
};

} // namespace pimentoferry::routing

#endif
