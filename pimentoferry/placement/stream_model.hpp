/// Learned means of the resources that streams use, and a forecast of the KV
/// memory that a stream holds.
///
/// A stream holds its prompt and grows at a constant rate until it ends. The
/// length of an answer is known only as an estimate of its median, so the
/// memory at a later time is weighted with the probability that the stream
/// still runs then.
///
///     auto stream = model.make_stream(request, now);
///     const auto forecast = model.forecast_of(stream, now);
///     ...
///     model.observe_answer(stream, events, now);
#ifndef PIMENTOFERRY_PLACEMENT_STREAM_MODEL_HPP
#define PIMENTOFERRY_PLACEMENT_STREAM_MODEL_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/prefill_cost.hpp"
#include "pimentoferry/placement/stream_messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::placement {

/// Expected number of tokens in KV memory, its variance, and the number if no
/// stream ends.
struct memory_estimate {
    double mean_{0};
    double variance_{0};
    double most_{0};
};

/// Number of points in the near future for which memory is forecast.
inline constexpr std::size_t horizon_count = 6;
using memory_forecast = std::array<memory_estimate, horizon_count>;

/// A stream that was granted its engines.
struct placed_stream {
    base::upstream_name prefill_; ///< Empty if the decode engine prefills.
    base::upstream_name decode_;
    std::uint32_t prompt_tokens_{0};
    double expected_events_{0};
    double max_events_{0};
    bool prefilling_{true};
    /// End of the prefill, if it was reported.
    std::optional<base::time_point> prefilled_;
    /// Time of the first event; unset before it.
    std::optional<base::time_point> started_;
    base::time_point granted_;
    /// The version of its decode engine; unset if any may run it.
    std::optional<base::software_version> software_version_{};
    /// Engines that its gateway may not use, see `stream_request`.
    std::vector<base::upstream_name> excluded_{};
};

class stream_model {
public:
    /// Sets the output tokens per event of a stream.
    void set_tokens_per_event(std::uint32_t tokens);

    /// Makes the stream of a request that is granted at `now`.
    placed_stream make_stream(const stream_request& request,
                              base::time_point now) const;

    /// Forecasts the memory of a stream at `at`, which is not before `now`.
    memory_estimate expected_tokens(const placed_stream& stream,
                                    base::time_point now,
                                    base::time_point at) const;
    memory_forecast forecast_of(const placed_stream& stream,
                                base::time_point now) const;

    /// Prefill time of a prompt at an engine of usual speed.
    base::milliseconds prefill_time(std::uint32_t tokens) const;
    /// Time from a grant to the first event if the prefill starts at once.
    base::milliseconds first_event_time(std::uint32_t tokens) const;
    base::milliseconds answer_time(const placed_stream& stream) const;

    void observe_arrival(const stream_request& request, base::time_point now);
    /// An engine spent `time` on a prompt.
    void observe_prefill(std::uint32_t prompt_tokens, fractional_ms time);
    /// The first event of a stream came this long after its prefill.
    void observe_first_event(base::milliseconds after_prefill,
                             base::time_point now);
    void observe_answer(const placed_stream& stream,
                        std::uint32_t events,
                        base::time_point now);

    /// Whether enough requests, prefills and answers have been observed, over
    /// the time of an answer or longer, for a plan that rests on their means.
    bool learned(base::time_point now) const;

    double mean_prompt_tokens() const { return prompt_tokens_.mean_; }
    const prefill_cost& cost() const { return prefill_cost_; }
    /// Prefill work that arrives in `period`, in time of an engine of usual
    /// speed.
    fractional_ms arriving_work(fractional_ms period,
                                base::time_point now) const;
    /// Prompt tokens that arrive per ms.
    double arrival_rate(base::time_point now) const {
        return arriving_tokens_per_ms_ * arrival_decay(now);
    }
    /// Mean duration of an answer.
    fractional_ms mean_answer_time(base::time_point now) const;
    /// Memory of a mean stream over its duration, in tokens times ms.
    double memory_token_ms(base::time_point now) const;

private:
    /// Mean of the samples of the recent past.
    struct running_mean {
        double mean_{0}; ///< A default before the first sample.
        std::uint64_t samples_{0};
        double weight_{0}; ///< Of all samples; that of the newest one is 1.
        base::time_point last_sample_{};

        void observe(double sample, base::time_point now);
    };

    double events_at(const placed_stream& stream, base::time_point at) const;
    /// What the time since the last arrival leaves of the moving averages.
    double arrival_decay(base::time_point now) const;

    // The initial values are guesses for the time before the first samples.
    // They bound no decision that is hard to revert; see `learned()`.

    std::uint32_t tokens_per_event_{1};
    /// Time between two events of a stream, in ms.
    running_mean event_interval_ms_{50};
    /// Number of events of complete answers.
    running_mean answer_events_{70};
    /// Number of events that callers expect.
    running_mean hinted_events_{0};
    /// Length of the prompts, in tokens.
    running_mean prompt_tokens_{5200};
    /// Time from the end of a prefill to the first event, in ms.
    running_mean first_event_ms_{80};
    prefill_cost prefill_cost_;
    // Moving averages at the time of the last arrival.
    double arriving_tokens_per_ms_{0};
    double arriving_prompts_per_ms_{0};
    std::optional<base::time_point> first_arrival_;
    base::time_point last_arrival_;
};

} // namespace pimentoferry::placement

#endif
