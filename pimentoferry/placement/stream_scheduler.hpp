/// Schedules streams onto prefill and decode engines whose KV memory is the
/// scarce resource.
///
/// A stream holds KV memory for its prompt and grows at a constant rate until
/// it ends; the length of an answer is not known in advance. Too few streams on
/// an engine waste memory; too many cause preemption, which recomputes prompts
/// and delays other streams. Either the prefill engines or the decode memory
/// may be what limits the load, depending on the engines and on the split
/// between the roles, so the times and sizes are learned and both are checked.
///
/// A request is granted a prefill engine and a decode engine at the same time,
/// and its decode memory is accounted for from the grant on. The memory that an
/// engine needs in the near future is forecast from its streams: each grows
/// while it lasts and frees all its memory when it ends. A request for which no
/// engine has room is queued while it can still meet its first-event deadline.
/// After that, and when its caller retries after a refusal, it is queued behind
/// all requests that can still meet theirs: in a burst, memory that is granted
/// to a request that misses its deadline anyway makes another request miss its
/// own. A request is refused as soon as no memory or no time of a prefill
/// engine is expected to become free before its caller gives up.
///
///     stream_scheduler scheduler{settings};
///     scheduler.set_engines(engines, now);
///     perform(scheduler.request(request, now));
///     perform(scheduler.ended(attempt, events, now));
///     perform(scheduler.tick(now));   // about every 20 ms
///
/// Waiting requests are served by the priority of their client account or
/// route; within a priority, the accounts with the least recent use go first,
/// see `stream_queue`. One grant in eight goes to the request that expires
/// first, so that no priority and no account waits for good.
///
/// A stream of which its caller has events already is served before all new
/// ones, at a decode engine of the version that began it if that is known: what
/// its caller has is worth nothing without the rest.
///
/// An engine that has announced a limit is granted only as many prefills and
/// decodes as its allowance lets through; its remaining memory and time do not
/// count as free.
///
/// A scheduler has no sockets, threads or clock and is not thread-safe; its
/// caller passes the current time, which must never decrease.
#ifndef PIMENTOFERRY_PLACEMENT_STREAM_SCHEDULER_HPP
#define PIMENTOFERRY_PLACEMENT_STREAM_SCHEDULER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/events.hpp"
#include "pimentoferry/placement/prefill_load.hpp"
#include "pimentoferry/placement/stage_plan.hpp"
#include "pimentoferry/placement/stream_messages.hpp"
#include "pimentoferry/placement/stream_model.hpp"
#include "pimentoferry/placement/stream_queue.hpp"
#include "pimentoferry/requests/allowance.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pimentoferry::placement {

/// An engine that accepts requests.
struct stream_engine {
    base::upstream_name id_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    std::uint32_t slots_{0};
    std::uint64_t kv_tokens_{0}; ///< KV memory, in tokens.
    base::software_version software_version_{};

    friend bool operator==(const stream_engine&,
                           const stream_engine&) = default;
};

struct stream_settings {
    /// Output tokens per event of a stream.
    std::uint32_t tokens_per_event_{1};
    /// Share of an engine's KV memory that grants may use. The rest absorbs
    /// demand that the forecast cannot predict.
    double memory_share_{0.95};
    /// Standard deviations of the forecast that are kept free in addition.
    double reserved_deviations_{1.7};
    /// A request that will miss its first-event deadline is granted only if its
    /// decode engine keeps free memory for this many prompts of mean length.
    double late_reserve_prompts_{1};
};

/// Totals for metrics and logs.
struct stream_usage {
    std::uint32_t queued_{0};
    std::uint32_t running_{0};
    std::uint64_t decode_tokens_{0};   ///< Expected in decode memory now.
    std::uint64_t decode_capacity_{0}; ///< In tokens.
    std::uint32_t prefill_engines_{0};
    std::uint32_t decode_engines_{0};
};

class stream_scheduler {
public:
    /// Decisions on the request that was passed and on queued ones.
    using decisions = std::vector<stream_decision>;

    explicit stream_scheduler(const stream_settings& settings) {
        configure(settings);
    }

    void configure(const stream_settings& settings);

    /// Counts grants in `allowances`, which must outlive the scheduler. Engines
    /// are not limited without this call.
    void use_allowances(requests::allowance_table& allowances) {
        allowances_ = &allowances;
    }

