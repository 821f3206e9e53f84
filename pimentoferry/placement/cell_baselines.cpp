// The baseline policies: each grants at once, without a queue and without
// reservations.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/placement/cell_core.hpp"

namespace pimentoferry::placement {

namespace internal {

namespace {

constexpr base::milliseconds full_retry_after{500};

std::uint32_t load_of(const engine_view& e, engine_role role) {
    // Finished results at a prefill engine use memory but no compute time.
    return role == engine_role::prefill ? std::max(e.prefills(), e.used_slots())
                                        : e.used_slots();
}

} // namespace

bool cell_core::is_baseline() const {
    return !std::holds_alternative<reserved>(settings_.policy_);
}

double cell_core::waste_weight() const {
    const auto* chosen = std::get_if<reserved>(&settings_.policy_);
    return chosen == nullptr ? 1 : chosen->waste_weight_;
}

engine_index cell_core::next_round_robin(engine_role role,
                                         std::uint64_t excluded,
                                         std::uint32_t& next_index) const {
    std::vector<engine_index> usable;
    each_serving(role, [&](engine_index i, const engine_view&) {
        if (((excluded >> i) & 1U) == 0) {
            usable.push_back(i);
        }
    });
    return usable.empty() ? no_engine : usable.at(next_index++ % usable.size());
}

engine_index cell_core::least_used(engine_role role,
                                   std::uint64_t excluded) const {
    engine_index best = no_engine;
    std::uint32_t least = 0;
    each_serving(role, [&](engine_index i, const engine_view& e) {
        const std::uint32_t load = load_of(e, role);
        const bool usable = ((excluded >> i) & 1U) == 0;
        if (usable && (best == no_engine || load < least)) {
            best = i;
            least = load;
        }
    });
    return best;
}

void cell_core::place_baseline(attempt_state& a) {
    const bool rotating =
        std::holds_alternative<round_robin>(settings_.policy_);
    const engine_index prefill =
        rotating
            ? next_round_robin(engine_role::prefill, 0, next_prefill_index_)
            : least_used(engine_role::prefill, 0);
    const engine_index decode =
        rotating ? next_round_robin(engine_role::decode, 0, next_decode_index_)
                 : least_used(engine_role::decode, 0);
    const bool late_binding =
        std::holds_alternative<prefill_first>(settings_.policy_);
    if (std::holds_alternative<least_load>(settings_.policy_)) {
        const engine_view& e = engine(decode);
        if (e.used_slots() >= e.description().slots_) {
            refuse(a, base::refusal_code::overloaded, full_retry_after,
                   "all decode engines are full");
            erase_attempt(a.id_);
            return;
        }
    }
    engine_view& p = engine(prefill);
    a.expected_prefill_ms_ = p.prefill_ms(a.prompt_tokens_);
    p.start_prefill(a.expected_prefill_ms_, now_);
    p.hold(prompt_kv_blocks_of(a));
    a.holds_prefill_memory_ = true;
    if (a.suspect_) {
        p.hold_suspect();
    }
    a.prefixes_ = {};
    a.prefill_ = prefill;
    a.stage_ = attempt_stage::prefilling;
    ++reserved_.slots_;
    reserved_.kv_blocks_ += kv_blocks_of(a);
    if (!late_binding) {
        a.decode_ = decode;
        engine_view& d = engine(decode);
        d.hold(kv_blocks_of(a));
        ++bound_;
        if (a.suspect_) {
            d.hold_suspect();
        }
    }
    send(a, placement_grant{a.id_, p.name(), engine(decode).name(), false});
    record(a, decision_kind::grant, to_string(settings_.policy_), prefill);
}

void cell_core::bind_baseline(attempt_state& a) {
    if (a.decode_ == no_engine) {
        const bool rotating =
            std::holds_alternative<round_robin>(settings_.policy_);
        const engine_index decode =
            rotating ? next_round_robin(engine_role::decode, a.lost_engines_,
                                        next_decode_index_)
                     : least_used(engine_role::decode, a.lost_engines_);
        if (decode == no_engine || a.result_expires_ <= now_) {
            refuse(a, base::refusal_code::overloaded, full_retry_after,
                   "no decode slot for the prefill result",
                   decision_kind::expire);
            erase_attempt(a.id_);
            return;
        }
        bind(a, decode);
    } else {
        --reserved_.slots_;
        reserved_.kv_blocks_ -= kv_blocks_of(a);
        a.stage_ = attempt_stage::bound;
        send(a, decode_bound{a.id_, engine(a.decode_).name()});
    }
    record(a, decision_kind::bind, to_string(settings_.policy_), a.decode_);
}

} // namespace internal

std::optional<policy> make_policy(std::string_view name, double waste_weight) {
    if (name == "reserved") {
        return reserved{waste_weight};
    }
    if (name == "round_robin") {
        return round_robin{};
    }
    if (name == "least_load") {
        return least_load{};
    }
    if (name == "prefill_first") {
        return prefill_first{};
    }
    return std::nullopt;
}

std::string_view to_string(const policy& chosen) {
    return std::visit(
        base::overloaded{
            [](const reserved&) { return std::string_view{"reserved"}; },
            [](const round_robin&) { return std::string_view{"round_robin"}; },
            [](const least_load&) { return std::string_view{"least_load"}; },
            [](const prefill_first&) {
                return std::string_view{"prefill_first"};
            }},
        chosen);
}

} // namespace pimentoferry::placement
