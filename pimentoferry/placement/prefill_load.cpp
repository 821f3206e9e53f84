#include "pimentoferry/placement/prefill_load.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// An engine reads several prompts by turns, so a single one says little: the
// speed is taken over a time without idleness, or over this time.
constexpr base::milliseconds measuring_time{300};
// Weight of the newest measurement; an engine that turns slow is noticed after
// two or three of them.
constexpr double newest_weight = 0.4;
// A slow engine that gets nothing is tried again as if it were a usual one.
constexpr base::milliseconds rate_validity{4000};
// Keeps predictions finite for an engine that reads nothing.
constexpr double least_rate = 1;

double milliseconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

base::milliseconds whole_ms(double time) {
    return base::milliseconds{static_cast<std::int64_t>(time)};
}

} // namespace

void prefill_load::begin(std::uint32_t tokens, base::time_point now) {
    if (prompts_ == 0) {
        reading_since_ = now;
        measured_ = now;
        read_ = 0;
    }
    ++prompts_;
    tokens_ += tokens;
}

void prefill_load::finish(std::uint32_t tokens, base::time_point now) {
    read_ += tokens;
    remove(tokens, now);
    measure(now);
}

void prefill_load::abandon(std::uint32_t tokens, base::time_point now) {
    remove(tokens, now);
    // Without a measuring time nothing is known: the caller may have left.
    if (now - measured_ >= measuring_time) {
        measure(now);
    }
}

void prefill_load::remove(std::uint32_t tokens, base::time_point now) {
    prompts_ -= prompts_ > 0 ? 1 : 0;
    tokens_ =
        prompts_ == 0 ? 0 : tokens_ - std::min<std::uint64_t>(tokens, tokens_);
    reading_since_ = now;
}

void prefill_load::measure(base::time_point now) {
    const double took = milliseconds_between(measured_, now);
    const bool enough = prompts_ == 0 || now - measured_ >= measuring_time;
    if (!enough || took < 1) {
        return;
    }
    const double sample = static_cast<double>(read_) / took;
    rate_ = rate(now);
    rate_ = std::max(least_rate, rate_ + newest_weight * (sample - rate_));
    rate_at_ = now;
    measured_ = now;
    read_ = 0;
}

double prefill_load::rate(base::time_point now) const {
    return now - rate_at_ < rate_validity ? rate_ : default_prefill_rate;
}

base::milliseconds prefill_load::wait(base::time_point now) const {
    if (prompts_ == 0) {
        return base::milliseconds{0};
    }
    const double total = static_cast<double>(tokens_) / rate(now);
    // The first prompt may take longer than expected, but those behind it have
    // not been begun.
    const double behind = total * (prompts_ - 1) / prompts_;
    return whole_ms(
        std::max(behind, total - milliseconds_between(reading_since_, now)));
}

base::milliseconds prefill_load::read_time(std::uint32_t tokens,
                                           base::time_point now) const {
    return whole_ms(tokens / rate(now));
}

} // namespace pimentoferry::placement
