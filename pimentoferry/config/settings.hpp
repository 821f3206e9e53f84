/// Settings of one entry process, read once at start from a JSON file with
/// comments. Configuration that operators change at run time is in tickets
/// instead.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_SETTINGS_HPP
#define PIMENTOFERRY_CONFIG_SETTINGS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::config {

/// What an entry does when a network partition may have cut it off.
enum class partition_policy : std::uint8_t { refuse, serve };

struct settings {
    std::string name_; ///< Name of this entry, unique in the fleet.
    base::failure_domain failure_domain_;
    std::string region_;
    base::endpoint traffic_address_; ///< Callers connect here.
    base::endpoint admin_address_;
    base::endpoint peer_address_;
    std::vector<base::endpoint> peers_; ///< Peer addresses of other entries.
    base::endpoint store_address_;
    std::optional<base::endpoint> instance_list_address_;
    std::string fleet_key_;   ///< 64 hexadecimal digits; signs peer frames.
    std::string admin_token_; ///< Required from operators when not empty.
    std::uint32_t traffic_threads_{1};
    std::uint32_t once_shards_{8}; ///< Must be the same in the whole fleet.
    base::milliseconds drain_limit_{600000};
    partition_policy partition_policy_{partition_policy::refuse};
    std::string log_level_{"info"};
};

} // namespace pimentoferry::config

#endif
