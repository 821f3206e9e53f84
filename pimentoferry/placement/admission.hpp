/// Rates of a cell, and what they say of a request that asks for a place.
///
///     admission gate;
///     gate.decode_time_passed(running, elapsed_ms);
///     gate.decode_ended();
///     gate.frees_lower_bound(running, horizon_ms, weight);
///     gate.queue_wait_ms(ahead, capacity);
#ifndef PIMENTOFERRY_PLACEMENT_ADMISSION_HPP
#define PIMENTOFERRY_PLACEMENT_ADMISSION_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/fair_queue.hpp"

#include <cstdint>
#include <unordered_map>

namespace pimentoferry::placement {

/// What the pools of a cell can do now.
struct cell_capacity {
    std::uint32_t decode_slots_{0};      ///< Usable slots of the decode pool.
    std::uint32_t free_decode_slots_{0}; ///< Not used and not promised.
    std::uint32_t prefill_engines_{0};
    double prefill_backlog_ms_{0}; ///< Of the engine that is free first.
    double prefill_token_ms_{0};   ///< Time of one token on one engine.
};

class admission {
public:
    /// `running` requests decoded for `elapsed_ms`.
    void record_decode_time(double running, double elapsed_ms);
    /// A decode ended on its own or by a cancel, which frees its place.
    void record_decode_end();

    /// Frees that may be counted on within the horizon: the mean less some
    /// standard deviations of a Poisson count; more of them at a higher
    /// weight, and none at weight 1.
    [[nodiscard]] std::uint32_t freed_slots_lower_bound(double running,
                                                        double horizon_ms,
                                                        double weight) const;

    /// A request asked for a place.
    void record_arrival(double tokens, base::time_point now);

    /// Share of the capacity that arriving requests leave over, 0.02 to 1.
    [[nodiscard]] double spare_share(const cell_capacity& capacity) const;

    /// Predicted wait in the queue behind `ahead`.
    [[nodiscard]] double queue_wait_ms(const work_ahead& ahead,
                                       const cell_capacity& capacity) const;

    /// A request of the caller was granted.
    void record_grant(const base::caller_name& caller,
                      double tokens,
                      base::time_point now);

    /// Share of the usual wait that the caller may take in the queue, 0 to 1.
    /// It is less than 1 while demand fills the cell and the caller was
    /// granted more than an equal share of the last seconds' tokens, so that
    /// its requests are refused before those of others.
    [[nodiscard]] double wait_share(const base::caller_name& caller,
                                    const cell_capacity& capacity,
                                    base::time_point now) const;

    /// When a refused request may find a place: the excess of its predicted
    /// first token over its budget, at least 100 ms and at most 30 s.
    [[nodiscard]] static base::milliseconds retry_after(double excess_ms);

    /// Mean time for which a request decodes.
    [[nodiscard]] double mean_decode_ms() const;

private:
    // Starting values: one end in 5 s of decoding.
    double decode_ends_{1};
    double decode_time_ms_{5'000};
    double arrival_gap_ms_{1'000};
    double arrival_tokens_{4'000};
    base::time_point last_arrival_;

    /// Tokens granted of late; the past counts half after `usage_half_life`.
    struct recent_tokens {
        double tokens_{0};
        base::time_point as_of_;
    };
    static double decayed(const recent_tokens& r, base::time_point now);
    static void add(recent_tokens& r, double tokens, base::time_point now);

    std::unordered_map<base::caller_name, recent_tokens> usage_;
    recent_tokens total_usage_;
    base::time_point next_cleanup_;
};

} // namespace pimentoferry::placement

#endif
