#include "pimentoferry/entry/log.hpp"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace pimentoferry::entry {

namespace {

std::string quoted(std::string_view value) {
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\r\t\\") ==
                                             std::string_view::npos;
    if (plain) {
        return std::string{value};
    }
    std::string text{"\""};
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        // A control character would let a caller forge a line.
        text += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
    }
    return text + "\"";
}

void write_line(spdlog::level::level_enum level,
                std::string_view event,
                log_values values) {
    if (spdlog::should_log(level)) {
        spdlog::log(level, "{}", format_line(event, values));
    }
}

} // namespace

void configure_log(const std::string& level, const std::string& entry_name) {
    const auto logger = spdlog::stderr_logger_mt("entry");
    logger->set_pattern(
        "%Y-%m-%dT%H:%M:%S.%e level=%l entry=" + quoted(entry_name) + " %v");
    logger->set_level(spdlog::level::from_str(level));
    logger->flush_on(spdlog::level::info);
    spdlog::set_default_logger(logger);
}

std::string format_line(std::string_view event, log_values values) {
    std::string line{"event="};
    line += event;
    for (const auto& value : values) {
        line.append(" ").append(value.key_).append("=");
        line += quoted(value.value_);
    }
    return line;
}

void log_debug(std::string_view event, log_values values) {
    write_line(spdlog::level::debug, event, values);
}

void log_info(std::string_view event, log_values values) {
    write_line(spdlog::level::info, event, values);
}

void log_warn(std::string_view event, log_values values) {
    write_line(spdlog::level::warn, event, values);
}

void log_error(std::string_view event, log_values values) {
    write_line(spdlog::level::err, event, values);
}

} // namespace pimentoferry::entry
