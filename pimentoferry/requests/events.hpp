/// Events and actions of the request table.
///
/// Traffic threads carry out the actions as HTTP calls to the engines and
/// report the engines' responses as events. Tokens do not pass through the
/// table: the traffic thread relays them and reports the first token, the end
/// of the stream, or a break with its position.
#ifndef PIMENTOFERRY_REQUESTS_EVENTS_HPP
#define PIMENTOFERRY_REQUESTS_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::requests {

/// A request that was authenticated and resolved against the state in force.
struct request_arrived {
    base::request_id request_;
    base::caller_name caller_;
    base::deployment_name deployment_;
    base::cell_name cell_;
    std::uint64_t fingerprint_{0}; ///< Covers caller, deployment and body.
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    std::vector<std::uint64_t> prefix_hashes_;
    base::milliseconds first_token_budget_{0};
    std::uint8_t priority_{0};
    bool deterministic_{false};
};

/// A reply of the cell owner.
struct owner_reply_received {
    placement::to_entry reply_;
    base::instance_id sender_{}; ///< The owner that sent the reply.
};

/// The cell has a new owner: running attempts are announced to it, and
/// unanswered placement requests are sent again.
struct owner_changed {
    base::cell_name cell_;
};

struct prefill_done {
    base::attempt_id attempt_;
    std::string handle_;
    std::uint32_t prompt_tokens_{0};
    std::uint32_t cached_tokens_{0};
};

/// How a call to an engine failed.
enum class engine_failure : std::uint8_t {
    not_sent, ///< No byte of the call was sent, so the engine did not see it.
    full,     ///< HTTP 429.
    gone,     ///< HTTP 404 or 410: the result or the attempt no longer exists.
    error,    ///< Any other unsuccessful response.
    broken,   ///< The connection broke after the call was sent.
    timed_out,
};

struct prefill_failed {
    base::attempt_id attempt_;
    engine_failure failure_{engine_failure::error};
};

struct import_done {
    base::attempt_id attempt_;
    /// The engine that responded: an attempt may import at several engines in
    /// turn.
    base::upstream_name engine_;
};

struct import_failed {
    base::attempt_id attempt_;
    engine_failure failure_{engine_failure::error};
    base::upstream_name engine_; ///< As in `import_done`.
};

struct first_token {
    base::attempt_id attempt_;
};

/// The stream ended after its last token.
struct stream_ended {
    base::attempt_id attempt_;
    std::uint32_t output_tokens_{0}; ///< Of the whole response, from its start.
};

/// The stream ended early; `position_` tokens were relayed to the caller.
struct stream_broken {
    base::attempt_id attempt_;
    std::uint32_t position_{0};
    engine_failure failure_{engine_failure::broken};
};

struct caller_disconnected {
    base::request_id request_;
};

/// The engine confirmed a cancel: it holds nothing for these attempts and will
/// refuse them.
struct cancel_confirmed {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// The engine process ended (connection refused, or a new engine instance).
struct engine_crashed {
    base::upstream_name engine_;
};

/// A crash mark received from another entry.
struct crash_mark_received {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// An engine of a cell in this entry's current view.
struct engine_candidate {
    base::upstream_name engine_;
    bool decode_{false}; ///< Role decode; otherwise prefill.
    /// Last reported value; zero when none was received.
    std::uint32_t free_decode_slots_{0};
};

/// The engines of a cell that may receive work, for placement without the
/// owner. Replaces the previous view of the cell; leaving engines are not
/// listed.
struct engines_updated {
    base::cell_name cell_;
    std::vector<engine_candidate> engines_;
};

struct drain_started {};

struct tick {};

using event = std::variant<request_arrived,
                           owner_reply_received,
                           owner_changed,
                           prefill_done,
                           prefill_failed,
                           import_done,
                           import_failed,
                           first_token,
                           stream_ended,
                           stream_broken,
                           caller_disconnected,
                           cancel_confirmed,
                           engine_crashed,
                           crash_mark_received,
                           engines_updated,
                           drain_started,
                           tick>;

/// Sends a message to the owner of the cell.
struct send_to_owner {
    base::cell_name cell_;
    placement::to_owner message_;
    /// 0 is the owner, 1 the next owner in this entry's membership view.
    std::uint8_t rank_{0};
    /// When set, the message goes to this instance, whatever its current rank.
    std::optional<base::instance_id> recipient_{};
};

struct start_prefill {
    base::attempt_id attempt_;
    base::request_id request_;
    base::upstream_name engine_;
};

/// Orders the decode engine to pull the KV cache from the prefill engine.
struct start_import {
    base::attempt_id attempt_;
    base::request_id request_;
    base::upstream_name decode_;
    base::upstream_name prefill_;
    std::string handle_;
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    base::milliseconds deadline_{0}; ///< From now.
};

/// Opens the token stream; tokens before `position_` are not relayed again.
struct start_decode {
    base::attempt_id attempt_;
    base::request_id request_;
    base::upstream_name engine_;
    std::uint32_t position_{0};
    bool with_prompt_{false}; ///< The decode engine also runs the prefill.
};

struct cancel_attempts {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// Sends a refusal to the caller and ends the request.
struct refuse {
    base::request_id request_;
    base::refusal refusal_;
};

/// Closes the response; all of its tokens were relayed.
struct complete_response {
    base::request_id request_;
};

/// Publishes a crash mark to the other entries.
struct publish_crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// Writes one structured log line.
struct log_decision {
    base::request_id request_;
    base::attempt_id attempt_;
    std::string decision_; ///< A fixed word, such as `retry`.
    std::string reason_;
};

using action = std::variant<send_to_owner,
                            start_prefill,
                            start_import,
                            start_decode,
                            cancel_attempts,
                            refuse,
                            complete_response,
                            publish_crash_mark,
                            log_decision>;

} // namespace pimentoferry::requests

#endif