    /// Replaces the set of engines. A stream on a removed engine stays recorded
    /// until it ends, and is assigned to the engine again if that is added
    /// again before.
    decisions set_engines(const std::vector<stream_engine>& engines,
                          base::time_point now);

    /// Requests engines for a stream. Returns nothing if the request is queued;
    /// a later call returns its decision.
    decisions request(const stream_request& request, base::time_point now);

    /// Records a stream that another scheduler placed, or the new decode engine
    /// of a recorded stream. A repeated announcement changes nothing.
    void stream_announced(const stream_announcement& announcement,
                          base::time_point now);

    void prefill_finished(base::attempt_id attempt, base::time_point now);
    void decode_started(base::attempt_id attempt, base::time_point now);

    /// The decode engine rejected the stream. Chooses another one without
    /// queueing the stream, because its prefill result expires soon. Returns
    /// one decision: a grant with the same prefill engine, or a refusal.
    decisions decode_rejected(base::attempt_id attempt,
                              decode_rejection reason,
                              base::time_point now);

    /// An engine did not respond or rejected a prefill. It receives no new work
    /// for a backoff time, which grows with each failure until the engine
    /// completes work again.
    void engine_failed(const base::upstream_name& engine, base::time_point now);

    /// The stream ended, or its request was abandoned. `events` is the number
    /// of events of a complete answer, else 0.
    decisions
    ended(base::attempt_id attempt, std::uint32_t events, base::time_point now);

    /// A gateway left or crashed. Its streams ended with it, and its queued
    /// requests are removed.
    decisions gateway_lost(base::instance_id gateway, base::time_point now);

    /// Decides on queued requests, and removes streams and prefills whose end
    /// was never reported.
    decisions tick(base::time_point now);

    stream_usage usage(base::time_point now) const;

    /// Excludes an engine from new work until `until`, while it changes to
    /// `role`.
    void begin_role_change(const base::upstream_name& engine,
                           engine_role role,
                           base::time_point until);

    /// Resources that a stream needs on average, learned from the streams so
    /// far.
    stream_demand demand(base::time_point now) const;

    /// The engines with their current roles, or with the roles that they are
    /// changing to.
    std::vector<planned_engine> planned_engines(base::time_point now) const;

    /// Whether enough streams have been observed to rely on `demand()`.
    bool demand_learned(base::time_point now) const {
        return model_.learned(now);
    }

private:
    struct engine_state {
        stream_engine engine_;
        std::uint64_t id_hash_{0};
        /// End of the backoff after a failure or a rejection.
        base::time_point failed_until_;
        int failures_{0}; ///< Since it last completed work.
        /// The role that it is changing to until `changing_until_`.
        engine_role next_role_{engine_role::prefill};
        base::time_point changing_until_;
        prefill_load prefill_;
        /// Memory in use that the recorded streams do not explain, in tokens,
        /// when the engine last rejected a stream as full.
        double unexplained_tokens_{0};
        base::time_point unexplained_at_;
        std::set<base::attempt_id> streams_;
        /// Sum over the forecasts of its streams; recomputed when it is out of
        /// date.
        mutable memory_forecast forecast_{};
        mutable std::optional<base::time_point> forecast_at_;

        bool serves(engine_role role, base::time_point at) const {
            return engine_.role_ == role && failed_until_ <= at &&
                   changing_until_ <= at;
        }
    };
    /// Limits on the memory that a decode engine may have in use.
    struct memory_limit {
        double share_{1};   ///< Of its KV memory.
        double reserve_{0}; ///< Tokens to be kept free in addition.
        /// Whether the engine must not be running a prefill.
        bool no_prefills_running_{false};
    };

