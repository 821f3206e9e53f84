/// Settings of one gateway process, read at start and on SIGHUP from a JSON
/// file with comments. Routes are not part of the settings: they come from
/// the store.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_GATEWAY_SETTINGS_HPP
#define PIMENTOFERRY_CONFIG_GATEWAY_SETTINGS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::config {

using seconds = std::chrono::duration<double>;

/// Retry budget of a service, shared by all gateways: in each window they may
/// cause at most `ratio_` of its requests plus `constant_` retries.
struct retry_settings {
    double ratio_{0};
    std::uint32_t constant_{0};
    seconds window_{0};
};

/// Which gateway chooses the replica of a call to a plain service.
enum class placement_mode : std::uint8_t {
    local, ///< Each chooses for its own callers.
    owner, ///< One chooses for all.
    /// One chooses for all while there are more gateways than places.
    automatic,
};

/// What a call to a replica of another failure domain costs.
struct other_domain_settings {
    base::milliseconds delay_{1}; ///< Of the link, there and back.
    /// The wait of a caller that is accepted to save a transfer between
    /// failure domains.
    base::milliseconds worth_{10};
};

/// How far the use of a client account may exceed its quota in a window, over
/// all gateways.
struct quota_settings {
    seconds window_{0};
    double overage_{0}; ///< Share of what the quota allows in a window.
    double slack_{0};   ///< In units of the quota.
};

struct gateway_settings {
    std::string name_; ///< Name of this gateway, unique in the fleet.
    base::failure_domain failure_domain_;
    std::string region_;
    base::endpoint traffic_address_; ///< Callers connect here.
    base::endpoint readiness_address_;
    base::endpoint directory_address_; ///< Callers request addresses here.
    base::endpoint peer_address_;
    std::optional<base::endpoint> metrics_address_;
    std::vector<base::endpoint> peers_; ///< Peer addresses of some gateways.
    base::endpoint store_address_;
    std::string fleet_key_;     ///< 64 hexadecimal digits; signs peer frames.
    double processor_share_{1}; ///< In cores.
    /// Bandwidth of the machine in Mbit/s; 0: unknown. Gateways with little
    /// processor time or bandwidth do not schedule streams for others.
    double link_mbps_{0};
    /// Memory of the process in MB; 0: unknown. Bounds the bodies of requests
    /// that are held at the same time.
    std::uint32_t memory_mb_{0};
    /// Time from SIGTERM to the forced end of the process.
    seconds drain_limit_{0};
    /// Longest time for which callers may keep a list of addresses.
    seconds address_ttl_{0};
    retry_settings retries_;
    placement_mode call_placement_{placement_mode::local};
    other_domain_settings other_domains_;
    quota_settings quotas_;
    std::string log_level_{"info"};
};

} // namespace pimentoferry::config

#endif
