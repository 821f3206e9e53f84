/// The failure type of everything that reads configuration.
#ifndef PIMENTOFERRY_CONFIG_ERROR_HPP
#define PIMENTOFERRY_CONFIG_ERROR_HPP

#include <string>
#include <variant>

namespace pimentoferry::config {

/// What is wrong, where, and what would be right.
struct config_error {
    std::string source_; ///< File name or the like; as given by the reader.
    unsigned line_{0};  ///< Of a syntax error; 0 where only the field is known.
    std::string field_; ///< Path such as `upstreams[2].address`.
    std::string value_; ///< As found, shortened.
    std::string allowed_;
};

/// One line: `fleet.json: upstreams[2].address: "x" is not allowed; ...`.
std::string to_string(const config_error& error);

template <class T>
using parsed = std::variant<T, config_error>;

} // namespace pimentoferry::config

#endif