    const memory_forecast& forecast_of(const engine_state& engine,
                                       base::time_point now) const;
    /// Memory in use that the recorded streams do not explain. It decreases
    /// over the time of an answer.
    double unexplained_tokens(const engine_state& engine,
                              base::time_point now) const;
    /// The smallest free memory over the forecast if `added` is placed on the
    /// engine, in tokens; negative if it does not fit.
    double free_tokens(const engine_state& engine,
                       const memory_forecast& added,
                       double memory_share,
                       base::time_point now) const;
    engine_state* choose_prefill(const stream_request& request,
                                 base::time_point expires_at,
                                 base::time_point now);
    engine_state* choose_decode(base::attempt_id attempt,
                                const placed_stream& stream,
                                const base::failure_domain& preferred_domain,
                                memory_limit limit,
                                base::time_point now);
    std::optional<stream_grant> try_grant(const stream_request& request,
                                          base::time_point expires_at,
                                          double reserve,
                                          base::time_point now);
    bool may_be_sent(const base::upstream_name& engine,
                     base::time_point now) const;
    void count_request(const base::upstream_name& engine, base::time_point now);
    /// Requests that the engine may be sent until `until`.
    double requests_until(const base::upstream_name& engine,
                          base::time_point until,
                          base::time_point now) const;
    bool has_engine(engine_role role) const;
    /// Whether a decode engine may run the request.
    bool has_decode_engine_for(const stream_request& request) const;
    /// Whether there are engines of the role, and the request excludes them.
    bool excludes_all(const stream_request& request, engine_role role) const;
    bool fits_any_engine(const stream_request& request) const;
    double free_decode_tokens_at(base::time_point at,
                                 base::time_point now) const;
    /// The same for the engines of one version.
    double free_decode_tokens_of_version(const base::software_version& version,
                                         base::time_point at,
                                         base::time_point now) const;
    /// Free decode memory that the limits of engines keep from being used.
    double withheld_decode_tokens_at(base::time_point at,
                                     base::time_point now) const;
    /// Latest end of the prefill of a request whose prefill has to start by
    /// `latest_start`.
    base::time_point latest_prefill_end(const stream_request& request,
                                        base::time_point latest_start) const;
    /// Time until `end` that the prefill engines have for further prompts, as
    /// the time that engines of usual speed would need for the same prompts.
    struct prefill_time {
        fractional_ms free_{0};
        fractional_ms withheld_{0}; ///< By the limits of engines.
    };
    prefill_time free_prefill_time_until(base::time_point end,
                                         base::time_point now) const;
    /// How long the limits of engines take to let through what is missing.
    base::milliseconds allowance_wait(const room_report& room) const;
    room_report room_in_time(const queued_request& queued,
                             base::time_point now) const;
    room_report room_when_late(const queued_request& queued,
                               base::time_point now) const;
    room_report make_room_report(const stream_request& request,
                                 base::time_point start,
                                 double needed_tokens,
                                 fractional_ms needed_prefill,
                                 base::time_point now) const;
    decisions handle_resumed_request(const queued_request& queued,
                                     base::time_point now);
    /// Whether a resumed request can expect an engine before its caller gives
    /// up.
    bool expects_room(const queued_request& queued, base::time_point now) const;
    decisions handle_late_request(const queued_request& queued,
                                  base::time_point now);
    base::milliseconds retry_after(const stream_request& request) const;
    stream_refusal refuse(const stream_request& request,
                          const room_report& room,
                          base::time_point now);
    /// The engine that runs the prefill of `stream`: its prefill engine, or its
    /// decode engine if it has none. Null if that engine was removed.
    engine_state* prefilling_engine(const placed_stream& stream);
    void add_stream(base::attempt_id attempt,
                    placed_stream stream,
                    base::time_point now);
    void forget_overdue_prefills(base::time_point now);
    void remove_stream(base::attempt_id attempt, base::time_point now);
    void measure_prefill_speeds(stream_demand& demand,
                                base::time_point now) const;
    decisions dispatch(base::time_point now);
    void dispatch_resumed(decisions& made, base::time_point now);
    void dispatch_late(decisions& made, base::time_point now);
    std::array<stream_queue*, 3> queues() {
        return {&queue_, &late_queue_, &resumed_queue_};
    }
    /// The position in `queue` of the request to serve next.
    std::size_t next_in(const stream_queue& queue, base::time_point now) const;

    stream_settings settings_;
    stream_model model_;
    std::map<base::upstream_name, engine_state> engines_;
    std::map<base::attempt_id, placed_stream> streams_;
    stream_queue queue_;      ///< Can still meet their deadlines.
    stream_queue late_queue_; ///< Will miss their deadlines.
    /// Streams of which their callers have events, by when they give up.
    stream_queue resumed_queue_;
    refused_prompts refused_;
    account_shares account_use_;
    std::uint64_t queued_grants_{0};
    requests::allowance_table* allowances_{nullptr};
};

} // namespace pimentoferry::placement

#endif
