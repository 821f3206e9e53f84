/// The daemon: one entry from its settings file to its exit.
///
///     return entry::run({.settings_file_ = "entry.json"});
#ifndef PIMENTOFERRY_ENTRY_RUN_HPP
#define PIMENTOFERRY_ENTRY_RUN_HPP

#include <string>

namespace pimentoferry::entry {

struct run_options {
    std::string settings_file_;
    std::string state_file_; ///< Temporary aid until tickets are connected.
};

inline constexpr int exit_done = 0;
inline constexpr int exit_failed = 1;
inline constexpr int exit_usage = 2;
inline constexpr int exit_cut_off = 3;

/// Runs until SIGTERM or SIGINT and returns the exit code: 0 after a complete
/// drain, 1 when the entry cannot start, 2 for a wrong settings file, 3 when
/// requests were cut off.
int run(const run_options& options);

} // namespace pimentoferry::entry

#endif
