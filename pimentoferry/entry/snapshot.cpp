#include "pimentoferry/entry/snapshot.hpp"

#include "pimentoferry/base/hash.hpp"

#include <sodium/crypto_hash_sha256.h>
#include <sodium/utils.h>

#include <algorithm>
#include <array>

namespace pimentoferry::entry {

namespace {

base::refusal not_run(base::refusal_code code, std::string detail) {
    return {code, base::ran_state::not_run, std::nullopt, std::move(detail)};
}

config::model_target target_for(const config::deployment& deployment,
                                const base::caller_name& caller) {
    const auto found = std::ranges::find_if(
        deployment.overrides_, [&caller](const config::caller_target& target) {
            return std::ranges::count(target.callers_, caller) > 0;
        });
    return found == deployment.overrides_.end() ? deployment.target_
                                                : found->target_;
}

} // namespace

std::shared_ptr<const routing_table> make_routing_table(std::uint64_t number,
                                                        config::state state) {
    auto table = std::make_shared<routing_table>();
    table->ticket_number_ = number;
    table->state_ = std::move(state);
    for (const auto& [name, caller] : table->state_.callers_) {
        table->callers_by_key_.emplace(caller.key_sha256_, name);
    }
    for (const auto& [name, upstream] : table->state_.upstreams_) {
        if (upstream.kind_ == config::upstream_kind::service) {
            table->replicas_[upstream.service_].push_back(name);
            continue;
        }
        auto& cells = table->cells_[upstream.deployment_];
        const auto cell = cell_of(upstream);
        if (std::ranges::count(cells, cell) == 0) {
            cells.push_back(cell);
        }
    }
    return table;
}

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(),
                       reinterpret_cast<const unsigned char*>(text.data()),
                       text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> digits{};
    sodium_bin2hex(digits.data(), digits.size(), digest.data(), digest.size());
    return digits.data();
}

std::optional<base::caller_name> find_caller(const routing_table& routing,
                                             std::string_view authorization) {
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization.starts_with(scheme)) {
        return std::nullopt;
    }
    authorization.remove_prefix(scheme.size());
    const auto found = routing.callers_by_key_.find(sha256_hex(authorization));
    if (found == routing.callers_by_key_.end()) {
        return std::nullopt;
    }
    return found->second;
}

bool admits(const std::vector<base::caller_name>& callers,
            const base::caller_name& caller) {
    return callers.empty() || std::ranges::count(callers, caller) > 0;
}

base::cell_name cell_of(const config::upstream& engine) {
    return engine.cell_.value_.empty()
               ? base::cell_name{engine.deployment_.value_}
               : engine.cell_;
}

std::variant<resolved_deployment, base::refusal>
resolve_deployment(const routing_table& routing,
                   const base::deployment_name& name,
                   const base::caller_name& caller) {
    const auto found = routing.state_.deployments_.find(name);
    if (found == routing.state_.deployments_.end()) {
        return not_run(base::refusal_code::unknown_deployment,
                       "there is no deployment of this name");
    }
    const auto& deployment = found->second;
    if (!admits(deployment.callers_, caller)) {
        return not_run(base::refusal_code::forbidden,
                       "the deployment does not serve this caller");
    }
    resolved_deployment resolved;
    resolved.deployment_ = &deployment;
    resolved.target_ = target_for(deployment, caller);
    return resolved;
}

base::cell_name choose_cell(const snapshot& state,
                            const base::deployment_name& deployment,
                            std::uint64_t seed) {
    const auto found = state.routing_->cells_.find(deployment);
    if (found == state.routing_->cells_.end()) {
        return base::cell_name{deployment.value_};
    }
    const auto& cells = found->second;
    const auto hash = base::hash_combine(seed, cells.size());
    constexpr unsigned half_bits = 32;
    const auto& first = cells[(hash >> half_bits) % cells.size()];
    const auto& second = cells[(hash & 0xFFFFFFFFU) % cells.size()];
    const auto free_decode_slots = [&state](const base::cell_name& cell) {
        const auto headroom = state.headroom_.find(cell);
        return headroom == state.headroom_.end() ? 0U : headroom->second;
    };
    return free_decode_slots(first) >= free_decode_slots(second) ? first
                                                                 : second;
}

const config::upstream* find_upstream(const snapshot& state,
                                      const base::upstream_name& name) {
    const auto& upstreams = state.routing_->state_.upstreams_;
    const auto found = upstreams.find(name);
    return found == upstreams.end() ? nullptr : &found->second;
}

bool is_serving(const snapshot& state, const config::upstream& upstream) {
    return upstream.state_ == config::upstream_state::serving &&
           !state.leaving_.contains(upstream.name_);
}

} // namespace pimentoferry::entry
