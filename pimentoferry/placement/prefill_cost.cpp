#include "pimentoferry/placement/prefill_cost.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// Factor by which the weight of a sample decreases with each newer one: about
// the last hundred samples count.
constexpr double retained_weight = 0.99;
// An engine that hangs during a prefill says nothing about the cost of prompts,
// so a sample counts at most this many times the expected time.
constexpr double max_ratio = 4;
// Number of samples after which the expectation is reliable enough to limit
// further ones.
constexpr std::uint64_t min_samples_for_limit = 8;
// The slope is fitted only if the lengths of the prompts vary by this variance,
// in squared units of 1,000 tokens; otherwise the fixed part cannot be told
// from the part per token.
constexpr double min_length_variance = 0.05;
constexpr double min_ms_per_ktoken = 0.1;
constexpr double tokens_per_ktoken = 1000;

} // namespace

void prefill_cost::observe(std::uint32_t tokens, fractional_ms time) {
    const double expected = time_of(1, tokens).count();
    const double ms = samples_ < min_samples_for_limit
                          ? time.count()
                          : std::min(time.count(), max_ratio * expected);
    for (auto* sum : {&weight_, &x_, &xx_, &y_, &xy_}) {
        *sum *= retained_weight;
    }
    const double ktokens = tokens / tokens_per_ktoken;
    weight_ += 1;
    x_ += ktokens;
    xx_ += ktokens * ktokens;
    y_ += ms;
    xy_ += ktokens * ms;
    ++samples_;
    fit();
}

void prefill_cost::fit() {
    const double mean_x = x_ / weight_;
    const double mean_y = y_ / weight_;
    const double variance = xx_ / weight_ - mean_x * mean_x;
    const double covariance = xy_ / weight_ - mean_x * mean_y;
    const double through_origin =
        std::max(mean_y / std::max(mean_x, 1e-9), min_ms_per_ktoken);
    const bool fits =
        samples_ >= min_samples_for_limit && variance > min_length_variance;
    // A line with a negative fixed part would make short prompts free.
    ms_per_ktoken_ = fits ? std::clamp(covariance / variance, min_ms_per_ktoken,
                                       through_origin)
                          : through_origin;
    fixed_ms_ = std::max(0.0, mean_y - ms_per_ktoken_ * mean_x);
}

fractional_ms prefill_cost::time_of(double prompts, double tokens) const {
    return fractional_ms{fixed_ms_ * prompts +
                         ms_per_ktoken_ * tokens / tokens_per_ktoken};
}

} // namespace pimentoferry::placement
