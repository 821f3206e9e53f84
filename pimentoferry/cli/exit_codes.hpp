/// Exit codes of the program; `docs/cli.md` lists them for operators.
#ifndef PIMENTOFERRY_CLI_EXIT_CODES_HPP
#define PIMENTOFERRY_CLI_EXIT_CODES_HPP

namespace pimentoferry::cli {

inline constexpr int exit_ok = 0;
/// The command was valid but was refused, or a check failed.
inline constexpr int exit_refused = 1;
/// The command line is invalid.
inline constexpr int exit_usage = 2;
/// `check-configuration`: a file cannot be read.
inline constexpr int exit_unreadable = 2;
/// A drain reached its time limit and aborted the remaining requests.
inline constexpr int exit_cut_off = 3;
/// No response arrived; whether the command took effect is unknown.
inline constexpr int exit_no_answer = 4;

} // namespace pimentoferry::cli

#endif
