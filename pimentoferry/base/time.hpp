/// Time types used in every signature that holds a time.
///
/// Decision libraries receive `time_point` values and never read a clock.
/// `wall_time` is for what is compared between processes, such as the time
/// of issue of an idempotency key; it may jump.
#ifndef PIMENTOFERRY_BASE_TIME_HPP
#define PIMENTOFERRY_BASE_TIME_HPP

#include <chrono>

namespace pimentoferry::base {

using clock = std::chrono::steady_clock;
using time_point = clock::time_point;
using milliseconds = std::chrono::milliseconds;
using microseconds = std::chrono::microseconds;
using wall_time =
    std::chrono::time_point<std::chrono::system_clock, milliseconds>;

} // namespace pimentoferry::base

#endif
