/// Computes the figures of a run, and their median and range over seeds.
#ifndef PIMENTOFERRY_BENCH_METRICS_HPP
#define PIMENTOFERRY_BENCH_METRICS_HPP

#include "bench/cell_simulation.hpp"

#include <array>
#include <string_view>
#include <vector>

namespace pimentoferry::bench {

enum class figure : std::uint8_t {
    goodput,          ///< Answers within both targets, per second and engine.
    goodput_vs_bound, ///< Goodput divided by the upper bound of the run.
    wasted_prefill,   ///< Share of the computed prefill tokens.
    refusals,         ///< Share of the requests.
    left, ///< Share of the requests whose callers disconnected or cancelled.
    lost, ///< Share of the requests that failed.
    late, ///< Share answered that missed the first-token target.
    slow, ///< Share that met the first-token but missed the interval target.
    first_token_p50_ms,
    first_token_p95_ms,
    first_token_p99_ms,
    interval_p50_ms,
    interval_p95_ms,
    interval_p99_ms,
    fairness, ///< Jain's index, see `docs/policy.md`.
};
inline constexpr std::size_t figure_count = 15;
inline constexpr std::array<std::string_view, figure_count> figure_names{
    "goodput",
    "vs_bound",
    "wasted",
    "refused",
    "left",
    "lost",
    "late",
    "slow",
    "first_token_p50",
    "first_token_p95",
    "first_token_p99",
    "interval_p50",
    "interval_p95",
    "interval_p99",
    "jain"};

using figures = std::array<double, figure_count>;

figures figures_of(const run_result& run, int callers);

struct spread {
    double median_{0};
    double low_{0};
    double high_{0};
};
/// Median, minimum and maximum over runs with different seeds.
std::array<spread, figure_count> spread_of(const std::vector<figures>& runs);

} // namespace pimentoferry::bench

#endif
