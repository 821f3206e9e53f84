/// Simulates a process crash that is caused by a request.
#ifndef PIMENTOFERRY_STANDINS_CRASH_HPP
#define PIMENTOFERRY_STANDINS_CRASH_HPP

#include <cstdlib>
#include <string_view>

namespace pimentoferry::standins {

inline constexpr int crash_exit_code = 70;

/// Exits without cleanup when `crash_on` is not empty and the text contains it;
/// the system closes all connections.
inline void crash_if_contains(std::string_view text,
                              std::string_view crash_on) {
    if (!crash_on.empty() && text.find(crash_on) != std::string_view::npos) {
        std::_Exit(crash_exit_code);
    }
}

} // namespace pimentoferry::standins

#endif
