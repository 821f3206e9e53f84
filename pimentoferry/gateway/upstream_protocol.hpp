/// The protocols between a gateway and its callers and upstreams.
///
/// The gateway decides and relays; an adapter provides the message formats as a
/// set of stateless functions. Each function translates a single message and
/// must not block.
#ifndef PIMENTOFERRY_GATEWAY_UPSTREAM_PROTOCOL_HPP
#define PIMENTOFERRY_GATEWAY_UPSTREAM_PROTOCOL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/message.hpp"
#include "pimentoferry/placement/events.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace pimentoferry::gateway {

/// Maximum number of parts of a prompt that are looked at.
inline constexpr std::size_t max_prompt_parts = 32;

/// The prompt of a model request.
struct model_prompt {
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    /// The caller's estimate, accurate at the median but often far off; 0:
    /// none.
    std::uint32_t expected_output_tokens_{0};
    /// Identifies the prompt, also when its caller sends it again; 0: unknown.
    std::uint64_t id_{0};
    /// Ids of the parts that other prompts may have, too, in order. At most
    /// `max_prompt_parts` are kept.
    std::vector<std::uint64_t> parts_;
};

/// The request names no key.
struct no_credential {};
struct bearer_key {
    std::string key_;
};
/// The request has a credential from which no key can be read, or several.
struct unusable_credential {
    std::string detail_; ///< Never contains a part of the credential.
};
using credential = std::variant<no_credential, bearer_key, unusable_credential>;

/// The parts of a caller's request that the gateway uses.
struct caller_request {
    /// Chosen by the caller; a retry of the caller has another one.
    std::string id_;
    std::string host_;
    std::string path_; ///< Without the query.
    /// How long the caller waits, counted from the arrival.
    base::milliseconds patience_{0};
    /// The last event that the caller has of a stream it continues.
    std::optional<std::uint64_t> last_event_;
    /// The caller's request that brought the first event of the stream that it
    /// continues; unset if it names none, or several.
    std::optional<std::string> resumes_;
    std::optional<model_prompt> prompt_;
    credential credential_;
    /// Another gateway has passed the request on.
    bool relayed_{false};
};

/// The request lacks something without which it cannot be served.
struct malformed_request {
    std::string detail_;
};

/// Target, time limit and start of one send of a request.
struct send_options {
    base::upstream_name instance_; ///< Only this instance may run it.
    base::milliseconds time_left_{0};
    /// The stream continues after this event. Overrides the value in the
    /// caller's request.
    std::optional<std::uint64_t> last_event_;
    /// What the upstream is told about the client account. Unset: the
    /// configuration has no accounts, and the caller's fields are forwarded as
    /// they are. An empty name: the request belongs to no account.
    std::optional<base::account_name> account_{};
};

/// A prefill result that an engine holds.
struct prefill_result {
    std::string handle_;
    std::uint32_t tokens_{0};
};

/// A prefill result and the engine that holds it.
struct kv_source {
    base::endpoint address_;
    std::string handle_;
};

/// An order to an engine to change its role.
struct role_order {
    base::upstream_name engine_; ///< Only this instance may execute it.
    placement::engine_role role_{placement::engine_role::decode};
    std::string holder_; ///< The process that gives the order.
    std::uint64_t fencing_number_{0};
    /// Number of orders that the engine has accepted so far. The engine
    /// declines an order with another number, which makes a delayed or repeated
    /// order harmless.
    std::uint64_t accepted_orders_{0};
};

/// Classification of an upstream's response by its head.
enum class answer_meaning : std::uint8_t {
    success,
    rejected,  ///< The request has not run and will not.
    misrouted, ///< As `rejected`: another instance has the address.
    failure,   ///< The upstream ran the request and failed.
    foreign,   ///< Response to another request, or not of an upstream.
};

/// An answer without a limit on the requests to its instance.
struct no_limit {};
/// The instance accepts this many requests a second from all gateways together.
struct requests_limit {
    double per_second_{0};
};
/// The answer names a limit that cannot be read.
struct unreadable_limit {
    std::string text_;
};
/// What an answer says about the limit of its instance.
using limit_statement =
    std::variant<no_limit, requests_limit, unreadable_limit>;

/// What an answer says about the end of its instance.
enum class leaving_statement : std::uint8_t {
    none,
    leaves,     ///< The instance ends soon and is to get no new requests.
    unreadable, ///< The answer has the field with a value that is not known.
};

/// An answer that asks for no pause.
struct no_pause {};
/// The instance rejected the request and wants no other one from this gateway
/// for so long.
struct requested_pause {
    base::milliseconds duration_{0};
};
/// The answer names a pause that cannot be read.
struct unreadable_pause {
    std::string text_;
};
using pause_statement =
    std::variant<no_pause, requested_pause, unreadable_pause>;

struct upstream_protocol {
    std::function<std::variant<caller_request, malformed_request>(
        const http::request&)>
        read_request_;

    /// How long a caller waits for the first event of a stream whose events
    /// are due within the objectives.
    std::function<base::milliseconds(base::milliseconds latency_objective,
                                     base::milliseconds gap_objective)>
        first_event_patience_;

    /// Longest retry delay that a caller honours which waits for another
    /// `time_left`.
    std::function<base::milliseconds(base::milliseconds time_left)>
        retry_window_;

    /// A request to a plain service, or to a decode engine that also prefills
    /// the prompt.
    std::function<http::request(const http::request&, const send_options&)>
        plain_call_;
    std::function<http::request(const http::request&, const send_options&)>
        prefill_call_;
    std::function<http::request(
        const http::request&, const kv_source&, const send_options&)>
        decode_call_;
    /// A request that frees a prefill result that is not going to be used.
    std::function<http::request(const std::string& handle)> release_call_;

    /// Whether an answer is not one to another request.
    std::function<bool(const caller_request&, const http::response_head&)>
        is_answer_to_;
    /// Whether the instance that a request was sent to gave this answer to it,
    /// and not another instance that has its address now.
    std::function<bool(const caller_request&, const http::response_head&)>
        is_of_instance_;
    std::function<answer_meaning(const caller_request&,
                                 const http::response_head&)>
        meaning_of_;
    std::function<limit_statement(const http::field_list&)> read_limit_;
    std::function<leaving_statement(const http::field_list&)> read_leaving_;
    std::function<pause_statement(const http::response_head&)> read_pause_;
    std::function<std::optional<prefill_result>(std::string_view body)>
        read_prefill_;

    /// A query for the number of orders that an engine has accepted.
    std::function<http::request(const base::upstream_name& engine)>
        report_call_;
    std::function<std::optional<std::uint64_t>(std::string_view body)>
        read_accepted_orders_;
    std::function<http::request(const role_order&)> order_call_;

    std::function<http::response(const base::refusal&)> write_refusal_;

    /// The caller's request, to be passed to another gateway.
    std::function<http::request(const http::request&,
                                base::milliseconds time_left)>
        relayed_call_;
    std::function<bool(const http::response_head&)> is_event_stream_;
};

/// A caller's query for the addresses to use.
struct directory_query {
    std::string host_;
    base::failure_domain failure_domain_;
};

struct directory_protocol {
    std::function<std::optional<directory_query>(const http::request&)>
        read_query_;
    std::function<http::response(const std::vector<base::endpoint>&,
                                 base::milliseconds keep)>
        write_answer_;
    std::function<bool(const http::request&)> is_readiness_query_;
};

} // namespace pimentoferry::gateway

#endif
