/// Places streams on engines whose KV memory is the scarce resource.
///
/// Pattern of load: prefill is quick and idle most of the time, decode memory
/// is full, and the length of an answer is not known beforehand. A stream
/// holds its prompt and grows by a constant rate until it ends. Too few
/// streams on an engine waste memory; too many lead to preemption, which
/// reads prompts again and delays the answers of others.
///
/// A request is granted a prefill engine and a decode engine at the same
/// time, and the decode memory is accounted for from then on. The memory that
/// an engine needs in the near future is estimated from the streams on it:
/// each grows while it lasts and frees all it holds when it ends. A request
/// for which no engine has room waits as long as its first event can still be
/// on time. After that, and when its caller returns after a refusal, it waits
/// behind all that can still be on time: in a burst a place given to an answer
/// that is late anyway would make another one late. It is refused as soon as
/// no place is expected before its caller gives up.
///
///     stream_scheduler scheduler{settings};
///     scheduler.set_engines(engines, now);
///     perform(scheduler.request(request, now));
///     perform(scheduler.ended(attempt, events, now));
///     perform(scheduler.tick(now));   // about every 20 ms
///
/// It has no sockets, no threads and no clock. Times never run back.
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

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace pimentoferry::placement {

/// One engine that serves.
struct stream_engine {
    base::upstream_name id_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    std::uint32_t slots_{0};
    std::uint64_t kv_tokens_{0};

    friend bool operator==(const stream_engine&,
                           const stream_engine&) = default;
};

struct stream_settings {
    /// Output tokens that one event of a stream stands for.
    std::uint32_t tokens_per_event_{1};
    /// Part of an engine's memory that is planned with. The rest absorbs what
    /// the estimate cannot know.
    double memory_share_{0.95};
    /// How many standard deviations of the estimate are kept free besides.
    double deviations_{1.7};
    /// A refused caller is told to return after a time in this range, which
    /// spreads the return over the length of a usual burst.
    base::milliseconds earliest_return_{3800};
    base::milliseconds return_spread_{800};
    /// An answer that is late anyway gets a place only if the engine keeps
    /// room for so many average streams.
    double late_reserve_{1};
};

/// Totals for metrics and logs.
struct stream_usage {
    std::uint32_t queued_{0};
    std::uint32_t running_{0};
    std::uint64_t decode_tokens_{0}; ///< Estimated to be in memory now.
    std::uint64_t decode_capacity_{0};
    std::uint32_t prefill_engines_{0};
    std::uint32_t decode_engines_{0};
};

class stream_scheduler {
public:
    using decisions = std::vector<stream_decision>;

    explicit stream_scheduler(const stream_settings& settings) {
        configure(settings);
    }

    void configure(const stream_settings& settings);

    /// Replaces the engines. Streams on engines that are gone are forgotten.
    decisions set_engines(const std::vector<stream_engine>& engines,
                          base::time_point now);

    decisions request(const stream_request& wanted, base::time_point now);

    /// A stream that another scheduler placed, or whose decode engine changed.
    void stream_announced(const stream_announcement& running,
                          base::time_point now);

    void prefill_finished(base::attempt_id attempt, base::time_point now);
    void decode_started(base::attempt_id attempt, base::time_point now);

    /// The decode engine rejected the stream; another one is chosen, without
    /// a wait because the prefill result soon lapses. The decision is a grant
    /// with the same prefill engine, or a refusal.
    decisions decode_rejected(base::attempt_id attempt,
                              decode_rejection reason,
                              base::time_point now);

    /// An engine did not answer, or rejected a prefill: it is left out for a
    /// short time, and for longer each time until it has worked again.
    void engine_failed(const base::upstream_name& engine, base::time_point now);

    /// The stream ended, or its request was given up. `events` is 0 unless the
    /// answer was complete.
    decisions
    ended(base::attempt_id attempt, std::uint32_t events, base::time_point now);

    /// A gateway is gone; its streams ended with it.
    decisions gateway_lost(base::instance_id gateway, base::time_point now);

    decisions tick(base::time_point now);

    stream_usage usage(base::time_point now) const;

    /// An engine is changing its role and takes nothing until then.
    void begin_role_change(const base::upstream_name& engine,
                           engine_role role,
                           base::time_point until);

    /// What the streams seen so far ask of the engines.
    stream_demand demand(base::time_point now) const;

    /// The engines with the roles that they have or are changing to.
    std::vector<planned_engine> planned_engines(base::time_point now) const;

    /// Whether any stream was asked for yet.
    bool idle_so_far() const { return requests_ == 0; }

private:
    struct engine_state {
        stream_engine engine_;
        base::time_point failed_until_;
        int failures_{0}; ///< Since it last worked.
        /// The role that it is changing to, and until when.
        engine_role next_role_{engine_role::prefill};
        base::time_point changing_until_;
        prefill_load prefill_;
        std::set<base::attempt_id> streams_;
        /// Sum over its streams; computed anew when it is out of date.
        mutable memory_forecast outlook_{};
        mutable std::optional<base::time_point> outlook_at_;

        bool serves(engine_role role, base::time_point at) const {
            return engine_.role_ == role && failed_until_ <= at &&
                   changing_until_ <= at;
        }
    };
    /// How far an engine may be filled.
    struct memory_limit {
        double share_{1};   ///< Of its memory.
        double reserve_{0}; ///< Tokens that stay free besides.
        /// Only an engine that reads no prompt itself.
        bool not_reading_{false};
    };

    const memory_forecast& outlook_of(const engine_state& engine,
                                      base::time_point now) const;
    double free_tokens(const engine_state& engine,
                       const memory_forecast& wanted,
                       double memory_share,
                       base::time_point now) const;
    engine_state* choose_prefill(const stream_request& wanted,
                                 base::time_point expires,
                                 base::time_point now);
    engine_state* choose_decode(const placed_stream& wanted,
                                const base::failure_domain& near,
                                memory_limit limit,
                                base::time_point now);
    std::optional<stream_grant> try_grant(const stream_request& wanted,
                                          base::time_point expires,
                                          double reserve,
                                          base::time_point now);
    bool has_engine(engine_role role) const;
    bool can_ever_serve(const stream_request& wanted) const;
    double room_at(base::time_point at, base::time_point now) const;
    bool on_time_expected(const queued_request& wanted,
                          base::time_point now) const;
    bool late_expected(const queued_request& wanted,
                       base::time_point now) const;
    decisions wait_late(const queued_request& wanted, base::time_point now);
    base::milliseconds retry_after(base::attempt_id attempt) const;
    stream_refusal refuse(const stream_request& wanted, base::time_point now);
    /// The engine that reads the prompt; null if it is gone.
    engine_state* reader_of(const placed_stream& stream);
    void
    add(base::attempt_id attempt, placed_stream stream, base::time_point now);
    void forget(base::attempt_id attempt, base::time_point now);
    void measure_prefill(stream_demand& demand, base::time_point now) const;
    decisions dispatch(base::time_point now);
    void dispatch_late(decisions& made, base::time_point now);

    stream_settings settings_;
    stream_model model_;
    std::map<base::upstream_name, engine_state> engines_;
    std::map<base::attempt_id, placed_stream> streams_;
    stream_queue queue_;      ///< May still be on time.
    stream_queue late_queue_; ///< Late anyway.
    refused_prompts refused_;
    std::uint64_t requests_{0};
};

} // namespace pimentoferry::placement

#endif
