/// A clock that also advances while the machine is suspended.
///
/// The steady clock stops then. An expiry that must hold across a suspension of
/// unknown length, such as that of a claim, is measured with this clock.
#ifndef PIMENTOFERRY_BASE_BOOT_TIME_HPP
#define PIMENTOFERRY_BASE_BOOT_TIME_HPP

#include "pimentoferry/base/time.hpp"

#include <time.h>

namespace pimentoferry::base {

/// Only comparable with other results of this function.
inline time_point boot_now() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} +
                      std::chrono::nanoseconds{now.tv_nsec}};
}

} // namespace pimentoferry::base

#endif
