#include "pimentoferry/config/objects.hpp"
#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/parse.hpp"

#include <cxxtools/jsonserializer.h>

#include <algorithm>
#include <sstream>

namespace pimentoferry::config {
namespace internal {

void write(json& out, const object_ref& value) {
    out.setValue(to_string(value));
}

} // namespace internal

namespace {

template <class T>
std::string serialize(const T& value) {
    internal::json tree;
    internal::write(tree, value, internal::described{});
    std::ostringstream out;
    cxxtools::JsonSerializer serializer{out};
    serializer.beautify(false);
    serializer.serialize(tree);
    serializer.finish();
    return out.str();
}

template <class Map>
auto values_of(const Map& objects) {
    std::vector<typename Map::mapped_type> values;
    values.reserve(objects.size());
    for (const auto& [name, object] : objects) {
        values.push_back(object);
    }
    return values;
}

} // namespace

std::string to_json(const ticket& value) {
    return serialize(value);
}

std::string to_json(const state& value) {
    return serialize(internal::state_lists{
        values_of(value.deployments_), values_of(value.services_),
        values_of(value.callers_), values_of(value.upstreams_), value.policy_});
}

std::string to_json(const deployment& value) {
    return serialize(value);
}

std::string to_json(const service& value) {
    return serialize(value);
}

std::string to_json(const caller& value) {
    return serialize(value);
}

std::string to_json(const upstream& value) {
    return serialize(value);
}

std::string to_json(const policy& value) {
    return serialize(value);
}

} // namespace pimentoferry::config
