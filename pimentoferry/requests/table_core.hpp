/// Implementation of `request_table`; not for use by other libraries.
#ifndef PIMENTOFERRY_REQUESTS_TABLE_CORE_HPP
#define PIMENTOFERRY_REQUESTS_TABLE_CORE_HPP

#include "pimentoferry/requests/cancel_tracker.hpp"
#include "pimentoferry/requests/engine_picker.hpp"
#include "pimentoferry/requests/events.hpp"
#include "pimentoferry/requests/quarantine.hpp"
#include "pimentoferry/requests/request_table.hpp"
#include "pimentoferry/requests/retry_budget.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::requests::internal {

enum class stage : std::uint8_t {
    placing,      ///< A placement request was sent; no reply yet.
    queued,       ///< The owner queued the request.
    prefilling,   ///< The prefill call is open.
    binding,      ///< The prefill is done; the owner chooses the decode engine.
    transferring, ///< The import call is open.
    opening,      ///< The decode stream is open, without a token yet.
    decoding,     ///< Tokens arrive.
    closing,      ///< The stream is being closed; its position is awaited.
    resuming,     ///< Waits to reopen the stream at the same engine.
    /// No attempt; awaits a crash report of the engine of the lost attempt.
    recovering,
};

struct attempt_state {
    base::attempt_id id_;
    std::uint8_t rank_{0};   ///< Rank of the owner, as in `send_to_owner`.
    bool autonomous_{false}; ///< Placed without the owner.
    bool suspect_{false};    ///< Placed as a suspect.
    bool prefill_at_decode_{false};
    bool call_answered_{false}; ///< The last call was answered or failed.
    bool stream_sent_{false};   ///< A decode call reached the engine.
    bool first_token_reported_{false}; ///< To the owner.
    bool decode_crashed_{false};       ///< The decode engine crashed.
    std::uint8_t resumes_{0};
    base::upstream_name prefill_;
    base::upstream_name decode_;
    std::string handle_;
    std::uint32_t prompt_tokens_{0};
    base::time_point result_expires_;
    std::vector<base::upstream_name> holds_; ///< Engines that may hold memory.
    /// Decode engines that failed the attempt.
    std::vector<base::upstream_name> failed_decodes_;
};

struct request_state {
    request_arrived request_;
    /// The request is refused at this time.
    base::time_point request_deadline_;
    base::time_point stage_deadline_;
    base::time_point timer_; ///< Time of its entry in `timers_`.
    stage stage_{stage::placing};
    attempt_state attempt_;
    std::uint32_t position_{0}; ///< Tokens that were relayed to the caller.
    std::uint32_t calls_sent_{0};
    std::uint8_t reruns_{0};
    base::attempt_id lost_attempt_; ///< Set while recovering.
    base::upstream_name lost_engine_;
};

class table_core {
public:
    explicit table_core(const table_settings& settings);

    std::vector<action> handle(const event& e, base::time_point now);
    std::optional<base::time_point> next_deadline() const;
    bool idle() const;
    std::vector<memory_hold> memory_holds() const;
    table_counts counts() const;

private:
    // Events of callers, of the control thread and of time (table_core.cpp).
    void on(const request_arrived& e);
    void on(const caller_disconnected& e);
    void on(const cancel_confirmed& e);
    void on(const crash_mark_received& e);
    void on(const drain_started& e);
    void on(const tick& e);
    void expire(request_state& r);

    // Events of the cell owner (table_placing.cpp).
    void on(const owner_reply_received& e);
    void on(const owner_changed& e);
    void on(const engines_updated& e);
    void on_owner_reply(const placement::placement_grant& m,
                        base::instance_id owner);
    void on_owner_reply(const placement::placement_refusal& m);
    void on_owner_reply(const placement::decode_bound& m);
    void on_owner_reply(const placement::placement_queued& m);

    // Events of engines (table_running.cpp, table_crash.cpp).
    void on(const prefill_done& e);
    void on(const prefill_failed& e);
    void on(const import_done& e);
    void on(const import_failed& e);
    void on(const first_token& e);
    void on(const stream_ended& e);
    void on(const stream_broken& e);
    void on(const engine_crashed& e);

    // Placement.

    /// Starts a new attempt and sends a placement request to the owner with
    /// this rank. A request with crash marks may be refused or wait instead.
    void place(request_state& r, std::uint8_t rank);
    /// Withdraws the attempt and tries the next owner, or places the request
    /// autonomously after the last one.
    void place_next(request_state& r);
    void place_autonomously(request_state& r);
    /// Cancels a placement request that has no reply yet.
    void withdraw_placement(request_state& r);
    void release_late_grant(base::attempt_id attempt, base::instance_id owner);
    /// Whether another request, or a cancelled attempt, with the same
    /// fingerprint may be running on an engine.
    bool duplicate_may_run(const request_state& r) const;
    void announce(request_state& r);
    /// Time left for the first token; once tokens were relayed, for the whole
    /// request.
    base::milliseconds remaining_budget(const request_state& r) const;
    engine_load local_engine_load() const;

