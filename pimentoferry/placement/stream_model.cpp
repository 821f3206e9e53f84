#include "pimentoferry/placement/stream_model.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::placement {

namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

// Times of the forecast. Answers last some seconds; beyond that the forecast
// says little.
constexpr std::array<base::milliseconds, horizon_count> horizons{
    base::milliseconds{0},    base::milliseconds{500},
    base::milliseconds{1000}, base::milliseconds{1500},
    base::milliseconds{2000}, base::milliseconds{3000}};

// Ratio of the median length of an answer to its mean, which lies above the
// median in a right-skewed distribution.
constexpr double median_to_mean_ratio = 0.9;

// Time from the end of a prefill to the first event: the transfer and one
// decode step.
constexpr base::milliseconds first_event_overhead{80};
// Weight of the newest sample in the moving averages.
constexpr double newest_weight = 0.05;

// Time constant of the moving average of the arrival rate.
constexpr double arrival_window_ms = 1000;

/// Probability that an answer has more than `events` events. The log-logistic
/// distribution with exponent 4 matches a log-normal error of the length
/// estimate of 0.45.
double survival(double events, double median) {
    const double ratio = events / median;
    const double squared = ratio * ratio;
    return 1 / (1 + squared * squared);
}

double milliseconds_between(base::time_point from, base::time_point to) {
    return fractional_ms{to - from}.count();
}

} // namespace

void stream_model::set_tokens_per_event(std::uint32_t tokens) {
    tokens_per_event_ = std::max(tokens, 1U);
}

placed_stream stream_model::make_stream(const stream_request& request,
                                        base::time_point now) const {
    placed_stream stream;
    stream.prompt_tokens_ = request.prompt_tokens_;
    const double per_event = tokens_per_event_;
    stream.max_events_ = std::max(1.0, request.max_output_tokens_ / per_event);
    stream.expected_events_ = request.expected_output_tokens_ > 0
                                  ? request.expected_output_tokens_ / per_event
                                  : mean_events_ * median_to_mean_ratio;
    stream.expected_events_ =
        std::clamp(stream.expected_events_, 1.0, stream.max_events_);
    stream.granted_ = now;
    return stream;
}

double stream_model::events_at(const placed_stream& stream,
                               base::time_point at) const {
    const auto expected_start =
        stream.granted_ + first_event_time(stream.prompt_tokens_);
    const auto start = stream.started_.value_or(expected_start);
    return std::max(0.0, milliseconds_between(start, at) / event_interval_ms_);
}

memory_estimate stream_model::expected_tokens(const placed_stream& stream,
                                              base::time_point now,
                                              base::time_point at) const {
    const double events_now =
        std::min(events_at(stream, now), stream.max_events_);
    const double events_then = events_at(stream, at);
    if (events_then >= stream.max_events_ && at > now) {
        return {};
    }
    const double events = std::min(events_then, stream.max_events_);
    const double survival_probability =
        survival(events, stream.expected_events_) /
        survival(events_now, stream.expected_events_);
    const double tokens = stream.prompt_tokens_ + tokens_per_event_ * events;
    return {survival_probability * tokens, survival_probability *
                                               (1 - survival_probability) *
                                               tokens * tokens};
}

memory_forecast stream_model::forecast_of(const placed_stream& stream,
                                          base::time_point now) const {
    memory_forecast result;
    std::ranges::transform(horizons, result.begin(), [&](auto horizon) {
        return expected_tokens(stream, now, now + horizon);
    });
    return result;
}

base::milliseconds stream_model::prefill_time(std::uint32_t tokens) const {
    return base::milliseconds{
        static_cast<std::int64_t>(tokens / prefill_rate_)};
}

base::milliseconds stream_model::first_event_time(std::uint32_t tokens) const {
    return prefill_time(tokens) + first_event_overhead;
}

base::milliseconds
stream_model::answer_time(const placed_stream& stream) const {
    return base::milliseconds{static_cast<std::int64_t>(
        stream.expected_events_ * event_interval_ms_)};
}

void stream_model::observe_arrival(std::uint32_t prompt_tokens,
                                   base::time_point now) {
    mean_prompt_tokens_ +=
        newest_weight * (prompt_tokens - mean_prompt_tokens_);
    // The rate decays over about a second, the time in which the load changes.
    const double decay =
        std::exp(-milliseconds_between(last_arrival_, now) / arrival_window_ms);
    arrival_rate_ = arrival_rate_ * decay + prompt_tokens / arrival_window_ms;
    last_arrival_ = now;
}

void stream_model::observe_prefill(double rate) {
    prefill_rate_ += newest_weight * (rate - prefill_rate_);
}

void stream_model::observe_answer(const placed_stream& stream,
                                  std::uint32_t events,
                                  base::time_point now) {
    if (events <= 1 || !stream.started_) {
        return;
    }
    const double interval =
        milliseconds_between(*stream.started_, now) / events;
    event_interval_ms_ += newest_weight * (interval - event_interval_ms_);
    mean_events_ += newest_weight * (events - mean_events_);
}

double stream_model::memory_token_ms() const {
    const double mean_tokens =
        mean_prompt_tokens_ + tokens_per_event_ * mean_events_ / 2;
    return mean_tokens * mean_events_ * event_interval_ms_;
}

} // namespace pimentoferry::placement
