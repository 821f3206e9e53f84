#include "pimentoferry/placement/prefill_load.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// An engine interleaves several prefills, so a single one says little about its
// rate. A sample covers a period without idle time, or at least this time.
constexpr base::milliseconds min_sample_time{300};
// Weight of the newest sample; a drop in the rate is noticed after two or three
// samples.
constexpr double newest_weight = 0.4;
// After this time without a sample the default rate is assumed again, so that a
// slow engine that gets no prompts is tried again.
constexpr base::milliseconds rate_validity{4000};
// Keeps predictions finite for an engine that completes no prefill; in prompt
// tokens per ms.
constexpr double min_rate = 1;

double milliseconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

base::milliseconds whole_ms(double ms) {
    return base::milliseconds{static_cast<std::int64_t>(ms)};
}

} // namespace

void prefill_load::begin(std::uint32_t tokens, base::time_point now) {
    if (prompts_ == 0) {
        prefilling_since_ = now;
        sample_start_ = now;
        sample_tokens_ = 0;
    }
    ++prompts_;
    tokens_ += tokens;
}

void prefill_load::finish(std::uint32_t tokens, base::time_point now) {
    sample_tokens_ += tokens;
    remove(tokens, now);
    update_rate(now);
}

void prefill_load::abandon(std::uint32_t tokens, base::time_point now) {
    remove(tokens, now);
    // A shorter sample says nothing about the engine: the caller may have
    // disconnected.
    if (now - sample_start_ >= min_sample_time) {
        update_rate(now);
    }
}

void prefill_load::remove(std::uint32_t tokens, base::time_point now) {
    prompts_ -= prompts_ > 0 ? 1 : 0;
    tokens_ =
        prompts_ == 0 ? 0 : tokens_ - std::min<std::uint64_t>(tokens, tokens_);
    prefilling_since_ = now;
}

void prefill_load::update_rate(base::time_point now) {
    const double elapsed_ms = milliseconds_between(sample_start_, now);
    const bool sample_complete =
        prompts_ == 0 || now - sample_start_ >= min_sample_time;
    if (!sample_complete || elapsed_ms < 1) {
        return;
    }
    const double sample = static_cast<double>(sample_tokens_) / elapsed_ms;
    rate_ = rate(now);
    rate_ = std::max(min_rate, rate_ + newest_weight * (sample - rate_));
    rate_measured_at_ = now;
    sample_start_ = now;
    sample_tokens_ = 0;
}

double prefill_load::rate(base::time_point now) const {
    return now - rate_measured_at_ < rate_validity ? rate_
                                                   : default_prefill_rate;
}

base::milliseconds prefill_load::wait(base::time_point now) const {
    if (prompts_ == 0) {
        return base::milliseconds{0};
    }
    const double total_ms = static_cast<double>(tokens_) / rate(now);
    // The first prompt may take longer than expected, but the engine has not
    // started those behind it.
    const double queued_ms = total_ms * (prompts_ - 1) / prompts_;
    return whole_ms(std::max(
        queued_ms, total_ms - milliseconds_between(prefilling_since_, now)));
}

base::milliseconds prefill_load::prefill_time(std::uint32_t tokens,
                                              base::time_point now) const {
    return whole_ms(tokens / rate(now));
}

} // namespace pimentoferry::placement
