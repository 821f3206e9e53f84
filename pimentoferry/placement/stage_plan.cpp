#include "pimentoferry/placement/stage_plan.hpp"

#include <algorithm>
#include <limits>
#include <map>
#include <ranges>
#include <tuple>

namespace pimentoferry::placement {

namespace {

// Share of the decode memory that is in use when the pool counts as full; the
// rest allows for the variance of the lengths.
constexpr double usable_memory_share = 0.85;
constexpr std::uint32_t redundant_prefill_engines = 2;
constexpr std::uint32_t min_engines_for_redundancy = 4;
// A different split has to serve more by this share. A changed engine is out of
// service for seconds, and the demand is known with about this error.
constexpr double min_gain = 0.1;

bool is_known(const stream_demand& demand) {
    return demand.prefill_time_ > fractional_ms{0} &&
           demand.memory_token_ms_ > 0;
}

/// Streams that one decode engine completes per ms.
double decode_rate(const stream_demand& demand) {
    const double by_memory =
        demand.kv_tokens_ * usable_memory_share / demand.memory_token_ms_;
    const bool slots_limited =
        demand.slots_ > 0 && demand.answer_time_ > fractional_ms{0};
    return slots_limited ? std::min(by_memory,
                                    demand.slots_ / demand.answer_time_.count())
                         : by_memory;
}

/// Streams that both pools together can serve per ms.
double throughput(const stream_demand& demand,
                  std::uint32_t engines,
                  std::uint32_t prefill) {
    const double usual_engines =
        std::max(0.0, prefill - demand.prefill_shortfall_);
    return std::min(usual_engines / demand.prefill_time_.count(),
                    (engines - prefill) * decode_rate(demand));
}

/// Streams that the pools as they consist of `engines` can serve per ms.
double throughput(const stream_demand& demand,
                  const std::vector<planned_engine>& engines) {
    constexpr double ms_per_s = 1000;
    const double prefill_rate = 1 / demand.prefill_time_.count();
    double prefill = -demand.prefill_shortfall_ * prefill_rate;
    double decode = 0;
    for (const auto& engine : engines) {
        const double limit = engine.requests_per_s_.value_or(
                                 std::numeric_limits<double>::infinity()) /
                             ms_per_s;
        if (engine.role_ == engine_role::prefill) {
            prefill += std::min(limit, prefill_rate);
        } else {
            decode += std::min(limit, decode_rate(demand));
        }
    }
    return std::min(prefill, decode);
}

} // namespace

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines) {
    if (engines < 2) {
        return engines;
    }
    const std::uint32_t minimum =
        engines >= min_engines_for_redundancy ? redundant_prefill_engines : 1;
    if (!is_known(demand)) {
        return minimum;
    }
    const auto candidates = std::views::iota(minimum, engines);
    return *std::ranges::max_element(
        candidates, {}, [&](std::uint32_t prefill) {
            return throughput(demand, engines, prefill);
        });
}

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines,
                                   std::uint32_t current) {
    const auto best = plan_prefill_engines(demand, engines);
    if (current == 0 || current >= engines || !is_known(demand)) {
        return best;
    }
    const bool worthwhile =
        throughput(demand, engines, best) >
        throughput(demand, engines, current) * (1 + min_gain);
    return worthwhile ? best : current;
}

std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   const std::vector<planned_engine>& engines) {
    // A plan is made several times a second, and its work grows with the square
    // of the number of engines for each split.
    constexpr std::uint32_t most_changes = 4;
    const auto count = static_cast<std::uint32_t>(engines.size());
    const auto current = static_cast<std::uint32_t>(std::ranges::count(
        engines, engine_role::prefill, &planned_engine::role_));
    const auto unlimited_plan = plan_prefill_engines(demand, count, current);
    if (!is_known(demand) || current == 0 || current >= count) {
        return unlimited_plan;
    }
    const std::uint32_t minimum =
        count >= min_engines_for_redundancy ? redundant_prefill_engines : 1;
    const auto first = std::max(
        minimum, current > most_changes ? current - most_changes : minimum);
    const auto last = std::min(count - 1, current + most_changes);
    auto best = current;
    double best_throughput = throughput(demand, engines) * (1 + min_gain);
    for (auto prefill = first; prefill <= last; ++prefill) {
        auto changed = engines;
        for (const auto& change : stage_changes(engines, prefill)) {
            std::ranges::find(changed, change.engine_, &planned_engine::id_)
                ->role_ = change.role_;
        }
        const double served = throughput(demand, changed);
        if (served > best_throughput) {
            best = prefill;
            best_throughput = served;
        }
    }
    return best;
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
    const auto rank = [&domain_counts,
                       to_decode](const planned_engine& engine) {
        return std::tuple{engine.requests_per_s_.has_value() == to_decode,
                          domain_counts[engine.failure_domain_],
                          -static_cast<std::int64_t>(engine.active_requests_)};
    };
    for (const auto& engine : engines) {
        if (engine.role_ == from && engine.responsive_ &&
            (best == nullptr || rank(engine) > rank(*best))) {
            best = &engine;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    return stage_change{best->id_,
                        to_decode ? engine_role::decode : engine_role::prefill};
}

std::vector<stage_change> stage_changes(std::vector<planned_engine> engines,
                                        std::uint32_t target_prefill) {
    std::vector<stage_change> changes;
    while (const auto change = next_stage_change(engines, target_prefill)) {
        std::ranges::find(engines, change->engine_, &planned_engine::id_)
            ->role_ = change->role_;
        changes.push_back(*change);
    }
    return changes;
}

} // namespace pimentoferry::placement
