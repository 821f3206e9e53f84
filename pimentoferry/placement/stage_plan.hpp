/// How many engines read prompts and how many write answers.
///
/// Pattern of load: prompts are read quickly and answers hold memory for
/// seconds, so a fixed split leaves one pool idle while the other is full. The
/// plan gives the prefill pool just what it needs to feed the decode pool, and
/// the rest to decode.
///
///     const auto wanted = plan_prefill_engines(demand, engines.size());
///     const auto change = next_stage_change(engines, wanted);
#ifndef PIMENTOFERRY_PLACEMENT_STAGE_PLAN_HPP
#define PIMENTOFERRY_PLACEMENT_STAGE_PLAN_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/placement/events.hpp"

#include <cstdint>
#include <optional>
#include <vector>

namespace pimentoferry::placement {

/// What a stream asks of the engines, on average.
struct stream_demand {
    double prompt_tokens_{0};
    /// Prompt tokens that a prefill engine of usual speed reads in a ms.
    double prefill_rate_{0};
    /// Memory of a stream over its life, in tokens times ms.
    double token_ms_{0};
    /// KV memory of a decode engine in tokens.
    double kv_tokens_{0};
    /// Engines of usual speed by which slow prefill engines fall short.
    double missing_prefill_{0};
};

/// An engine as the plan sees it.
struct planned_engine {
    base::upstream_name id_;
    engine_role role_{engine_role::prefill};
    base::failure_domain failure_domain_;
    /// Work that a change would delay: streams or prompts in progress.
    std::uint32_t work_{0};
};

struct stage_change {
    base::upstream_name engine_;
    engine_role role_{engine_role::decode}; ///< The new one.
};

/// The prefill engines out of `engines` that feed the others. At least two
/// where there are four engines or more, so that the loss of one is survived,
/// and never all.
std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines);

/// As above, but `current` prefill engines are kept unless the demand differs
/// by a fifth from what they suit: each change takes an engine out of service
/// for seconds.
std::uint32_t plan_prefill_engines(const stream_demand& demand,
                                   std::uint32_t engines,
                                   std::uint32_t current);

/// The engine to change next; none if the split is as planned. Among the
/// engines of the larger pool, one in the failure domain that has most of
/// them, so that each failure domain keeps both roles; among those the one
/// with the least work.
std::optional<stage_change>
next_stage_change(const std::vector<planned_engine>& engines,
                  std::uint32_t wanted_prefill);

} // namespace pimentoferry::placement

#endif
