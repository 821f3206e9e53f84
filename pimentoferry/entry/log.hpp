/// Imports the log functions into this namespace.
#ifndef PIMENTOFERRY_ENTRY_LOG_HPP
#define PIMENTOFERRY_ENTRY_LOG_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/log/log.hpp"

#include <string>

namespace pimentoferry::entry {

using log::configure_log;
using log::format_line;
using log::log_debug;
using log::log_error;
using log::log_info;
using log::log_value;
using log::log_values;
using log::log_warn;

inline std::string log_id(base::request_id id) {
    return base::to_hex(id.value_);
}

} // namespace pimentoferry::entry

#endif
