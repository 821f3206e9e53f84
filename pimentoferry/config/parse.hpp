/// Reads settings, tickets and states from JSON with comments, and writes
/// tickets and states in a canonical form.
///
///     auto result = config::parse_ticket(text, "ticket 17");
///     if (const auto* error = std::get_if<config::config_error>(&result)) {
///         report(config::to_string(*error));
///     }
///
/// A result is either a complete value or the first error, never a partly
/// filled value. Field names are the member names without the trailing
/// underscore; durations are whole milliseconds in fields that end in `_ms`;
/// addresses are written `"127.0.0.1:8080"`. Unknown and repeated fields are
/// errors. References between objects are not checked here, see `check.hpp`.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_PARSE_HPP
#define PIMENTOFERRY_CONFIG_PARSE_HPP

#include "pimentoferry/config/error.hpp"
#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/config/state.hpp"

#include <string>
#include <string_view>

namespace pimentoferry::config {

/// `source` names the text in errors, for example a file name.
parsed<settings> parse_settings(std::string_view text, std::string_view source);
parsed<gateway_settings> parse_gateway_settings(std::string_view text,
                                                std::string_view source);
parsed<ticket> parse_ticket(std::string_view text, std::string_view source);
parsed<state> parse_state(std::string_view text, std::string_view source);

/// Canonical JSON on one line: equal values give equal texts, fields are in
/// the order of the members, and parsing the text gives the value back.
std::string to_json(const ticket& value);
std::string to_json(const state& value);
std::string to_json(const deployment& value);
std::string to_json(const service& value);
std::string to_json(const caller& value);
std::string to_json(const upstream& value);
std::string to_json(const policy& value);

} // namespace pimentoferry::config

#endif
