/// Why a request was refused, in the form that callers receive.
///
///     base::refusal r{base::refusal_code::overloaded,
///                     base::ran_state::not_run, std::chrono::seconds{1}};
///     http_status(r.code_);   // 503
///
/// `not_run` is a guarantee: it is reported only when no upstream was sent the
/// request. Any less certain outcome is reported as `unknown`.
#ifndef PIMENTOFERRY_BASE_REFUSAL_HPP
#define PIMENTOFERRY_BASE_REFUSAL_HPP

#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoferry::base {

/// Stable codes, documented for callers and operators in `docs/refusals.md`.
enum class refusal_code : std::uint8_t {
    malformed_request,
    body_too_large,
    unauthorized,
    forbidden,
    unknown_deployment,
    unknown_service,
    unknown_call,
    key_required,
    key_malformed,
    key_expired,
    key_reused,
    in_progress,
    result_lost,
    overloaded,
    caller_limit,
    no_upstream,
    upstream_failed,
    upstream_timeout,
    upstream_limited,
    quarantined,
    draining,
    isolated,
    no_configuration,
    store_unavailable,
    not_owner,
    internal_error,
    quota_unknown,
    configuration_unreadable,
};

/// Number of refusal codes; the codes are 0 to this minus one.
inline constexpr std::size_t refusal_code_count = 28;

/// Whether the refused request was executed.
enum class ran_state : std::uint8_t {
    not_run, ///< Certain: no upstream was sent the request.
    unknown, ///< It may have been executed, wholly or in part.
};

/// A typed refusal. `retry_after_` is absent where a retry cannot help.
struct refusal {
    refusal_code code_{refusal_code::internal_error};
    ran_state ran_{ran_state::unknown};
    std::optional<milliseconds> retry_after_;
    std::string detail_; ///< A sentence for people; programs don't parse it.
};

/// The stable text of a code, such as `key_required`.
std::string_view to_string(refusal_code code);

/// `not_run` or `unknown`.
std::string_view to_string(ran_state ran);

/// HTTP status that carries the code.
int http_status(refusal_code code);

} // namespace pimentoferry::base

#endif
