/// Parses the platform's list of instances, which lags behind their state.
#ifndef PIMENTOFERRY_ENTRY_PLATFORM_LIST_HPP
#define PIMENTOFERRY_ENTRY_PLATFORM_LIST_HPP

#include "pimentoferry/base/ids.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace pimentoferry::entry {

struct platform_instance {
    std::string name_;
    base::endpoint address_;
    bool leaving_{false};
};

/// Returns nothing if the body is not such a list. Items without a name or a
/// valid address are skipped.
std::optional<std::vector<platform_instance>>
parse_instances(std::string_view body);

} // namespace pimentoferry::entry

#endif
