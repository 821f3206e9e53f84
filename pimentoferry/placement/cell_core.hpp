/// State machine of a cell scheduler. Internal to `placement`.
///
/// An attempt passes through the stages of `attempt_stage`. From the grant of
/// its prefill until it is bound, it has a reservation in the decode pool as a
/// whole; from then on it holds a slot and KV blocks of one engine.
#ifndef PIMENTOFERRY_PLACEMENT_CELL_CORE_HPP
#define PIMENTOFERRY_PLACEMENT_CELL_CORE_HPP

#include "pimentoferry/placement/admission.hpp"
#include "pimentoferry/placement/cell_scheduler.hpp"
#include "pimentoferry/placement/engine_view.hpp"
#include "pimentoferry/placement/fair_queue.hpp"

#include <deque>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace pimentoferry::placement::internal {

enum class attempt_stage : std::uint8_t {
    queued,
    prefilling,
    unbound, ///< Prefill done, no decode engine chosen yet.
    bound,   ///< The KV cache is transferred to the decode engine.
    decoding,
    detached, ///< Lost its engine; the entry will report or release it.
};

using engine_index = std::int16_t;
inline constexpr engine_index no_engine = -1;

struct attempt_state {
    base::attempt_id id_;
    base::request_id request_; ///< None for an announced attempt.
    base::caller_name caller_;
    base::failure_domain failure_domain_;
    std::vector<std::uint64_t> prefixes_; ///< Only while queued.
    std::uint32_t prompt_tokens_{0};
    std::uint32_t output_tokens_{0}; ///< Maximum.
    std::uint32_t uncached_tokens_{0};
    std::uint8_t priority_{0};
    attempt_stage stage_{attempt_stage::queued};
    bool suspect_{false};
    bool rerun_{false};
    bool late_{false};   ///< Can no longer meet its first-token target.
    bool parked_{false}; ///< A suspect that waits for another to end.
    bool inline_{false}; ///< Prefill runs at the decode engine.
    bool announced_{false};
    bool prefilled_{false};
    bool holds_prefill_memory_{false}; ///< At `prefill_`.
    std::uint8_t missed_reports_{0};   ///< Consecutive reports without it.
    engine_index prefill_{no_engine};
    engine_index decode_{no_engine};  ///< Where it holds a slot.
    std::uint64_t lost_engines_{0};   ///< Bit set of `engine_index`.
    base::time_point target_end_;     ///< Of the first-token target.
    base::time_point budget_end_;     ///< Of the first-token budget.
    base::time_point latest_start_;   ///< Only while queued.
    base::time_point stage_began_;    ///< Start of the current stage.
    base::time_point result_expires_; ///< When the engine evicts the result.
    double expected_prefill_ms_{0};
    double service_ms_{0};     ///< From the grant to the first token.
    double batch_integral_{0}; ///< Of the engine at the first token.
};

/// KV blocks of a prompt with its maximum output.
std::uint32_t kv_blocks_of(const attempt_state& a);
/// KV blocks of the prompt alone, as a prefill engine holds them.
std::uint32_t prompt_kv_blocks_of(const attempt_state& a);

class cell_core {
public:
    explicit cell_core(const scheduler_settings& settings);

    std::vector<action> handle(const event& e, base::time_point now);
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;
    void configure(const scheduler_settings& settings);
    [[nodiscard]] cell_usage usage() const;

private:
    using candidates = std::vector<candidate>;

    // cell_core.cpp: messages of entries and the stages of an attempt.
    void on(const entry_message& e);
    void on(const became_owner& e);
    void on(const lost_ownership& e);
    void on(const tick& e);
    void receive(const placement_request& m);
    void receive(const prefill_finished& m);
    void receive(const engine_lost& m);
    void receive(const decode_started& m);
    void receive(const placement_release& m);
    void receive(const attempt_announcement& m);
    attempt_state* find(base::attempt_id id);
    attempt_state make_attempt(const placement_request& m) const;
    void handle_decode_loss(attempt_state& a, const engine_lost& m);
    /// Removes the attempt from the queue and frees its engine resources.
    void release_resources(attempt_state& a);
    void release_prefill(attempt_state& a);
    void release_decode(attempt_state& a);
    void detach(attempt_state& a);
    void erase_attempt(base::attempt_id id);
    void record_ended(base::attempt_id id);
    void erase_superseded(base::request_id request);
    void erase_overdue();
    void send(const attempt_state& a, to_entry message);
    void refuse(const attempt_state& a,
                base::refusal_code code,
                base::milliseconds retry_after,
                std::string_view reason,
                decision_kind kind = decision_kind::refuse);
    void record(const attempt_state& a,
                decision_kind kind,
                std::string_view reason,
                engine_index choice,
                candidates scored = {},
                double predicted_ms = 0);

