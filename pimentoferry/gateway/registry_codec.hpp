/// How the registry in the store is read: the configuration and the
/// registrations of instances.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRY_CODEC_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRY_CODEC_HPP

#include "pimentoferry/routing/configuration.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoferry::gateway {

/// The value cannot be used.
struct unreadable {
    std::string reason_;
};

struct registry_codec {
    std::string configuration_key_;
    /// The rest of a key below it is the id of an instance.
    std::string instance_prefix_;
    std::function<std::variant<routing::configuration, unreadable>(
        std::string_view value)>
        read_configuration_;
    std::function<std::variant<routing::instance, unreadable>(
        std::string_view id, std::string_view value)>
        read_instance_;
};

} // namespace pimentoferry::gateway

#endif
