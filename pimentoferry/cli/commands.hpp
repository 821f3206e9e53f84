/// Commands of the program. Each returns the exit code of the process.
#ifndef PIMENTOFERRY_CLI_COMMANDS_HPP
#define PIMENTOFERRY_CLI_COMMANDS_HPP

#include "pimentoferry/cli/arguments.hpp"

namespace pimentoferry::cli {

int run_check_settings(const arguments& args);
int run_ticket(const arguments& args);
int run_status(const arguments& args);
int run_drain(const arguments& args);
int run_entry(const arguments& args);
int run_gateway(const arguments& args);
int run_check_gateway(const arguments& args);
int run_check_configuration(const arguments& args);

} // namespace pimentoferry::cli

#endif
