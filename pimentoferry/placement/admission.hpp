/// Predicts queue waits and freed decode slots from the recent rates of a cell.
///
/// The cell scheduler uses the predictions to refuse requests that would miss
/// their first-token target, and to count on slots that will become free.
///
///     admission predictor;
///     predictor.record_decode_time(running, elapsed_ms);
///     predictor.record_decode_end();
///     predictor.freed_slots_lower_bound(running, horizon_ms, weight);
///     predictor.queue_wait_ms(ahead, capacity);
#ifndef PIMENTOFERRY_PLACEMENT_ADMISSION_HPP
#define PIMENTOFERRY_PLACEMENT_ADMISSION_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/fair_queue.hpp"

#include <cstdint>
#include <unordered_map>

namespace pimentoferry::placement {

/// Current capacity of the pools of a cell.
struct cell_capacity {
    std::uint32_t decode_slots_{0};      ///< Usable slots of the decode pool.
    std::uint32_t free_decode_slots_{0}; ///< Neither used nor reserved.
    std::uint32_t prefill_engines_{0};
    double prefill_backlog_ms_{0}; ///< Of the engine that is idle first.
    double prefill_token_ms_{0};   ///< Prefill time of one token on one engine.
};

class admission {
public:
    /// Records that `running` requests decoded for `elapsed_ms`.
    void record_decode_time(double running, double elapsed_ms);
    /// Records a decode that completed or was cancelled, which frees its slot.
    void record_decode_end();

    /// Number of decode slots that can be expected to be freed within the
    /// horizon: the mean less some standard deviations of a Poisson count. The
    /// number of deviations grows with `weight`; at weight 1 the result is 0.
    [[nodiscard]] std::uint32_t freed_slots_lower_bound(double running,
                                                        double horizon_ms,
                                                        double weight) const;

    /// Records the arrival of a request.
    void record_arrival(double tokens, base::time_point now);

    /// Share of the capacity that the rate of arrivals leaves unused, 0.02
    /// to 1.
    [[nodiscard]] double spare_share(const cell_capacity& capacity) const;

    /// Predicted wait in the queue behind `ahead`, in milliseconds.
    [[nodiscard]] double queue_wait_ms(const work_ahead& ahead,
                                       const cell_capacity& capacity) const;

    /// Records a grant to the caller.
    void record_grant(const base::caller_name& caller,
                      double tokens,
                      base::time_point now);

    /// Share of the usual queue wait that is allowed for the caller, 0 to 1. It
    /// is less than 1 while demand fills the cell and the caller was granted
    /// more than an equal share of the tokens of the last seconds. Its requests
    /// are then refused before those of other callers.
    [[nodiscard]] double wait_share(const base::caller_name& caller,
                                    const cell_capacity& capacity,
                                    base::time_point now) const;

    /// Delay after which a refused request may be accepted: the time by which
    /// its predicted first token exceeds its budget, clamped to 100 ms to 30 s.
    [[nodiscard]] static base::milliseconds retry_after(double excess_ms);

    /// Mean decode time of a request.
    [[nodiscard]] double mean_decode_ms() const;

private:
    // Initial values correspond to one request that decoded for 5 s.
    double decode_ends_{1};
    double decode_time_ms_{5'000};
    double arrival_gap_ms_{1'000};
    double arrival_tokens_{4'000};
    base::time_point last_arrival_;

    /// Sum of granted tokens that decays with `usage_half_life`.
    struct decayed_tokens {
        double tokens_{0};
        base::time_point as_of_;
    };
    static double decayed(const decayed_tokens& r, base::time_point now);
    static void add(decayed_tokens& r, double tokens, base::time_point now);

    std::unordered_map<base::caller_name, decayed_tokens> usage_;
    decayed_tokens total_usage_;
    base::time_point next_cleanup_;
};

} // namespace pimentoferry::placement

#endif
