/// Calls the administration interface that the command line names.
#ifndef PIMENTOFERRY_CLI_ADMIN_ACCESS_HPP
#define PIMENTOFERRY_CLI_ADMIN_ACCESS_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/cli/arguments.hpp"

#include <optional>
#include <string>
#include <variant>

namespace pimentoferry::cli {

/// Returns the contents of a file, or nullopt when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Prints `message` to standard error and returns the exit code `code`.
int fail(int code, const std::string& message);

/// Sends the request. On failure prints the reason to standard error and
/// returns the exit code.
std::variant<admin::admin_answer, int>
call_admin(const arguments& args, const admin::admin_request& request);

/// Prints an error response to standard error and returns `exit_refused`.
int report_refusal(const admin::admin_answer& answer);

} // namespace pimentoferry::cli

#endif
