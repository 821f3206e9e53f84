/// Learned time that an engine of a service needs for a prefill.
///
/// The time has a fixed part for each prompt and a part for each prompt token.
/// Either part may dominate, depending on the engines, so both are fitted to
/// the prefills that were observed: a weighted least-squares line in which
/// older prefills weigh less.
///
///     cost.observe(tokens, time);
///     const auto expected = cost.time_of(1, tokens);
#ifndef PIMENTOFERRY_PLACEMENT_PREFILL_COST_HPP
#define PIMENTOFERRY_PLACEMENT_PREFILL_COST_HPP

#include <chrono>
#include <cstdint>

namespace pimentoferry::placement {

using fractional_ms = std::chrono::duration<double, std::milli>;

class prefill_cost {
public:
    /// Records that an engine spent `time` on a prompt of `tokens` tokens, not
    /// counting the wait for other prompts.
    void observe(std::uint32_t tokens, fractional_ms time);

    /// Expected time of `prompts` prefills of `tokens` tokens in total, one
    /// after the other.
    fractional_ms time_of(double prompts, double tokens) const;

    /// Number of observed prefills.
    std::uint64_t samples() const { return samples_; }

private:
    void fit();

    std::uint64_t samples_{0};
    // Weighted sums over the samples: weight, x, x², y and xy, where x is the
    // length of a prompt in 1,000 tokens and y its time in ms.
    double weight_{0};
    double x_{0};
    double xx_{0};
    double y_{0};
    double xy_{0};

    double fixed_ms_{0};
    /// The default applies until a prefill has been observed.
    double ms_per_ktoken_{20};
};

} // namespace pimentoferry::placement

#endif
