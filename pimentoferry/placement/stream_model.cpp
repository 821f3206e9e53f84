#include "pimentoferry/placement/stream_model.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::placement {

namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

// Answers last some seconds; beyond that the estimate says little.
constexpr std::array<base::milliseconds, horizon_count> horizons{
    base::milliseconds{0},    base::milliseconds{500},
    base::milliseconds{1000}, base::milliseconds{1500},
    base::milliseconds{2000}, base::milliseconds{3000}};

// The median lies below the mean for such a distribution.
constexpr double median_of_mean = 0.9;

// From the end of a prefill to the first event: transfer and one step.
constexpr base::milliseconds first_event_overhead{80};
// Weight of the newest sample in the learned means.
constexpr double newest_weight = 0.05;

// The rate of arrivals is taken over about this time.
constexpr double arrival_window_ms = 1000;

/// Probability that an answer is longer than `events`. The log-logistic shape
/// with exponent 4 matches a log-normal error of the estimate of 0.45.
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

placed_stream stream_model::describe(const stream_request& wanted,
                                     base::time_point now) const {
    placed_stream stream;
    stream.prompt_tokens_ = wanted.prompt_tokens_;
    const double per_event = tokens_per_event_;
    stream.max_events_ = std::max(1.0, wanted.max_output_tokens_ / per_event);
    stream.expected_events_ = wanted.expected_output_tokens_ > 0
                                  ? wanted.expected_output_tokens_ / per_event
                                  : mean_events_ * median_of_mean;
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
    const double lasting = survival(events, stream.expected_events_) /
                           survival(events_now, stream.expected_events_);
    const double tokens = stream.prompt_tokens_ + tokens_per_event_ * events;
    return {lasting * tokens, lasting * (1 - lasting) * tokens * tokens};
}

memory_outlook stream_model::outlook_of(const placed_stream& stream,
                                        base::time_point now) const {
    memory_outlook result;
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

void stream_model::note_arrival(std::uint32_t prompt_tokens,
                                base::time_point now) {
    mean_prompt_ += newest_weight * (prompt_tokens - mean_prompt_);
    // The rate decays over about a second, the length of a change of load.
    const double decay =
        std::exp(-milliseconds_between(last_arrival_, now) / arrival_window_ms);
    arrival_rate_ = arrival_rate_ * decay + prompt_tokens / arrival_window_ms;
    last_arrival_ = now;
}

void stream_model::note_prefill(double rate) {
    prefill_rate_ += newest_weight * (rate - prefill_rate_);
}

void stream_model::note_answer(const placed_stream& stream,
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

double stream_model::token_ms() const {
    const double mean_tokens =
        mean_prompt_ + tokens_per_event_ * mean_events_ / 2;
    return mean_tokens * mean_events_ * event_interval_ms_;
}

} // namespace pimentoferry::placement
