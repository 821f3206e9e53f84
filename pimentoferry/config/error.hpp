/// Error type of the functions that read or check configuration.
#ifndef PIMENTOFERRY_CONFIG_ERROR_HPP
#define PIMENTOFERRY_CONFIG_ERROR_HPP

#include <string>
#include <variant>

namespace pimentoferry::config {

/// An invalid value, its location and the allowed values.
struct config_error {
    std::string source_; ///< Name of the text, such as a file name.
    /// Line of a syntax error; 0 when only the field is known.
    unsigned line_{0};
    std::string field_;   ///< Path such as `upstreams[2].address`.
    std::string value_;   ///< The value as read, truncated when long.
    std::string allowed_; ///< Description of the allowed values.
};

/// Returns one line, such as
/// `fleet.json: upstreams[2].address: "x"; allowed: ...`.
std::string to_string(const config_error& error);

/// Either a complete value or the first error.
template <class T>
using parsed = std::variant<T, config_error>;

} // namespace pimentoferry::config

#endif
