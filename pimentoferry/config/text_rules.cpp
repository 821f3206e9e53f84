#include "pimentoferry/config/text_rules.hpp"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <string>

namespace pimentoferry::config::internal {
namespace {

constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_text_bytes = 1000;
constexpr std::size_t digest_digits = 64;

bool is_letter_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c >= '0' && c <= '9');
}

bool consists_of(std::string_view text, std::string_view extra_chars) {
    return std::all_of(text.begin(), text.end(), [&](char c) {
        return is_letter_or_digit(c) ||
               extra_chars.find(c) != std::string_view::npos;
    });
}

bool is_name(std::string_view text, std::string_view extra_chars) {
    return !text.empty() && text.size() <= max_name_bytes &&
           consists_of(text, extra_chars);
}

bool is_object_name(std::string_view text) {
    return is_name(text, "._-");
}

bool is_model_name(std::string_view text) {
    return is_name(text, "._-:/@+");
}

bool is_within_text_limit(std::string_view text) {
    return text.size() <= max_text_bytes;
}

bool is_lower_hex(std::string_view text) {
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_method(std::string_view text) {
    constexpr std::array<std::string_view, 6> methods{"GET", "HEAD",  "POST",
                                                      "PUT", "PATCH", "DELETE"};
    return std::find(methods.begin(), methods.end(), text) != methods.end();
}

bool is_path(std::string_view text) {
    const auto printable = [](char c) { return c > ' ' && c < '\x7F'; };
    return !text.empty() && text.front() == '/' && is_within_text_limit(text) &&
           std::all_of(text.begin(), text.end(), printable);
}

bool is_scheduler(std::string_view text) {
    constexpr std::array<std::string_view, 4> names{
        "reserved", "round_robin", "least_load", "prefill_first"};
    return std::find(names.begin(), names.end(), text) != names.end();
}

bool is_log_level(std::string_view text) {
    constexpr std::array<std::string_view, 6> names{"trace", "debug", "info",
                                                    "warn",  "error", "off"};
    return std::find(names.begin(), names.end(), text) != names.end();
}

} // namespace

const text_rule object_name{
    is_object_name, "1 to 64 letters, digits, dots, dashes and underscores"};

const text_rule optional_name{
    [](std::string_view text) { return text.empty() || is_object_name(text); },
    "empty, or 1 to 64 letters, digits, dots, dashes and underscores"};

const text_rule model_name{is_model_name,
                           "1 to 64 letters, digits and any of . _ - : / @ +"};

const text_rule optional_model_name{
    [](std::string_view text) { return text.empty() || is_model_name(text); },
    "empty, or 1 to 64 letters, digits and any of . _ - : / @ +"};

const text_rule free_text{is_within_text_limit, "a text of at most 1000 bytes"};

const text_rule required_text{[](std::string_view text) {
                                  return !text.empty() &&
                                         is_within_text_limit(text);
                              },
                              "a text of 1 to 1000 bytes"};

const text_rule key_digest{[](std::string_view text) {
                               return text.size() == digest_digits &&
                                      is_lower_hex(text);
                           },
                           "64 lower-case hexadecimal digits"};

const text_rule http_method{is_method, "GET, HEAD, POST, PUT, PATCH or DELETE"};

const text_rule path_prefix{is_path,
                            "a path that begins with / and has no spaces"};

const text_rule scheduler_name{
    is_scheduler, "reserved, round_robin, least_load or prefill_first"};

const text_rule log_level{is_log_level,
                          "trace, debug, info, warn, error or off"};

std::optional<base::endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string ip{text.substr(0, colon)};
    const auto port_text = text.substr(colon + 1);
    const char* const port_end = port_text.data() + port_text.size();
    std::uint16_t port = 0;
    const auto parsed = std::from_chars(port_text.data(), port_end, port);
    in_addr ignored{};
    if (parsed.ec != std::errc{} || parsed.ptr != port_end || port == 0 ||
        inet_pton(AF_INET, ip.c_str(), &ignored) != 1) {
        return std::nullopt;
    }
    return base::endpoint{ip, port};
}

} // namespace pimentoferry::config::internal
