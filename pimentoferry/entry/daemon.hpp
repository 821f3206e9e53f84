/// Runs the process of one entry from its start to its exit.
///
///     return entry::run(settings);
#ifndef PIMENTOFERRY_ENTRY_DAEMON_HPP
#define PIMENTOFERRY_ENTRY_DAEMON_HPP

#include "pimentoferry/config/settings.hpp"

namespace pimentoferry::entry {

inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_cut_off = 3;

/// Runs until SIGTERM, SIGINT or a drain order, and returns the exit code: 0
/// after a complete drain, 1 when the entry cannot start, 3 when the drain
/// ended at its limit or by a second signal.
int run(const config::settings& settings);

} // namespace pimentoferry::entry

#endif
