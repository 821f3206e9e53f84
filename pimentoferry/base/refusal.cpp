#include "pimentoferry/base/refusal.hpp"

#include <array>
#include <cstddef>

namespace pimentoferry::base {

namespace {

struct code_entry {
    refusal_code code_;
    std::string_view text_;
    int status_;
};

// Indexed by the numeric value of the code; `refusal_test` checks the order.
constexpr std::array<code_entry, refusal_code_count> code_table{{
    {refusal_code::malformed_request, "malformed_request", 400},
    {refusal_code::body_too_large, "body_too_large", 413},
    {refusal_code::unauthorized, "unauthorized", 401},
    {refusal_code::forbidden, "forbidden", 403},
    {refusal_code::unknown_deployment, "unknown_deployment", 404},
    {refusal_code::unknown_service, "unknown_service", 404},
    {refusal_code::unknown_call, "unknown_call", 404},
    {refusal_code::key_required, "key_required", 400},
    {refusal_code::key_malformed, "key_malformed", 400},
    {refusal_code::key_expired, "key_expired", 409},
    {refusal_code::key_reused, "key_reused", 422},
    {refusal_code::in_progress, "in_progress", 409},
    {refusal_code::result_lost, "result_lost", 409},
    {refusal_code::overloaded, "overloaded", 503},
    {refusal_code::caller_limit, "caller_limit", 429},
    {refusal_code::no_upstream, "no_upstream", 503},
    {refusal_code::upstream_failed, "upstream_failed", 502},
    {refusal_code::upstream_timeout, "upstream_timeout", 504},
    {refusal_code::upstream_limited, "upstream_limited", 503},
    {refusal_code::quarantined, "quarantined", 503},
    {refusal_code::draining, "draining", 503},
    {refusal_code::isolated, "isolated", 503},
    {refusal_code::no_configuration, "no_configuration", 503},
    {refusal_code::store_unavailable, "store_unavailable", 503},
    {refusal_code::not_owner, "not_owner", 503},
    {refusal_code::internal_error, "internal_error", 500},
    {refusal_code::quota_unknown, "quota_unknown", 503},
    {refusal_code::configuration_unreadable, "configuration_unreadable", 503},
}};

const code_entry& entry_of(refusal_code code) {
    return code_table.at(static_cast<std::size_t>(code));
}

} // namespace

std::string_view to_string(refusal_code code) {
    return entry_of(code).text_;
}

std::string_view to_string(ran_state ran) {
    return ran == ran_state::not_run ? "not_run" : "unknown";
}

int http_status(refusal_code code) {
    return entry_of(code).status_;
}

} // namespace pimentoferry::base