    // cell_engines.cpp: engine reports and engine changes.
    void on(const load_report& e);
    void on(const cache_events& e);
    void on(const engines_changed& e);
    void on(const engine_crashed& e);
    void on(const entry_dead& e);
    void cancel_attempts_of_dead_entries(const load_report& e);
    std::uint32_t count_unknown_attempts(const load_report& e) const;
    void detach_unlisted(engine_index index, const load_report& e);
    void check_rebuild_complete();
    void publish_free_slots();
    void check_pool_balance();
    void update_average(double& share, bool short_now) const;
    void propose(engine_role from, engine_role to, std::string_view reason);
    engine_index index_of(const base::upstream_name& name) const;
    engine_view& engine(engine_index index);
    const engine_view& engine(engine_index index) const;
    template <class Visitor>
    void each_serving(engine_role role, Visitor visit) const;

    // cell_dispatch.cpp: the policy `reserved`.
    void admit(attempt_state& a);
    bool can_meet_deadline(attempt_state& a, double& predicted_ms) const;
    void dequeue_granted(attempt_state& a);
    void schedule_waiting();
    void expire();
    void expire_results();
    void enqueue(attempt_state& a);
    void dequeue(attempt_state& a);
    bool dispatch(attempt_state& a);
    bool suspect_blocked(const attempt_state& a) const;
    void unpark();
    bool can_reserve_decode(const attempt_state& a, double horizon_ms) const;
    engine_index choose_prefill(const attempt_state& a,
                                candidates* scored,
                                double& finish_ms) const;
    engine_index choose_inline(const attempt_state& a) const;
    engine_index choose_decode(const attempt_state& a,
                               candidates* scored) const;
    std::uint32_t uncached_tokens(const attempt_state& a,
                                  const engine_view& e) const;
    void grant(attempt_state& a,
               engine_index prefill,
               candidates scored,
               double finish_ms);
    void grant_inline(attempt_state& a, engine_index decode);
    void bind_waiting();
    bool try_bind(attempt_state& a);
    void bind(attempt_state& a, engine_index decode);
    cell_capacity capacity() const;
    double first_token_ms(const attempt_state& a) const;
    engine_resources free_decode_resources() const;
    bool ever_fits(const attempt_state& a) const;
    std::optional<base::time_point> next_prefill_start() const;

    // cell_baselines.cpp: the other policies.
    void place_baseline(attempt_state& a);
    void bind_baseline(attempt_state& a);
    engine_index next_round_robin(engine_role role,
                                  std::uint64_t excluded,
                                  std::uint32_t& next_index) const;
    engine_index least_used(engine_role role, std::uint64_t excluded) const;
    [[nodiscard]] bool is_baseline() const;
    [[nodiscard]] double waste_weight() const;

    scheduler_settings settings_;
    std::vector<action> out_;
    base::time_point now_;
    bool owner_{false};
    bool rebuilding_{false};
    base::time_point owner_since_;
    std::vector<engine_view> engines_;
    std::unordered_map<base::attempt_id, attempt_state> attempts_;
    /// The most recent attempt of each request that has one.
    std::unordered_map<base::request_id, base::attempt_id> latest_attempts_;
    fair_queue queue_;
    std::set<std::pair<base::time_point, base::attempt_id>> expiry_;
    std::vector<base::attempt_id> parked_;
    /// Prefilled attempts without a decode engine, oldest first.
    std::deque<base::attempt_id> unbound_;
    /// Decode resources of running and finished prefills, except inline ones.
    engine_resources reserved_;
    std::uint32_t bound_{0}; ///< Attempts with a decode engine.
    admission admission_;
    linear_estimate transfer_{default_transfer_estimate()};
    std::unordered_set<base::attempt_id> ended_attempts_;
    std::deque<std::pair<base::time_point, base::attempt_id>> ended_order_;
    std::unordered_set<base::instance_id> dead_entries_;
    std::deque<base::instance_id> dead_order_;
    std::uint64_t headroom_version_{0};
    base::time_point headroom_sent_;
    /// Last published free slots, and in `kv_blocks_` the queue length.
    engine_resources headroom_;
    base::time_point balance_checked_;
    double prefill_shortage_{0}; ///< Moving average of a share of time.
    double decode_shortage_{0};
    base::time_point role_change_proposed_;
    base::time_point next_cleanup_;
    std::uint32_t next_prefill_index_{0};
    std::uint32_t next_decode_index_{0};
};

template <class Visitor>
void cell_core::each_serving(engine_role role, Visitor visit) const {
    for (std::size_t i = 0; i < engines_.size(); ++i) {
        if (engines_[i].serving() && engines_[i].is(role)) {
            visit(static_cast<engine_index>(i), engines_[i]);
        }
    }
}

} // namespace pimentoferry::placement::internal

#endif
