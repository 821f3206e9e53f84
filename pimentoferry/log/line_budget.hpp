/// Token bucket that limits the rate of log lines.
///
///     line_budget budget{now};
///     if (budget.take(now)) { /* write the line */ }
#ifndef PIMENTOFERRY_LOG_LINE_BUDGET_HPP
#define PIMENTOFERRY_LOG_LINE_BUDGET_HPP

#include "pimentoferry/base/time.hpp"

#include <algorithm>

namespace pimentoferry::log {

/// Sustained rate. A line takes about 10 us of CPU time, so this is 0.4 % of a
/// core.
inline constexpr double lines_per_second = 400;
/// Capacity of the bucket: lines that may be written at once.
inline constexpr double burst_lines = 2000;

class line_budget {
public:
    explicit line_budget(base::time_point now) : updated_(now) {}

    /// Takes a token. Returns false when the line must be dropped.
    bool take(base::time_point now) {
        const std::chrono::duration<double> elapsed = now - updated_;
        updated_ = now;
        tokens_ =
            std::min(burst_lines, tokens_ + elapsed.count() * lines_per_second);
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double tokens_{burst_lines};
    base::time_point updated_;
};

} // namespace pimentoferry::log

#endif
