/// Events and actions of the model request table.
///
/// Traffic threads turn actions into HTTP calls and answers of engines into
/// events. Tokens do not pass through here: the traffic thread relays them
/// and reports the first token, the end, or a break with its position.
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

/// A request that passed authentication and was resolved by the state in
/// force.
struct request_arrived {
    base::request_id request_;
    base::caller_name caller_;
    base::deployment_name deployment_;
    base::cell_name cell_;
    std::uint64_t fingerprint_{0}; ///< Of caller, deployment and body.
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    std::vector<std::uint64_t> prefix_hashes_;
    base::milliseconds first_token_budget_{0};
    std::uint8_t priority_{0};
    bool deterministic_{false};
};

/// An answer of the cell owner.
struct owner_reply_received {
    placement::to_entry reply_;
    base::instance_id sender_{}; ///< The owner that answers.
};

/// The cell has a new owner: running attempts are announced to it, and
/// unanswered place requests are sent again.
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
    not_sent, ///< No byte left: the engine did not see the call.
    full,     ///< 429.
    gone,     ///< 404 or 410: the result or the attempt is no longer there.
    error,    ///< Any other answer.
    broken,   ///< The connection broke after the call was sent.
    timed_out,
};

struct prefill_failed {
    base::attempt_id attempt_;
    engine_failure failure_{engine_failure::error};
};

struct import_done {
    base::attempt_id attempt_;
    /// The engine that answered: an attempt may import at several in turn.
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

/// The stream ended whole.
struct stream_ended {
    base::attempt_id attempt_;
    std::uint32_t output_tokens_{0}; ///< Of the whole answer, from its start.
};

/// The stream ended early; the caller has `position_` tokens.
struct stream_broken {
    base::attempt_id attempt_;
    std::uint32_t position_{0};
    engine_failure failure_{engine_failure::broken};
};

struct caller_disconnected {
    base::request_id request_;
};

/// The engine answered a cancel: it holds nothing for these attempts and
/// will refuse them.
struct cancel_confirmed {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// The engine process is gone (connection refused, or a new engine instance).
struct engine_crashed {
    base::upstream_name engine_;
};

/// Crash marks heard from another entry.
struct crash_mark_received {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// An engine of a cell as this entry last heard of it.
struct engine_candidate {
    base::upstream_name engine_;
    bool decode_{false};                 ///< Its role; otherwise prefill.
    std::uint32_t free_decode_slots_{0}; ///< Last known; zero when never heard.
};

/// The engines of a cell that may receive work, for placement without the
/// owner. Replaces what was known of the cell; leaving engines are not in it.
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

/// Send to the owner of the cell.
struct send_to_owner {
    base::cell_name cell_;
    placement::to_owner message_;
    /// 0 is the owner, 1 the next owner by this entry's membership view.
    std::uint8_t rank_{0};
    /// Goes to this instance, whatever its rank is by now.
    std::optional<base::instance_id> recipient_{};
};

struct start_prefill {
    base::attempt_id attempt_;
    base::request_id request_;
    base::upstream_name engine_;
};

/// Order the decode engine to pull the KV cache from the prefill engine.
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

/// Open the token stream; tokens before `position_` are not relayed again.
struct start_decode {
    base::attempt_id attempt_;
    base::request_id request_;
    base::upstream_name engine_;
    std::uint32_t position_{0};
    bool with_prompt_{false}; ///< Prefill at the decode engine.
};

struct cancel_attempts {
    base::upstream_name engine_;
    std::vector<base::attempt_id> attempts_;
};

/// Answer the caller with a refusal; the request is over.
struct refuse {
    base::request_id request_;
    base::refusal refusal_;
};

/// The whole answer was relayed; close it properly.
struct complete_response {
    base::request_id request_;
};

/// Tell the other entries about a crash mark.
struct publish_crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};
};

/// One structured log line.
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
