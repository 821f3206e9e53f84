/// The routing configuration of a gateway: which request goes to which
/// service, and how it may be treated.
///
/// A configuration is complete and has a version; a later one replaces it as
/// a whole. The types are plain data, filled by whoever reads the source of
/// the configuration.
#ifndef PIMENTOFERRY_ROUTING_CONFIGURATION_HPP
#define PIMENTOFERRY_ROUTING_CONFIGURATION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::routing {

/// What may be repeated.
enum class call_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    stream,         ///< Answered by events; repeatable only if resumable.
};

/// Part of the traffic of a route.
struct traffic_share {
    base::service_name service_;
    std::uint32_t weight_{0};
};

struct route {
    std::string name_;
    std::string host_;        ///< In lower case, without a port.
    std::string path_prefix_; ///< Begins and ends with a slash.
    call_kind kind_{call_kind::non_idempotent};
    /// At least one; more than one splits the traffic by weight.
    std::vector<traffic_share> services_;
    /// How long a request is kept waiting at most.
    base::milliseconds timeout_{0};
    /// An answer (of a stream: the first event) within it is on time.
    base::milliseconds latency_objective_{0};
    /// The longest pause between two events of an answer that is on time.
    base::milliseconds gap_objective_{0};
    /// Replicas on which one attempt of a caller may run.
    std::uint32_t max_attempts_{1};
    std::uint32_t priority_{0}; ///< 0 is the most urgent.
    /// A broken stream may continue elsewhere after the last event delivered.
    bool resumable_{false};
};

/// What all engines of a service have in common.
struct engine_traits {
    std::uint32_t slots_{0};
    std::uint64_t kv_tokens_{0}; ///< KV memory of an engine, in tokens.
    std::uint32_t kv_token_bytes_{0};
    std::uint32_t tokens_per_event_{1};
    /// How long a prefill result is kept for its transfer.
    base::milliseconds handle_ttl_{0};
    /// Time out of service when an engine changes its role.
    base::milliseconds role_change_{0};
    /// Longest time for which a decode place can be reserved.
    base::milliseconds reservation_limit_{0};
};

struct service {
    base::service_name name_;
    std::string health_path_;
    /// Connections that one replica accepts from all its clients together.
    std::uint32_t max_connections_{0};
    std::optional<engine_traits> engine_; ///< None for a plain service.
};

/// Limits on what a caller sends.
struct caller_limits {
    std::size_t header_bytes_{std::size_t{16} << 10};
    std::size_t body_bytes_{std::size_t{4} << 20};
    base::milliseconds header_timeout_{3000};
    base::milliseconds idle_timeout_{15000};
};

struct configuration {
    std::uint64_t version_{0};
    std::vector<route> routes_;
    std::map<base::service_name, service> services_;
    caller_limits limits_;
};

} // namespace pimentoferry::routing

#endif
