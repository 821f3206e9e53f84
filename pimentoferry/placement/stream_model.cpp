#include "pimentoferry/placement/stream_model.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::placement {

namespace {

// Times of the forecast. Answers last some seconds; beyond that the forecast
// says little.
constexpr std::array<base::milliseconds, horizon_count> horizons{
    base::milliseconds{0},    base::milliseconds{500},
    base::milliseconds{1000}, base::milliseconds{1500},
    base::milliseconds{2000}, base::milliseconds{3000}};

// Ratio of the median length of an answer to its mean, which lies above the
// median in a right-skewed distribution.
constexpr double median_to_mean_ratio = 0.9;

// Time constant of the means. A mean over a fixed number of samples would be
// one of a fraction of a second in a large service.
constexpr double mean_window_ms = 10'000;

// Time constant of the moving averages of the arrivals: about the time in which
// the load changes.
constexpr double arrival_window_ms = 1000;

// A first event that is later than this after its prefill says more about a
// single engine in trouble than about the service.
constexpr base::milliseconds max_first_event_sample{500};
// Share of the mean time to a first event that is added for its variance and
// the delivery to the caller.
constexpr double first_event_margin = 0.25;

// Requests, prefills and answers after which their means are used for plans.
// The lengths of prompts and answers vary by half of their mean or more, so
// twenty samples give the mean within about 15 %; the time between two events
// varies much less.
constexpr std::uint64_t min_requests = 20;
constexpr std::uint64_t min_prefills = 10;
constexpr std::uint64_t min_answers = 5;

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
                                  : answer_events_.mean_ * median_to_mean_ratio;
    stream.expected_events_ =
        std::clamp(stream.expected_events_, 1.0, stream.max_events_);
    stream.granted_ = now;
    stream.software_version_ = request.software_version_;
    stream.excluded_ = request.excluded_;
    return stream;
}

double stream_model::events_at(const placed_stream& stream,
                               base::time_point at) const {
    const auto expected_start =
        stream.granted_ + first_event_time(stream.prompt_tokens_);
    const auto start = stream.started_.value_or(expected_start);
    return std::max(0.0,
                    milliseconds_between(start, at) / event_interval_ms_.mean_);
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
    const double variance =
        survival_probability * (1 - survival_probability) * tokens * tokens;
    return {survival_probability * tokens, variance, tokens};
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
    return std::chrono::duration_cast<base::milliseconds>(
        prefill_cost_.time_of(1, tokens));
}

base::milliseconds stream_model::first_event_time(std::uint32_t tokens) const {
    const fractional_ms after_prefill{first_event_ms_.mean_ *
                                      (1 + first_event_margin)};
    return std::chrono::duration_cast<base::milliseconds>(
        prefill_cost_.time_of(1, tokens) + after_prefill);
}

base::milliseconds
stream_model::answer_time(const placed_stream& stream) const {
    return base::milliseconds{static_cast<std::int64_t>(
        stream.expected_events_ * event_interval_ms_.mean_)};
}

void stream_model::running_mean::observe(double sample, base::time_point now) {
    ++samples_;
    weight_ *=
        std::exp(-milliseconds_between(last_sample_, now) / mean_window_ms);
    weight_ += 1;
    last_sample_ = now;
    mean_ += (sample - mean_) / weight_;
}

double stream_model::arrival_decay(base::time_point now) const {
    return std::exp(-milliseconds_between(last_arrival_, now) /
                    arrival_window_ms);
}

void stream_model::observe_arrival(const stream_request& request,
                                   base::time_point now) {
    prompt_tokens_.observe(request.prompt_tokens_, now);
    if (request.expected_output_tokens_ > 0) {
        hinted_events_.observe(make_stream(request, now).expected_events_, now);
    }
    const double decay = arrival_decay(now);
    arriving_tokens_per_ms_ = arriving_tokens_per_ms_ * decay +
                              request.prompt_tokens_ / arrival_window_ms;
    arriving_prompts_per_ms_ =
        arriving_prompts_per_ms_ * decay + 1 / arrival_window_ms;
    last_arrival_ = now;
    first_arrival_ = first_arrival_.value_or(now);
}

void stream_model::observe_prefill(std::uint32_t prompt_tokens,
                                   fractional_ms time) {
    prefill_cost_.observe(prompt_tokens, time);
}

void stream_model::observe_first_event(base::milliseconds after_prefill,
                                       base::time_point now) {
    if (after_prefill <= max_first_event_sample) {
        first_event_ms_.observe(fractional_ms{after_prefill}.count(), now);
    }
}

void stream_model::observe_answer(const placed_stream& stream,
                                  std::uint32_t events,
                                  base::time_point now) {
    if (events <= 1 || !stream.started_) {
        return;
    }
    event_interval_ms_.observe(
        milliseconds_between(*stream.started_, now) / (events - 1), now);
    answer_events_.observe(events, now);
}

bool stream_model::learned(base::time_point now) const {
    return prompt_tokens_.samples_ >= min_requests &&
           prefill_cost_.samples() >= min_prefills &&
           event_interval_ms_.samples_ >= min_answers &&
           now - *first_arrival_ >= mean_answer_time(now);
}

fractional_ms stream_model::arriving_work(fractional_ms period,
                                          base::time_point now) const {
    return prefill_cost_.time_of(arriving_prompts_per_ms_ * arrival_decay(now) *
                                     period.count(),
                                 arrival_rate(now) * period.count());
}

// Short answers complete first, so the first complete answers understate the
// mean. Until the mean covers its whole window, the estimates of the callers
// are used.
fractional_ms stream_model::mean_answer_time(base::time_point now) const {
    const bool window_covered =
        first_arrival_ &&
        milliseconds_between(*first_arrival_, now) >= mean_window_ms;
    const bool hinted =
        !window_covered && hinted_events_.samples_ >= min_requests;
    const double events = hinted ? hinted_events_.mean_ : answer_events_.mean_;
    return fractional_ms{events * event_interval_ms_.mean_};
}

double stream_model::memory_token_ms(base::time_point now) const {
    const auto answer_time = mean_answer_time(now);
    const double events = answer_time.count() / event_interval_ms_.mean_;
    const double mean_tokens =
        prompt_tokens_.mean_ + tokens_per_event_ * events / 2;
    return mean_tokens * answer_time.count();
}

} // namespace pimentoferry::placement
