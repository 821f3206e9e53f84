/// Time that also passes while the machine sleeps.
///
/// The steady clock stands still then. What must not be believed after a pause
/// of unknown length, such as a claim, is measured with this clock instead.
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
