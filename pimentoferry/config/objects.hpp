/// Describes the JSON fields of every object. Each field is named once, for
/// both reading and writing. Internal to `config`; C++17 only, because it
/// includes cxxtools.
#ifndef PIMENTOFERRY_CONFIG_OBJECTS_HPP
#define PIMENTOFERRY_CONFIG_OBJECTS_HPP

#include "pimentoferry/config/gateway_settings.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/config/writer.hpp"

#include <cstdint>
#include <limits>

namespace pimentoferry::config::internal {

inline constexpr std::uint64_t max_uint32 =
    std::numeric_limits<std::uint32_t>::max();
inline constexpr std::uint64_t ms_per_minute = 60000;
inline constexpr std::uint64_t ms_per_day = 1440 * ms_per_minute;
inline constexpr number_range request_duration{1, 5 * ms_per_minute};

/// The last parameter selects the overload. `Object` is its type, const when
/// writing.
template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const model_target&) {
    fields.required("model", value.model_, model_name);
    fields.optional("adapter", value.adapter_, optional_model_name);
    fields.required("version", value.version_, model_name);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const caller_target&) {
    fields.required("callers", value.callers_, object_name);
    fields.required("target", value.target_, described{});
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const deployment&) {
    constexpr number_range token_interval{1, 10000};
    constexpr number_range output_tokens{1, 1000000};
    constexpr number_range priority{0, 255};
    fields.required("name", value.name_, object_name);
    fields.required("target", value.target_, described{});
    fields.optional("overrides", value.overrides_, described{});
    fields.optional("callers", value.callers_, object_name);
    fields.optional("first_token_target_ms", value.first_token_target_,
                    request_duration);
    fields.optional("token_interval_target_ms", value.token_interval_target_,
                    token_interval);
    fields.optional("patience_ms", value.patience_, request_duration);
    fields.optional("max_output_tokens", value.max_output_tokens_,
                    output_tokens);
    fields.optional("priority", value.priority_, priority);
    fields.optional("deterministic", value.deterministic_);
    fields.optional("policy", value.policy_, scheduler_name);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const service_call&) {
    fields.required("method", value.method_, http_method);
    fields.required("path_prefix", value.path_prefix_, path_prefix);
    fields.optional("idempotent", value.idempotent_);
    fields.optional("timeout_ms", value.timeout_, request_duration);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const service&) {
    fields.required("name", value.name_, object_name);
    fields.required("calls", value.calls_, described{});
    fields.optional("callers", value.callers_, object_name);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const caller&) {
    fields.required("name", value.name_, object_name);
    fields.required("key_sha256", value.key_sha256_, key_digest);
    fields.optional("max_in_flight", value.max_in_flight_,
                    number_range{0, max_uint32});
}

template <class Fields, class Object>
void describe_engine(Fields& fields, Object& value) {
    static const enum_names<engine_role> roles{
        {"prefill", engine_role::prefill}, {"decode", engine_role::decode}};
    constexpr number_range slots{1, 100000};
    fields.required("deployment", value.deployment_, object_name);
    if constexpr (!Fields::writes) {
        value.cell_.value_ = value.deployment_.value_;
    }
    fields.optional("cell", value.cell_, object_name);
    fields.required("role", value.role_, roles);
    fields.optional("checks_fencing", value.checks_fencing_);
    fields.optional("slots", value.slots_, slots);
    fields.optional("pieces", value.kv_blocks_, number_range{0, max_uint32});
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const upstream&) {
    static const enum_names<upstream_kind> kinds{
        {"engine", upstream_kind::engine}, {"service", upstream_kind::service}};
    static const enum_names<upstream_state> states{
        {"joining", upstream_state::joining},
        {"serving", upstream_state::serving},
        {"leaving", upstream_state::leaving}};
    fields.required("name", value.name_, object_name);
    fields.required("kind", value.kind_, kinds);
    fields.required("address", value.address_);
    fields.required("failure_domain", value.failure_domain_, object_name);
    fields.optional("state", value.state_, states);
    if (value.kind_ == upstream_kind::engine) {
        describe_engine(fields, value);
    } else {
        fields.required("service", value.service_, object_name);
    }
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const policy&) {
    constexpr number_range percent{0, 100};
    constexpr number_range loads{1, 1000};
    constexpr number_range window{ms_per_minute, 7 * ms_per_day};
    fields.optional("waste_weight", value.waste_weight_, real_range{0, 1});
    fields.optional("retry_percent", value.retry_percent_, percent);
    fields.optional("parallel_loads", value.parallel_loads_, loads);
    fields.optional("once_window_ms", value.once_window_, window);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const ticket&) {
    constexpr number_range numbers{1, std::numeric_limits<std::int64_t>::max()};
    fields.required("number", value.number_, numbers);
    fields.required("operator", value.operator_, required_text);
    fields.optional("reason", value.reason_, free_text);
    fields.required("nonce", value.nonce_, object_name);
    fields.optional("deployments", value.deployments_, described{});
    fields.optional("services", value.services_, described{});
    fields.optional("callers", value.callers_, described{});
    fields.optional("upstreams", value.upstreams_, described{});
    fields.optional("policy", value.policy_, described{});
    fields.optional("remove", value.remove_);
}

