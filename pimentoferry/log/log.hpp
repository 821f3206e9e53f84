/// Structured log lines on standard output:
/// `event=place request=00ab... engine=prefill-1`.
///
///     log::configure_log("info", "entry-1");
///     log::log_info("refuse", {{"request", id}, {"code", "overloaded"}});
///
/// Empty values and values with spaces, quotes, backslashes or equals signs are
/// quoted, so that a line can be parsed.
///
/// Logging is bounded and never blocks: lines that exceed the rate limit, and
/// lines that the output does not accept because its reader is slow, are
/// dropped and counted. The line `event=log_dropped lines=N` precedes the next
/// line that can be written.
#ifndef PIMENTOFERRY_LOG_LOG_HPP
#define PIMENTOFERRY_LOG_LOG_HPP

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace pimentoferry::log {

struct log_value {
    std::string_view key_;
    std::string value_;
};

using log_values = std::initializer_list<log_value>;

/// Sets the level (`debug`, `info`, `warn`, `error`) and the name of the
/// process that each line carries.
void configure_log(const std::string& level, const std::string& process_name);

void log_debug(std::string_view event, log_values values);
void log_info(std::string_view event, log_values values);
void log_warn(std::string_view event, log_values values);
void log_error(std::string_view event, log_values values);

/// Formats one line without time, level and process name.
std::string format_line(std::string_view event, log_values values);

/// Lines dropped since the start.
std::uint64_t dropped_lines();

} // namespace pimentoferry::log

#endif
