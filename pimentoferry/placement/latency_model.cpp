#include "pimentoferry/placement/latency_model.hpp"

#include <algorithm>

namespace pimentoferry::placement {

namespace {

// The weight of an observation halves after about 35 further ones.
constexpr double decay = 0.98;
constexpr double outlier_factor = 4;
constexpr double min_slope_share = 0.1;

} // namespace

linear_estimate::linear_estimate(const estimate_prior& prior)
    : prior_{prior}, mean_load_{prior.load_}, mean_time_{prior.time_ms_},
      slope_{prior.slope_} {}

void linear_estimate::observe(double load, double time_ms) {
    const double limit = outlier_factor * std::max(predict(load), 1.0);
    const double time = std::min(time_ms, limit);
    count_ = count_ * decay + 1;
    load_squares_ *= decay;
    load_time_ *= decay;
    const double load_change = load - mean_load_;
    mean_load_ += load_change / count_;
    mean_time_ += (time - mean_time_) / count_;
    load_squares_ += load_change * (load - mean_load_);
    load_time_ += load_change * (time - mean_time_);
    refit();
}

void linear_estimate::refit() {
    const double weight = prior_.slope_weight_;
    const double fitted =
        (load_time_ + weight * prior_.slope_) / (load_squares_ + weight);
    slope_ = std::max(fitted, min_slope_share * prior_.slope_);
}

double linear_estimate::predict(double load) const {
    return std::max(0.0, mean_time_ + slope_ * (load - mean_load_));
}

double linear_estimate::slope() const {
    return slope_;
}

double linear_estimate::largest_load_under(double time_ms) const {
    return std::max(0.0, mean_load_ + (time_ms - mean_time_) / slope_);
}

linear_estimate default_prefill_estimate() {
    return linear_estimate{{4, 130, 30, 20}};
}

linear_estimate default_transfer_estimate() {
    return linear_estimate{{4, 140, 12, 20}};
}

linear_estimate default_step_estimate() {
    return linear_estimate{{8, 36, 2.5, 50}};
}

} // namespace pimentoferry::placement