/// A state whose maps are lists, as in its JSON form.
struct state_lists {
    std::vector<deployment> deployments_;
    std::vector<service> services_;
    std::vector<caller> callers_;
    std::vector<upstream> upstreams_;
    policy policy_;
};

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const state_lists&) {
    fields.optional("deployments", value.deployments_, described{});
    fields.optional("services", value.services_, described{});
    fields.optional("callers", value.callers_, described{});
    fields.optional("upstreams", value.upstreams_, described{});
    fields.optional("policy", value.policy_, described{});
}

template <class Fields, class Object>
void describe_fields(Fields& fields,
                     Object& value,
                     const other_domain_settings&) {
    constexpr number_range duration{0, 60'000};
    fields.optional("delay_ms", value.delay_, duration);
    fields.optional("worth_ms", value.worth_, duration);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const quota_settings&) {
    constexpr real_range window{0.1, 3600};
    constexpr real_range overage{0, 1};
    constexpr real_range slack{0, 1e12};
    fields.required("window_s", value.window_, window);
    fields.optional("overage", value.overage_, overage);
    fields.optional("slack", value.slack_, slack);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const retry_settings&) {
    constexpr real_range ratio{0, 1};
    constexpr real_range window{0.1, 3600};
    constexpr number_range constant{0, max_uint32};
    fields.required("ratio", value.ratio_, ratio);
    fields.required("constant", value.constant_, constant);
    fields.required("window_s", value.window_, window);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const gateway_settings&) {
    constexpr real_range seconds{0.1, 3600};
    constexpr real_range share{0.001, 1024};
    fields.required("name", value.name_, object_name);
    fields.required("failure_domain", value.failure_domain_, object_name);
    fields.required("region", value.region_, object_name);
    fields.required("traffic_address", value.traffic_address_);
    fields.required("readiness_address", value.readiness_address_);
    fields.required("directory_address", value.directory_address_);
    fields.required("peer_address", value.peer_address_);
    fields.optional("metrics_address", value.metrics_address_);
    fields.optional("peers", value.peers_);
    fields.required("store_address", value.store_address_);
    fields.required("fleet_key", value.fleet_key_, key_digest);
    fields.optional("processor_share", value.processor_share_, share);
    constexpr real_range bandwidth{0, 1e6};
    fields.optional("link_mbps", value.link_mbps_, bandwidth);
    fields.optional("memory_mb", value.memory_mb_, number_range{0, max_uint32});
    fields.required("drain_limit_s", value.drain_limit_, seconds);
    fields.required("address_ttl_s", value.address_ttl_, seconds);
    fields.required("retries", value.retries_, described{});
    static const enum_names<placement_mode> modes{
        {"local", placement_mode::local},
        {"owner", placement_mode::owner},
        {"auto", placement_mode::automatic}};
    fields.optional("call_placement", value.call_placement_, modes);
    fields.optional("other_domains", value.other_domains_, described{});
    fields.optional("quotas", value.quotas_, described{});
    fields.optional("log_level", value.log_level_, log_level);
}

template <class Fields, class Object>
void describe_fields(Fields& fields, Object& value, const settings&) {
    static const enum_names<partition_policy> policies{
        {"refuse", partition_policy::refuse},
        {"serve", partition_policy::serve}};
    constexpr number_range threads{1, 256};
    constexpr number_range shards{1, 1024};
    constexpr number_range drain{0, 60 * ms_per_minute};
    fields.required("name", value.name_, object_name);
    fields.required("failure_domain", value.failure_domain_, object_name);
    fields.required("region", value.region_, object_name);
    fields.required("traffic_address", value.traffic_address_);
    fields.required("admin_address", value.admin_address_);
    fields.required("peer_address", value.peer_address_);
    fields.optional("peers", value.peers_);
    fields.required("store_address", value.store_address_);
    fields.optional("instance_list_address", value.instance_list_address_);
    fields.required("fleet_key", value.fleet_key_, key_digest);
    fields.optional("admin_token", value.admin_token_, free_text);
    fields.optional("traffic_threads", value.traffic_threads_, threads);
    fields.optional("once_shards", value.once_shards_, shards);
    fields.optional("drain_limit_ms", value.drain_limit_, drain);
    fields.optional("partition_policy", value.partition_policy_, policies);
    fields.optional("log_level", value.log_level_, log_level);
}

template <class Fields, class Object>
void describe(Fields& fields, Object& value) {
    describe_fields(fields, value, value);
}

} // namespace pimentoferry::config::internal

#endif