    // Running.
    void start(request_state& r);
    void bind(request_state& r);
    void bind_without_owner(request_state& r);
    void start_transfer(request_state& r, const base::upstream_name& engine);
    void open_stream(request_state& r);
    void resume_or_handle_loss(request_state& r, engine_failure failure);
    void handle_stream_loss(request_state& r, engine_failure failure);
    void handle_decode_loss(request_state& r, placement::loss_reason reason);
    void handle_prefill_loss(request_state& r, engine_failure failure);
    void close_stream(request_state& r);
    void handle_attempt_crash(request_state& r,
                              const base::upstream_name& engine);
    void refuse_duplicates(std::uint64_t fingerprint);
    bool runs_at(const request_state& r,
                 const base::upstream_name& engine) const;
    bool awaits_answer_from(const request_state& r,
                            const base::upstream_name& engine) const;
    /// Whether the first call of each attempt to the engine was answered or
    /// failed, so that it is known whether the engine received it.
    bool all_calls_answered(const base::upstream_name& engine,
                            const std::set<base::attempt_id>& attempts) const;
    void attribute_crashes(bool at_deadline);
    void attribute_crash(const base::upstream_name& engine,
                         const std::set<base::attempt_id>& attempts);
    std::vector<crash_candidate>
    crash_candidates(const base::upstream_name& engine,
                     const std::set<base::attempt_id>& attempts);
    base::milliseconds prefill_limit(const request_state& r) const;

    // Ends of attempts and of requests.

    /// Reports the end of the attempt to its owner and discards it.
    void end_attempt(request_state& r, placement::release_reason reason);
    /// Cancels the attempt at each engine that may hold memory for it, and
    /// removes it from the table.
    void discard_attempt(request_state& r);
    void rerun(request_state& r);
    void rerun_after_failure(request_state& r,
                             const base::upstream_name& engine,
                             engine_failure failure);
    void await_crash_report(request_state& r);
    /// Charges another run to the limits of the request and its deployment;
    /// refuses the request and returns false when one is reached.
    bool admit_rerun(request_state& r);
    void refuse_request(request_state& r, base::refusal_code code, bool retry);
    void refuse_request(request_state& r,
                        base::refusal_code code,
                        std::optional<base::milliseconds> retry_after);
    void erase(request_state& r);

    // Memory.
    void hold(request_state& r, const base::upstream_name& engine);
    void release(request_state& r, const base::upstream_name& engine);
    /// Cancels the attempt at an engine. `cancel_idle` is for an engine that
    /// only holds its prefill result, and so cannot crash on it.
    void cancel(request_state& r, const base::upstream_name& engine);
    void cancel_idle(request_state& r, const base::upstream_name& engine);
    void cancel_hold(request_state& r,
                     const base::upstream_name& engine,
                     const std::optional<crash_candidate>& candidate);

    // Helpers.

    /// The request of a current attempt in one of the stages; null, and counted
    /// as a dropped event, when there is none.
    request_state* find(base::attempt_id attempt,
                        std::initializer_list<stage> stages);
    std::vector<base::request_id> request_ids() const;
    void enter(request_state& r, stage next, base::time_point deadline);
    void enter(request_state& r, stage next, base::milliseconds wait);
    void notify_owner(const request_state& r, placement::to_owner message);
    void log(const request_state& r, std::string decision, std::string reason);
    crash_status status_of(const request_state& r) const;

    table_settings settings_;
    base::time_point now_;
    std::vector<action> out_;
    bool draining_{false};
    std::uint64_t next_sequence_{1};

    std::map<base::request_id, request_state> requests_;
    std::map<base::attempt_id, base::request_id> attempts_;
    /// Lost attempts of recovering requests.
    std::map<base::attempt_id, base::request_id> lost_attempts_;
    std::set<std::pair<base::time_point, base::request_id>> timers_;

    /// Attempts that were withdrawn before their owner replied, so that a late
    /// grant can be released.
    std::map<base::attempt_id, base::cell_name> withdrawn_;

    /// Crashes that were not attributed yet.
    struct unattributed_crash {
        /// Attempts for which the engine held memory.
        std::set<base::attempt_id> attempts_;
        base::time_point deadline_;
    };
    std::map<base::upstream_name, unattributed_crash> unattributed_crashes_;

    std::map<base::deployment_name, retry_budget> budgets_;
    quarantine quarantine_;
    cancel_tracker cancels_;
    engine_picker picker_;
    table_counts counts_;
};

} // namespace pimentoferry::requests::internal

#endif
