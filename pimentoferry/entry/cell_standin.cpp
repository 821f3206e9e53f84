#include "pimentoferry/entry/cell_standin.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <vector>

namespace pimentoferry::entry {

using result = std::optional<placement::to_entry>;

std::optional<placement::to_entry>
cell_standin::answer(const snapshot& state,
                     const base::cell_name& cell,
                     const placement::to_owner& message) {
    const auto prefill = next(state, cell, config::engine_role::prefill);
    const auto decode = next(state, cell, config::engine_role::decode);
    return std::visit(
        base::overloaded{
            [&](const placement::place_request& m) -> result {
                if (prefill.value_.empty() || decode.value_.empty()) {
                    return placement::place_refusal{
                        m.attempt_, base::refusal_code::no_upstream,
                        std::chrono::seconds{1}};
                }
                return placement::place_grant{m.attempt_, prefill, decode,
                                              false};
            },
            [&](const placement::prefill_finished& m) -> result {
                return placement::decode_bound{m.attempt_, decode};
            },
            [](const auto&) -> result { return std::nullopt; }},
        message);
}

base::upstream_name cell_standin::next(const snapshot& state,
                                       const base::cell_name& cell,
                                       config::engine_role role) {
    std::vector<base::upstream_name> fitting;
    for (const auto& [name, upstream] : state.routing_->state_.upstreams_) {
        if (upstream.kind_ == config::upstream_kind::engine &&
            upstream.role_ == role && cell_of(upstream) == cell &&
            is_serving(state, upstream)) {
            fitting.push_back(name);
        }
    }
    return fitting.empty() ? base::upstream_name{}
                           : fitting[turn_++ % fitting.size()];
}

} // namespace pimentoferry::entry
