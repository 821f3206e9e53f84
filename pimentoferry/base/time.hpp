/// Time types of the whole code base.
///
/// Decision libraries take `time_point` parameters and never read a clock.
/// `wall_time` is for times that are compared between processes, such as the
/// issue time of an idempotency key; the wall clock may jump.
#ifndef PIMENTOFERRY_BASE_TIME_HPP
#define PIMENTOFERRY_BASE_TIME_HPP

#include <chrono>
#include <cstdint>

namespace pimentoferry::base {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

/// Time since `at` in whole milliseconds, for log lines and gauges.
inline std::int64_t age_ms(time_point at, time_point now) {
    return std::chrono::duration_cast<milliseconds>(now - at).count();
}

} // namespace pimentoferry::base

#endif
