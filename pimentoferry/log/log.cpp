#include "pimentoferry/log/log.hpp"

#include "pimentoferry/log/stdout_sink.hpp"

#include <spdlog/spdlog.h>

#include <memory>

#include <algorithm>

namespace pimentoferry::log {

namespace {

bool is_control(char c) {
    constexpr char delete_character = 0x7f;
    return static_cast<unsigned char>(c) < ' ' || c == delete_character;
}

std::string quoted(std::string_view value) {
    const bool plain =
        !value.empty() && std::ranges::none_of(value, [](char c) {
            return is_control(c) || c == ' ' || c == '"' || c == '=' ||
                   c == '\\';
        });
    if (plain) {
        return std::string{value};
    }
    std::string text{"\""};
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        // A line break in a value from another process would forge a log line,
        // and an escape sequence would change what a terminal shows.
        text += is_control(c) ? ' ' : c;
    }
    return text + "\"";
}

/// One sink for the life of the process, because it owns standard output.
const std::shared_ptr<internal::stdout_sink>& sink() {
    static const auto instance = std::make_shared<internal::stdout_sink>();
    return instance;
}

void write_line(spdlog::level::level_enum level,
                std::string_view event,
                log_values values) {
    if (spdlog::should_log(level)) {
        spdlog::log(level, "{}", format_line(event, values));
    }
}

} // namespace

void configure_log(const std::string& level, const std::string& process_name) {
    const auto logger = std::make_shared<spdlog::logger>("main", sink());
    logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e level=%l process=" +
                        quoted(process_name) + " %v");
    logger->set_level(spdlog::level::from_str(level));
    spdlog::set_default_logger(logger);
}

std::uint64_t dropped_lines() {
    return sink()->dropped();
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

} // namespace pimentoferry::log
