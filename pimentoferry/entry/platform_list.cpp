#include "pimentoferry/entry/platform_list.hpp"

#include "pimentoferry/entry/registration.hpp"
#include "pimentoferry/http/json.hpp"

namespace pimentoferry::entry {

std::optional<std::vector<platform_instance>>
parse_instances(std::string_view body) {
    using http::string_member;
    const auto parsed = http::parse_object(body);
    if (!parsed || !(*parsed)["instances"].isArray()) {
        return std::nullopt;
    }
    std::vector<platform_instance> result;
    for (const auto& item : (*parsed)["instances"]) {
        if (!item.isObject()) {
            continue;
        }
        const auto address = parse_endpoint(string_member(item, "address"));
        const auto name = string_member(item, "name");
        if (address && !name.empty()) {
            result.push_back(
                {name, *address, string_member(item, "state") == "leaving"});
        }
    }
    return result;
}

} // namespace pimentoferry::entry
