/// The routing configuration of a gateway: which service serves a request, and
/// how the request may be treated.
///
/// A configuration is complete and versioned; a later version replaces it as a
/// whole. The types are plain data, filled by the code that reads the source of
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

/// Whether a call may be repeated.
enum class call_kind : std::uint8_t {
    idempotent,     ///< May run more than once.
    non_idempotent, ///< Runs at most once.
    stream,         ///< Answered by events; repeatable only if resumable.
};

/// A service and its weight in the traffic of a route.
struct traffic_share {
    base::service_name service_;
    double weight_{0}; ///< Finite, not negative.
};

struct route {
    std::string name_;
    std::string host_;        ///< In lower case, without a port.
    std::string path_prefix_; ///< Begins and ends with a slash.
    call_kind kind_{call_kind::non_idempotent};
    /// Several split the traffic by weight. Without any weight nothing serves.
    std::vector<traffic_share> services_;
    /// Longest time for which a request waits for its response.
    base::milliseconds timeout_{0};
    /// Deadline of a response; of a stream: of its first event.
    base::milliseconds latency_objective_{0};
    /// Longest pause between two events of a stream that meets its objective.
    base::milliseconds gap_objective_{0};
    /// Maximum number of replicas on which an attempt of a caller may run.
    std::uint32_t max_attempts_{1};
    std::uint32_t priority_{0}; ///< 0 is the most urgent.
    /// Whether a request needs no key of a client account.
    bool public_{false};
    /// Whether a broken stream may continue on another engine after the last
    /// event delivered.
    bool resumable_{false};
    /// Its kind, services or timeout cannot be read, so requests that match it
    /// are refused. They are not left to a shorter prefix, which may lead to
    /// another service.
    bool closed_{false};
};

/// Properties that all engines of a service share.
struct engine_traits {
    std::uint32_t slots_{0};
    std::uint64_t kv_tokens_{0}; ///< KV memory of an engine, in tokens.
    std::uint32_t kv_token_bytes_{0};
    std::uint32_t tokens_per_event_{1};
    /// Time for which a prefill result is kept for its transfer.
    base::milliseconds handle_ttl_{0};
    /// Time for which an engine that changes its role is out of service.
    base::milliseconds role_change_{0};
    /// Longest time for which a decode slot can be reserved.
    base::milliseconds reservation_limit_{0};
};

struct service {
    base::service_name name_;
    std::string health_path_;
    /// Connections that a replica accepts from all its clients together.
    std::uint32_t max_connections_{0};
    std::optional<engine_traits> engine_; ///< Unset for a plain service.
    /// It cannot be told what its replicas are, so its requests are refused.
    bool closed_{false};
};

/// Limits on the requests of a caller.
struct caller_limits {
    std::size_t header_bytes_{std::size_t{16} << 10};
    std::size_t body_bytes_{std::size_t{4} << 20};
    base::milliseconds header_timeout_{3000};
    base::milliseconds idle_timeout_{15000};
};

/// What a quota counts.
enum class quota_unit : std::uint8_t {
    requests,
    tokens, ///< Prompt tokens and maximum output tokens.
};

/// What an account may use, over all gateways together.
struct account_quota {
    quota_unit unit_{quota_unit::requests};
    double per_second_{0}; ///< In units.
    double burst_{0};      ///< Units that may be used at once in addition.
    /// Units that a request costs which does not state its tokens.
    std::uint32_t plain_cost_{1};
};

/// A customer on whose behalf requests are sent, identified by a key.
struct client_account {
    base::account_name name_;       ///< Empty if it cannot be read.
    std::vector<std::string> keys_; ///< Any of them identifies the account.
    /// Takes precedence over the priority of the route; 0 is the most urgent.
    std::optional<std::uint32_t> priority_;
    std::optional<account_quota> quota_; ///< Unset: no limit.
    /// Its name or quota cannot be read, so its requests are refused.
    bool closed_{false};
};

/// A part of a configuration that cannot be read. The other parts are in force.
struct unread_part {
    std::string object_; ///< Such as `account club` or `account 3`.
    std::string name_;   ///< Of the object; empty if it cannot be read.
    std::string field_;  ///< Empty if it is the whole object.
    std::string detail_; ///< Contains no part of a key.
};

struct configuration {
    std::uint64_t version_{0};
    std::vector<route> routes_;
    std::map<base::service_name, service> services_;
    /// Host or prefix of some route cannot be read. A request that matches no
    /// other route may be one of it.
    bool has_unmatchable_route_{false};
    /// The name of some service cannot be read. One that is missing from
    /// `services_` may be it.
    bool has_unnamed_service_{false};
    caller_limits limits_;
    /// Unset: requests need no key, and fields about accounts have no meaning.
    std::optional<std::vector<client_account>> accounts_;
    std::vector<unread_part> unread_parts_;
};

} // namespace pimentoferry::routing

#endif
