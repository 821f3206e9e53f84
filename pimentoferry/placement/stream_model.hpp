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
#include "pimentoferry/placement/stream_messages.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::placement {

/// Prompt tokens per ms that a prefill engine is assumed to process until its
/// rate is measured; that of the users' usual engines.
inline constexpr double default_prefill_rate = 50;

/// Expected number of tokens in KV memory, and its variance.
struct memory_estimate {
    double mean_{0};
    double variance_{0};
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
    /// Time of the first event; unset before it.
    std::optional<base::time_point> started_;
    base::time_point granted_;
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

    /// Prefill time of a prompt at an engine of mean rate.
    base::milliseconds prefill_time(std::uint32_t tokens) const;
    /// Time from a grant to the first event if the prefill starts at once.
    base::milliseconds first_event_time(std::uint32_t tokens) const;
    base::milliseconds answer_time(const placed_stream& stream) const;

    void observe_arrival(std::uint32_t prompt_tokens, base::time_point now);
    /// An engine processed a prompt at `rate` prompt tokens per ms.
    void observe_prefill(double rate);
    void observe_answer(const placed_stream& stream,
                        std::uint32_t events,
                        base::time_point now);

    double mean_prompt_tokens() const { return mean_prompt_tokens_; }
    /// Prompt tokens per ms.
    double prefill_rate() const { return prefill_rate_; }
    /// Prompt tokens that arrive per ms.
    double arrival_rate() const { return arrival_rate_; }
    /// Memory of a mean stream over its duration, in tokens times ms.
    double memory_token_ms() const;

private:
    double events_at(const placed_stream& stream, base::time_point at) const;

    // The initial values are those of the users' usual requests. They apply
    // until enough streams have been observed.

    std::uint32_t tokens_per_event_{1};
    /// Mean time between two events of a stream.
    double event_interval_ms_{50};
    /// Mean number of events of a complete answer.
    double mean_events_{70};
    /// Mean length of the prompts, in tokens.
    double mean_prompt_tokens_{5200};
    double prefill_rate_{default_prefill_rate};
    double arrival_rate_{0};
    base::time_point last_arrival_;
};

} // namespace pimentoferry::placement

#endif
