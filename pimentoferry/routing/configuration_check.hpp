/// Finds entries of a configuration that have no effect or contradict each
/// other, and what a configuration changes.
///
///     for (const auto& found : find_problems(configuration)) { ... }
///     for (const auto& change : compare(in_force, next)) { ... }
///
/// Neither names a key of an account.
#ifndef PIMENTOFERRY_ROUTING_CONFIGURATION_CHECK_HPP
#define PIMENTOFERRY_ROUTING_CONFIGURATION_CHECK_HPP

#include "pimentoferry/routing/configuration.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::routing {

enum class problem_kind : std::uint8_t {
    unreadable,    ///< It cannot be read; what depends on it is refused.
    no_effect,     ///< The entry can never match or never serves.
    contradiction, ///< Two limits of which one makes the other useless.
};
std::string_view to_string(problem_kind kind);

struct problem {
    problem_kind kind_{problem_kind::no_effect};
    std::string object_; ///< Such as `route r1`.
    std::string name_;   ///< The name alone.
    std::string field_;
    std::string detail_;
};

std::vector<problem> find_problems(const configuration& checked);

enum class change_kind : std::uint8_t { added, removed, changed };
std::string_view to_string(change_kind kind);

struct configuration_change {
    change_kind kind_{change_kind::changed};
    std::string object_;
    std::string field_; ///< Empty for a whole object.
    std::string before_;
    std::string after_;
};

std::vector<configuration_change> compare(const configuration& before,
                                          const configuration& after);

} // namespace pimentoferry::routing

#endif
