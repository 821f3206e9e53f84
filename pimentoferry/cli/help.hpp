/// Help texts of the commands.
#ifndef PIMENTOFERRY_CLI_HELP_HPP
#define PIMENTOFERRY_CLI_HELP_HPP

#include <string>
#include <vector>

namespace pimentoferry::cli {

/// Returns the help of the command that the words name, or the general help.
std::string help_text(const std::vector<std::string>& words);

} // namespace pimentoferry::cli

#endif
