/// Validation rules for texts and numbers in the configuration. Internal to
/// `config`.
#ifndef PIMENTOFERRY_CONFIG_TEXT_RULES_HPP
#define PIMENTOFERRY_CONFIG_TEXT_RULES_HPP

#include "pimentoferry/base/ids.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace pimentoferry::config::internal {

/// A predicate on a text and its description for error messages.
struct text_rule {
    bool (*accepts_)(std::string_view text);
    std::string_view allowed_;
};

struct number_range {
    std::uint64_t min_{0};
    std::uint64_t max_{0};
};

struct real_range {
    double min_{0};
    double max_{0};
};

extern const text_rule object_name;
extern const text_rule optional_name;
extern const text_rule model_name;
extern const text_rule optional_model_name;
extern const text_rule free_text;
extern const text_rule required_text;
extern const text_rule key_digest;
extern const text_rule http_method;
extern const text_rule path_prefix;
extern const text_rule scheduler_name;
extern const text_rule log_level;

inline constexpr std::string_view allowed_endpoint =
    "an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8080";

/// Parses an IPv4 address and a port; nullopt when malformed or the port is 0.
std::optional<base::endpoint> parse_endpoint(std::string_view text);

} // namespace pimentoferry::config::internal

#endif
