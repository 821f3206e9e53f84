/// Structured log lines: `event=place request=00ab... engine=prefill-1`.
///
///     log_info("refuse", {{"request", id}, {"code", "overloaded"}});
///
/// Values with spaces, quotes or equals signs are quoted, so that a line can
/// be split again.
#ifndef PIMENTOFERRY_ENTRY_LOG_HPP
#define PIMENTOFERRY_ENTRY_LOG_HPP

#include "pimentoferry/base/ids.hpp"

#include <initializer_list>
#include <string>
#include <string_view>

namespace pimentoferry::entry {

struct log_value {
    std::string_view key_;
    std::string value_;
};

using log_values = std::initializer_list<log_value>;

/// Sets the level (`debug`, `info`, `warn`, `error`) and the output, stderr.
void configure_log(const std::string& level, const std::string& entry_name);

void log_debug(std::string_view event, log_values values);
void log_info(std::string_view event, log_values values);
void log_warn(std::string_view event, log_values values);
void log_error(std::string_view event, log_values values);

/// The text of one line without time and level.
std::string format_line(std::string_view event, log_values values);

inline std::string log_id(base::request_id id) {
    return base::to_hex(id.value_);
}

} // namespace pimentoferry::entry

#endif
