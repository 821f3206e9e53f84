/// Reaches the administration interface named on the command line.
#ifndef PIMENTOFERRY_CLI_ADMIN_ACCESS_HPP
#define PIMENTOFERRY_CLI_ADMIN_ACCESS_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/cli/arguments.hpp"

#include <optional>
#include <string>
#include <variant>

namespace pimentoferry::cli {

/// Reads a whole file; empty when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Prints `message` as an error and returns `code`.
int fail(int code, const std::string& message);

/// Sends the request; on failure prints why and returns the exit code.
std::variant<admin::admin_answer, int>
call_admin(const arguments& args, const admin::admin_request& request);

/// Prints a refusal of the interface and returns the exit code.
int report_refusal(const admin::admin_answer& answer);

} // namespace pimentoferry::cli

#endif
