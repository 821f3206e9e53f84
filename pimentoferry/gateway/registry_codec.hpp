/// Functions by which an adapter decodes the registry in the store: the
/// configuration and the registrations of instances.
#ifndef PIMENTOFERRY_GATEWAY_REGISTRY_CODEC_HPP
#define PIMENTOFERRY_GATEWAY_REGISTRY_CODEC_HPP

#include "pimentoferry/routing/configuration.hpp"
#include "pimentoferry/routing/instance_table.hpp"

#include <functional>
#include <string>
#include <string_view>
#include <variant>

namespace pimentoferry::gateway {

/// The value cannot be decoded.
struct unreadable {
    std::string reason_;
};

struct registry_codec {
    std::string configuration_key_;
    /// Prefix of registration keys; the rest of a key is the instance's id.
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
