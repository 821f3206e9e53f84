#include "pimentoferry/placement/prefill_load.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::placement {

namespace {

// An engine interleaves several prefills, so a single one says little about its
// speed. A sample covers a period without idle time, or at least this time.
constexpr base::milliseconds min_sample_time{300};
// Weight of the newest sample; a drop in the speed is noticed after two or
// three samples.
constexpr double newest_weight = 0.4;
// After this time without a sample the usual speed is assumed again, so that a
// slow engine that gets no prompts is tried again.
constexpr base::milliseconds speed_validity{4000};
// Limits of a measured speed. The lower one keeps predictions finite for an
// engine that completes no prefill; a higher one than the upper is an error of
// a short sample.
constexpr double min_speed = 0.02;
constexpr double max_speed = 2;

base::milliseconds whole_ms(fractional_ms time) {
    return std::chrono::duration_cast<base::milliseconds>(time);
}

} // namespace

void prefill_load::begin(std::uint32_t tokens, base::time_point now) {
    if (prompts_ == 0) {
        prefilling_since_ = now;
        end_missed_ = false;
        restart_sample(now);
    }
    ++prompts_;
    tokens_ += tokens;
}

std::optional<fractional_ms>
prefill_load::in_progress(base::time_point now) const {
    if (end_missed_) {
        return std::nullopt;
    }
    return prompts_ > 0 ? fractional_ms{now - prefilling_since_}
                        : fractional_ms{0};
}

void prefill_load::finish(std::uint32_t tokens,
                          const prefill_cost& cost,
                          base::time_point now) {
    ++sample_prompts_;
    sample_tokens_ += tokens;
    remove(tokens, now);
    if (std::exchange(end_missed_, false)) {
        restart_sample(now);
    } else {
        update_speed(cost, now);
    }
}

void prefill_load::abandon(std::uint32_t tokens,
                           const prefill_cost& cost,
                           base::time_point now) {
    remove(tokens, now);
    // A shorter sample says nothing about the engine: the caller may have
    // disconnected.
    if (!end_missed_ && now - sample_start_ >= min_sample_time) {
        update_speed(cost, now);
    }
}

void prefill_load::forget(std::uint32_t tokens, base::time_point now) {
    remove(tokens, now);
    // The engine may have begun with the next prompt at any time since then.
    end_missed_ = true;
}

void prefill_load::remove(std::uint32_t tokens, base::time_point now) {
    prompts_ -= prompts_ > 0 ? 1 : 0;
    tokens_ =
        prompts_ == 0 ? 0 : tokens_ - std::min<std::uint64_t>(tokens, tokens_);
    prefilling_since_ = now;
}

void prefill_load::update_speed(const prefill_cost& cost,
                                base::time_point now) {
    const fractional_ms elapsed = now - sample_start_;
    const bool sample_complete =
        prompts_ == 0 || now - sample_start_ >= min_sample_time;
    if (!sample_complete || elapsed < base::milliseconds{1}) {
        return;
    }
    const double expected_ms =
        cost.time_of(sample_prompts_, static_cast<double>(sample_tokens_))
            .count();
    const double sample = std::min(max_speed, expected_ms / elapsed.count());
    speed_ = speed(now);
    speed_ = std::max(min_speed, speed_ + newest_weight * (sample - speed_));
    speed_measured_at_ = now;
    restart_sample(now);
}

void prefill_load::restart_sample(base::time_point now) {
    sample_start_ = now;
    sample_prompts_ = 0;
    sample_tokens_ = 0;
}

double prefill_load::speed(base::time_point now) const {
    return now - speed_measured_at_ < speed_validity ? speed_ : 1;
}

base::milliseconds prefill_load::wait(const prefill_cost& cost,
                                      base::time_point now) const {
    if (prompts_ == 0) {
        return base::milliseconds{0};
    }
    const auto total =
        cost.time_of(prompts_, static_cast<double>(tokens_)) / speed(now);
    // The first prompt may take longer than expected, but the engine has not
    // started those behind it.
    const auto queued = total * (prompts_ - 1) / prompts_;
    return whole_ms(
        std::max(queued, total - in_progress(now).value_or(fractional_ms{0})));
}

base::milliseconds prefill_load::prefill_time(std::uint32_t tokens,
                                              const prefill_cost& cost,
                                              base::time_point now) const {
    return whole_ms(cost.time_of(1, tokens) / speed(now));
}

} // namespace pimentoferry::placement
