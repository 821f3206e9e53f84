/// Engines, callers and time for measurements of the stream scheduler.
///
/// The model follows played days: an engine reads one prompt after the other;
/// a stream holds its prompt and grows by a constant number of tokens with
/// each event; when the memory of an engine is exhausted, its newest stream is
/// preempted and read again at half speed; a refused caller returns once.
///
///     stream_world world{scenario, seed};
///     const stream_outcome outcome = world.run(make_policy());
#ifndef PIMENTOFERRY_BENCH_STREAM_WORLD_HPP
#define PIMENTOFERRY_BENCH_STREAM_WORLD_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/stream_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::bench {

/// A time in which callers send a multiple of the usual rate.
struct burst {
    base::milliseconds at_{0};
    base::milliseconds lasts_{0};
    double factor_{1};
};

struct scenario {
    std::string name_;
    double streams_per_second_{10};
    std::uint32_t prefill_engines_{3};
    std::uint32_t decode_engines_{6};
    std::uint32_t slots_{64};
    std::uint64_t kv_tokens_{107'754};
    std::vector<burst> bursts_;
    base::milliseconds length_{34'000};
    /// What an answer is worth on time and late, and what 1,000 prompt tokens
    /// read for nothing cost.
    double worth_on_time_{36};
    double worth_late_{7.3};
    double waste_price_{5.8};
};

struct stream_outcome {
    std::uint32_t asked_{0};
    std::uint32_t on_time_{0};
    std::uint32_t late_{0};
    std::uint32_t refused_{0}; ///< For good.
    std::uint32_t preemptions_{0};
    std::uint32_t rejections_{0}; ///< By a decode engine without room.
    double wasted_tokens_{0};
    double value_{0}; ///< Of what the callers asked for, less the prices.
    /// Share of the largest fifth of the prompts that was answered.
    double large_served_{0};
};

/// The policy under test: what `placement::stream_scheduler` does, or a
/// baseline with the same functions.
struct stream_policy {
    using decisions = std::vector<placement::stream_decision>;
    std::function<decisions(const placement::stream_request&, base::time_point)>
        request_;
    std::function<void(base::attempt_id, base::time_point)> prefilled_;
    std::function<void(base::attempt_id, base::time_point)> started_;
    std::function<decisions(base::attempt_id, base::time_point)> rejected_;
    std::function<decisions(base::attempt_id, std::uint32_t, base::time_point)>
        ended_;
    std::function<decisions(base::time_point)> tick_;
};

/// The engines of a scenario as the scheduler sees them.
std::vector<placement::stream_engine> engines_of(const scenario& load);

/// The scheduler of the product.
stream_policy scheduler_policy(const scenario& load,
                               placement::stream_settings settings = {});
/// The engine with the fewest streams, without admission control.
stream_policy fewest_streams_policy(const scenario& load);
/// A place is granted only if the whole estimated answer fits.
stream_policy whole_answer_policy(const scenario& load);

stream_outcome
run_streams(const scenario& load, std::uint64_t seed, stream_policy policy);

/// The same load with the split of the engines that the product plans.
scenario with_planned_split(scenario load);

/// The loads of the two sites and of their grown deployments.
std::vector<scenario> usual_scenarios();

} // namespace pimentoferry::bench

#endif
