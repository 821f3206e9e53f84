/// Estimates of times that are learnt from observations.
///
/// Prefill, transfer and decode step all take a fixed part and a part that
/// grows with a load (thousands of tokens, or the size of the batch).
///
///     linear_estimate step{{8, 31.0, 2.0, 50}};
///     step.observe(20, 70.0);
///     step.predict(18);            // ms
///     step.largest_load_under(72); // batch whose step stays under 72 ms
#ifndef PIMENTOFERRY_PLACEMENT_LATENCY_MODEL_HPP
#define PIMENTOFERRY_PLACEMENT_LATENCY_MODEL_HPP

namespace pimentoferry::placement {

/// What is assumed before the first observation: `time_ms_` at `load_`, and
/// afterwards `slope_` with the weight of `slope_weight_` squared loads. The
/// point itself gets no weight: against observations of a slower engine it
/// would turn the slope.
struct estimate_prior {
    double load_{0};
    double time_ms_{0};
    double slope_{0};
    double slope_weight_{0};
};

/// Least squares fit of `time = fixed + slope * load` with exponential
/// forgetting. The prior slope keeps the fit defined while all observed loads
/// are alike.
class linear_estimate {
public:
    explicit linear_estimate(const estimate_prior& prior);

    /// An outlier counts at most four times its predicted time, so that one
    /// stalled transfer does not spoil the estimate.
    void observe(double load, double time_ms);

    /// Never negative.
    [[nodiscard]] double predict(double load) const;

    /// The part that grows with the load; at least a tenth of the prior.
    [[nodiscard]] double slope() const;

    /// Largest load that is predicted to take at most `time_ms`; at least 0.
    [[nodiscard]] double largest_load_under(double time_ms) const;

private:
    void refit();

    estimate_prior prior_;
    double count_{0};
    double mean_load_{0};
    double mean_time_{0};
    double load_squares_{0};
    double load_time_{0};
    double slope_{0};
};

/// Starting values of the stand-ins' order of magnitude; each is replaced
/// within some tens of observations.
linear_estimate default_prefill_estimate();  ///< Load in 1,000 tokens.
linear_estimate default_transfer_estimate(); ///< Load in 1,000 tokens.
linear_estimate default_step_estimate();     ///< Load in running requests.

} // namespace pimentoferry::placement

#endif
