/// Request workloads and engine parameters of the policy benchmark.
/// `docs/policy.md` gives the reasons for the values.
#ifndef PIMENTOFERRY_BENCH_WORKLOAD_HPP
#define PIMENTOFERRY_BENCH_WORKLOAD_HPP

#include "pimentoferry/base/ids.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::bench {

struct machine_settings {
    int prefill_engines_{3};
    int decode_engines_{6};
    std::uint32_t slots_{20};
    std::uint32_t kv_blocks_{130};
    double prefill_fixed_ms_{4};
    double prefill_tokens_per_ms_{45};
    double step_fixed_ms_{16};
    double step_per_request_ms_{2.7};
    double noise_{0.04}; ///< Relative, uniform; of a step or a prefill.
    double link_fixed_ms_{3};
    double link_tokens_per_ms_{80}; ///< Bandwidth out of one prefill engine.
    double result_lifetime_ms_{800};
    std::size_t cached_blocks_{64};
    double report_interval_ms_{250};
    double report_lag_ms_{100};
};

struct request_sample {
    std::uint32_t prompt_tokens_{0};
    std::uint32_t output_tokens_{0};
    std::vector<std::uint64_t> prefixes_;
    std::uint32_t shared_blocks_{0};
    int caller_{0};
    double disconnects_after_ms_{0}; ///< If no first token has arrived by then.
};

struct workload {
    std::string name_;
    int callers_{24};
    double heavy_share_{0.25}; ///< Share of the requests sent by caller 0.
    double budget_ms_{1'600};
    std::uint32_t max_output_tokens_{160};
    bool impatient_{false};
    int prefix_families_{12};
};

workload gedeo();
workload autentica();

/// Draws one request.
request_sample sample(const workload& load, std::mt19937_64& random);

/// Means over many samples, used for the upper bound of the goodput.
struct workload_means {
    double output_tokens_{0};
    double uncached_tokens_{0}; ///< Prompt without the shared blocks.
};
workload_means means_of(const workload& load);

/// Requests per second that the given number of engines can decode or prefill.
double decode_capacity(const machine_settings& m,
                       const workload_means& means,
                       int engines);
double prefill_capacity(const machine_settings& m,
                        const workload_means& means,
                        int engines);

} // namespace pimentoferry::bench

#endif
