/// Configuration state that operators define by change tickets.
///
/// A ticket carries whole objects, and the state in force is the last ticket
/// for each object. Objects are addressed by kind and name.
///
/// The header is valid C++17 because the parser needs that language level.
#ifndef PIMENTOFERRY_CONFIG_STATE_HPP
#define PIMENTOFERRY_CONFIG_STATE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::config {

/// What an engine must have loaded to serve a request.
struct model_target {
    std::string model_;
    std::string adapter_; ///< Empty: the base model.
    std::string version_;
};

/// Overrides the target of a deployment for some of its callers.
struct caller_target {
    std::vector<base::caller_name> callers_;
    model_target target_;
};

/// A model, published under the name that callers request.
struct deployment {
    base::deployment_name name_;
    model_target target_;
    std::vector<caller_target> overrides_;
    std::vector<base::caller_name> callers_; ///< Empty: every caller.
    base::milliseconds first_token_target_{1600};
    base::milliseconds token_interval_target_{74};
    /// How long a caller waits for the first token before it gives up.
    base::milliseconds patience_{10000};
    std::uint32_t max_output_tokens_{1024};
    std::uint8_t priority_{0}; ///< Higher values go first.
    /// The same prompt gives the same tokens on every engine, so that a broken
    /// stream may continue elsewhere.
    bool deterministic_{false};
    std::string policy_{"reserved"}; ///< Name of a scheduler, for comparison.
};

/// One declared call of a plain service.
struct service_call {
    std::string method_;
    std::string path_prefix_;
    bool idempotent_{false};
    base::milliseconds timeout_{10000};
};

struct service {
    base::service_name name_;
    std::vector<service_call> calls_;
    std::vector<base::caller_name> callers_; ///< Empty: every caller.
};

struct caller {
    base::caller_name name_;
    std::string key_sha256_; ///< Lower-case hexadecimal digest of the key.
    std::uint32_t max_in_flight_{0}; ///< 0: no limit.
};

enum class upstream_kind : std::uint8_t { engine, service };
enum class engine_role : std::uint8_t { prefill, decode };
enum class upstream_state : std::uint8_t { joining, serving, leaving };

struct upstream {
    base::upstream_name name_;
    upstream_kind kind_{upstream_kind::engine};
    base::endpoint address_;
    base::failure_domain failure_domain_;
    upstream_state state_{upstream_state::serving};
    base::deployment_name deployment_; ///< Engines only.
    base::cell_name cell_; ///< Engines only; default: the deployment's name.
    engine_role role_{engine_role::decode}; ///< Engines only.
    bool checks_fencing_{false};            ///< Engines only.
    std::uint32_t slots_{20};               ///< Engines only.
    std::uint32_t kv_blocks_{0};            ///< KV memory; 0: as reported.
    base::service_name service_;            ///< Services only.
};

/// Weights and limits that hold for all deployments.
struct policy {
    /// 0: only goodput counts; 1: only wasted prefill counts.
    double waste_weight_{0.5};
    std::uint32_t retry_percent_{10};
    std::uint32_t parallel_loads_{2};
    base::milliseconds once_window_{86400000};
};

/// The complete state in force.
struct state {
    std::map<base::deployment_name, deployment> deployments_;
    std::map<base::service_name, service> services_;
    std::map<base::caller_name, caller> callers_;
    std::map<base::upstream_name, upstream> upstreams_;
    policy policy_;
};

enum class object_kind : std::uint8_t {
    deployment,
    service,
    caller,
    upstream,
    policy,
};

/// Names one object, written `kind/name` (`policy` has no name).
struct object_ref {
    object_kind kind_{object_kind::policy};
    std::string name_;
};

/// A numbered change that carries each object it sets as a whole.
struct ticket {
    std::uint64_t number_{0}; ///< Starts at 1; no gaps.
    std::string operator_;    ///< Author of the ticket.
    std::string reason_;
    std::string nonce_; ///< Identifies the ticket when it is applied again.
    std::vector<deployment> deployments_;
    std::vector<service> services_;
    std::vector<caller> callers_;
    std::vector<upstream> upstreams_;
    std::optional<policy> policy_;
    std::vector<object_ref> remove_;
};

} // namespace pimentoferry::config

#endif
