/// Reports the signal that ends the process.
#ifndef PIMENTOFERRY_CLI_FATAL_SIGNALS_HPP
#define PIMENTOFERRY_CLI_FATAL_SIGNALS_HPP

#include <string_view>

namespace pimentoferry::cli {

/// Makes SIGSEGV, SIGBUS, SIGFPE, SIGILL and SIGABRT write one line to standard
/// output before they end the process, such as
///
///     level=critical event=fatal_signal signal=SIGSEGV version=0.1.0
///     build=7f3a
///
/// `build`: the GNU build id of the program in hexadecimal digits, or
/// `unknown`. The default action follows, so a supervisor sees the signal as
/// the exit. `version` must outlive the process.
void report_fatal_signals(std::string_view version);

} // namespace pimentoferry::cli

#endif
