/// Outstanding prompts and measured speed of one engine that runs prefills.
///
/// The engines of one service have speeds that differ by several times, and an
/// engine may become slow or unresponsive at any moment. The prompts that an
/// engine was sent and has not finished show how long a further prompt would
/// wait there, whatever the reason. So a slow engine gets fewer prompts, and an
/// unresponsive one gets none after the first.
///
/// All times follow from the learned cost of the service's prefills, which the
/// caller passes, and the engine's own speed.
///
///     if (load.wait(cost, now) < limit) {
///         load.begin(tokens, now);
///     }
///     ...
///     load.finish(tokens, cost, now);   // or load.abandon(tokens, cost, now)
#ifndef PIMENTOFERRY_PLACEMENT_PREFILL_LOAD_HPP
#define PIMENTOFERRY_PLACEMENT_PREFILL_LOAD_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/prefill_cost.hpp"

#include <cstdint>
#include <optional>

namespace pimentoferry::placement {

class prefill_load {
public:
    /// Records that a prompt was sent to the engine.
    void begin(std::uint32_t tokens, base::time_point now);

    /// Time since the engine began with the prompt that it processes now, if it
    /// processes one after the other; unset if that is not known.
    std::optional<fractional_ms> in_progress(base::time_point now) const;

    /// Records that the engine finished the prefill of a prompt.
    void finish(std::uint32_t tokens,
                const prefill_cost& cost,
                base::time_point now);

    /// Records that the result of a prompt is no longer awaited.
    void abandon(std::uint32_t tokens,
                 const prefill_cost& cost,
                 base::time_point now);

    /// Records that the end of a prefill was missed. It says nothing about the
    /// speed of the engine.
    void forget(std::uint32_t tokens, base::time_point now);

    /// Expected time until the engine starts the prefill of a prompt sent at
    /// `now`.
    base::milliseconds wait(const prefill_cost& cost,
                            base::time_point now) const;

    /// Expected prefill time of a prompt, without the wait.
    base::milliseconds prefill_time(std::uint32_t tokens,
                                    const prefill_cost& cost,
                                    base::time_point now) const;

    /// Speed relative to the usual engine of the service; 1 once the last
    /// measurement is out of date.
    double speed(base::time_point now) const;

    /// Number of outstanding prompts.
    std::uint32_t prompts() const { return prompts_; }

private:
    void remove(std::uint32_t tokens, base::time_point now);
    void restart_sample(base::time_point now);
    void update_speed(const prefill_cost& cost, base::time_point now);

    std::uint32_t prompts_{0};
    std::uint64_t tokens_{0}; ///< Total length of these prompts.
    /// Start of the prefill that the engine runs now.
    base::time_point prefilling_since_;
    /// Whether that start, and the one of the sample, are not known.
    bool end_missed_{false};
    /// Prompts finished since `sample_start_`, and their total length.
    std::uint32_t sample_prompts_{0};
    std::uint64_t sample_tokens_{0};
    base::time_point sample_start_;
    double speed_{1};
    /// Time of the last measurement of `speed_`.
    base::time_point speed_measured_at_;
};

} // namespace pimentoferry::placement

#endif
