/// Plans how many engines prefill and how many decode.
///
/// A stream needs both roles, so the pool that serves fewer streams limits the
/// service while engines of the other one are idle. The plan is the split that
/// serves most streams.
///
///     const auto target = plan_prefill_engines(demand, engines.size());
///     const auto change = next_stage_change(engines, target);
#ifndef PIMENTOFERRY_PLACEMENT_STAGE_PLAN_HPP
#define PIMENTOFERRY_PLACEMENT_STAGE_PLAN_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/placement/events.hpp"
#include "pimentoferry/placement/prefill_cost.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoferry::placement {

/// Resources that a stream needs on average, and the capacity of the engines.
struct stream_demand {
    /// Time of a prefill at an engine of usual speed; 0: not known.
    fractional_ms prefill_time_{0};
    /// Memory of a stream over its duration, in tokens times ms.
    double memory_token_ms_{0};
    /// KV memory of a decode engine, in tokens.
    double kv_tokens_{0};
    /// Prefill capacity that slow engines lack, in engines of usual speed.
    double prefill_shortfall_{0};
    /// Duration of an answer, and the answers that an engine decodes at a time;
    /// 0: no limit.
    fractional_ms answer_time_{0};
    std::uint32_t slots_{0};
};

/// The properties of an engine on which the plan depends.
struct planned_engine {
    base::upstream_name id_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    /// Streams and prompts in progress, which a change would delay.
    std::uint32_t active_requests_{0};
    bool responsive_{true}; ///< Otherwise it would not receive an order.
    /// Requests a second that it announced to accept; unset: no limit. A limit
    /// costs less at a decode engine, which is sent fewer requests.
    std::optional<double> requests_per_s_;
};

struct stage_change {
    base::upstream_name engine_;
    engine_role role_{engine_role::decode}; ///< The new one.
};

/// Returns the number of prefill engines, out of `engines`, with which both
/// roles together serve most streams. At least two if there are four engines or
/// more, so that prefill survives the loss of one, and never all of two or more
/// engines.
std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines);

/// As above, but keeps `current` prefill engines unless the plan serves a tenth
/// more: each change takes an engine out of service for seconds.
std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines,
                                   std::uint32_t current);

/// As above, for engines of which some announced limits: what the pools can
/// serve depends on which engines they consist of. Considers splits that differ
/// from the current one by a few engines.
std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   const std::vector<planned_engine>& engines);

/// Returns the next engine to change; none if the split is as planned. The
/// engine is taken from the pool that is too large, in the failure domain that
/// has most engines of that pool, so that each failure domain keeps both roles;
/// among those it is the one with the least work. Engines that announced a
/// limit become decode engines first and prefill engines last. Unresponsive
/// engines are left out.
std::optional<stage_change>
next_stage_change(const std::vector<planned_engine>& engines,
                  std::uint32_t target_prefill);

/// Returns all changes from the current split to the planned one. They can be
/// made at the same time: each pool only loses engines that the plan does not
/// need there.
std::vector<stage_change> stage_changes(std::vector<planned_engine> engines,
                                        std::uint32_t target_prefill);

} // namespace pimentoferry::placement

#endif
