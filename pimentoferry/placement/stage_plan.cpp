#include "pimentoferry/placement/stage_plan.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pimentoferry::placement {

namespace {

// Share of the decode memory that is in use when the pool counts as full; the
// rest allows for the variance of the lengths.
constexpr double usable_memory_share = 0.85;
// The prefill pool is planned for this share of the streams that a full decode
// pool can take. Both pools are full only in bursts, and each further prefill
// engine is one decode engine less. `stream_policy` in bench/ compares splits.
constexpr double prefill_share = 0.8;
constexpr std::uint32_t redundant_prefill_engines = 2;
constexpr std::uint32_t min_engines_for_redundancy = 4;

} // namespace

namespace {

std::uint32_t prefill_engines_for(const stream_demand& demand,
                                  std::uint32_t engines,
                                  double share) {
    if (engines < 2) {
        return engines;
    }
    const std::uint32_t minimum =
        engines >= min_engines_for_redundancy ? redundant_prefill_engines : 1;
    const bool observed =
        demand.prompt_tokens_ > 0 && demand.memory_token_ms_ > 0;
    if (!observed) {
        return minimum;
    }
    // Streams that one engine of each role serves per ms.
    const double prefill_rate = demand.prefill_rate_ / demand.prompt_tokens_;
    const double decode_rate =
        demand.kv_tokens_ * usable_memory_share / demand.memory_token_ms_;
    std::uint32_t prefill = minimum;
    while (prefill + 1 < engines &&
           (prefill - demand.prefill_shortfall_) * prefill_rate <
               (engines - prefill) * decode_rate * share) {
        ++prefill;
    }
    return prefill;
}

} // namespace

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines) {
    return prefill_engines_for(demand, engines, prefill_share);
}

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines,
                                   std::uint32_t current) {
    constexpr double tolerance = 1.2;
    const auto fewest =
        prefill_engines_for(demand, engines, prefill_share / tolerance);
    const auto most =
        prefill_engines_for(demand, engines, prefill_share * tolerance);
    return std::clamp(current, fewest, most);
}

std::optional<stage_change>
next_stage_change(const std::vector<planned_engine>& engines,
                  std::uint32_t target_prefill) {
    const auto prefill = static_cast<std::uint32_t>(std::ranges::count(
        engines, engine_role::prefill, &planned_engine::role_));
    if (prefill == target_prefill || engines.empty()) {
        return std::nullopt;
    }
    const bool to_decode = prefill > target_prefill;
    const auto from = to_decode ? engine_role::prefill : engine_role::decode;
    std::map<base::failure_domain, std::uint32_t> domain_counts;
    for (const auto& engine : engines) {
        domain_counts[engine.failure_domain_] += engine.role_ == from ? 1 : 0;
    }
    const planned_engine* best = nullptr;
    const auto rank = [&domain_counts](const planned_engine& engine) {
        return std::tuple{domain_counts[engine.failure_domain_],
                          -static_cast<std::int64_t>(engine.active_requests_)};
    };
    for (const auto& engine : engines) {
        if (engine.role_ == from &&
            (best == nullptr || rank(engine) > rank(*best))) {
            best = &engine;
        }
    }
    return stage_change{best->id_,
                        to_decode ? engine_role::decode : engine_role::prefill};
}

} // namespace pimentoferry::placement
