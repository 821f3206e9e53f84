#include "pimentoferry/placement/stage_plan.hpp"

#include <algorithm>
#include <map>
#include <tuple>

namespace pimentoferry::placement {

namespace {

// Part of the decode memory that is in use when the pool counts as full; the
// rest is kept for the spread of lengths.
constexpr double usable_memory = 0.85;
// The prefill pool is planned for this part of what a full decode pool can
// take. Both are only full in bursts, and a prefill engine more is a decode
// engine less; `stream_policy` in bench/ measures the split.
constexpr double prefill_part = 0.8;
constexpr std::uint32_t least_prefill = 2;
constexpr std::uint32_t engines_for_two = 4;

} // namespace

namespace {

std::uint32_t
prefill_for(const stream_demand& demand, std::uint32_t engines, double part) {
    if (engines < 2) {
        return engines;
    }
    const std::uint32_t least = engines >= engines_for_two ? least_prefill : 1;
    const bool known = demand.prompt_tokens_ > 0 && demand.token_ms_ > 0;
    if (!known) {
        return least;
    }
    // Streams that one engine of each role serves in a ms.
    const double prefilled = demand.prefill_rate_ / demand.prompt_tokens_;
    const double decoded = demand.kv_tokens_ * usable_memory / demand.token_ms_;
    std::uint32_t prefill = least;
    while (prefill + 1 < engines &&
           (prefill - demand.missing_prefill_) * prefilled <
               (engines - prefill) * decoded * part) {
        ++prefill;
    }
    return prefill;
}

} // namespace

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines) {
    return prefill_for(demand, engines, prefill_part);
}

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines,
                                   std::uint32_t current) {
    constexpr double tolerance = 1.2;
    const auto fewest = prefill_for(demand, engines, prefill_part / tolerance);
    const auto most = prefill_for(demand, engines, prefill_part * tolerance);
    return std::clamp(current, fewest, most);
}

std::optional<stage_change>
next_stage_change(const std::vector<planned_engine>& engines,
                  std::uint32_t wanted_prefill) {
    const auto prefill = static_cast<std::uint32_t>(std::ranges::count(
        engines, engine_role::prefill, &planned_engine::role_));
    if (prefill == wanted_prefill || engines.empty()) {
        return std::nullopt;
    }
    const bool to_decode = prefill > wanted_prefill;
    const auto from = to_decode ? engine_role::prefill : engine_role::decode;
    std::map<base::failure_domain, std::uint32_t> in_domain;
    for (const auto& engine : engines) {
        in_domain[engine.failure_domain_] += engine.role_ == from ? 1 : 0;
    }
    const planned_engine* best = nullptr;
    const auto rank = [&in_domain](const planned_engine& engine) {
        return std::tuple{in_domain[engine.failure_domain_],
                          -static_cast<std::int64_t>(engine.work_)};
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
