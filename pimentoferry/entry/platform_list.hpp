/// The platform's lagging list of instances.
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

/// Nothing when the body is not such a list; entries without a name or an
/// address are left out.
std::optional<std::vector<platform_instance>>
parse_instances(std::string_view body);

} // namespace pimentoferry::entry

#endif
