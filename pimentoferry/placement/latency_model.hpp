/// Latency estimates that are learnt from observations.
///
/// A prefill, a transfer and a decode step each take a fixed time plus a time
/// that is proportional to a load (thousands of tokens, or the batch size).
///
///     linear_estimate step{{8, 31.0, 2.0, 50}};
///     step.observe(20, 70.0);
///     step.predict(18);            // ms
///     step.largest_load_under(72); // batch whose step stays under 72 ms
#ifndef PIMENTOFERRY_PLACEMENT_LATENCY_MODEL_HPP
#define PIMENTOFERRY_PLACEMENT_LATENCY_MODEL_HPP

namespace pimentoferry::placement {

/// Prior of a `linear_estimate`. Before the first observation the time is
/// `time_ms_` at `load_`. Afterwards only `slope_` counts, with the weight of
/// `slope_weight_` squared loads. The point gets no weight, because together
/// with observations of a slower engine it would distort the slope.
struct estimate_prior {
    double load_{0};
    double time_ms_{0};
    double slope_{0};
    double slope_weight_{0};
};

/// Least squares fit of `time = fixed + slope * load` with exponential
/// decay of old observations. The prior slope keeps the fit defined while all
/// observed loads are similar.
class linear_estimate {
public:
    explicit linear_estimate(const estimate_prior& prior);

    /// Limits the observed time to four times the prediction, so that one
    /// stalled transfer does not distort the estimate.
    void observe(double load, double time_ms);

    /// Predicted time in milliseconds; at least 0.
    [[nodiscard]] double predict(double load) const;

    /// Milliseconds per unit of load; at least a tenth of the prior slope.
    [[nodiscard]] double slope() const;

    /// Largest load with a predicted time of at most `time_ms`; at least 0.
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

/// Initial estimates in the order of magnitude of the stand-in engines. Some
/// tens of observations replace each of them.
linear_estimate default_prefill_estimate();  ///< Load in 1,000 tokens.
linear_estimate default_transfer_estimate(); ///< Load in 1,000 tokens.
linear_estimate default_step_estimate();     ///< Load in running requests.

} // namespace pimentoferry::placement

#endif
