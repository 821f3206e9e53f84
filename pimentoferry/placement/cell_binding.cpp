// Binding of finished prefills to decode engines.

#include "pimentoferry/placement/cell_core.hpp"

#include <algorithm>

namespace pimentoferry::placement::internal {

namespace {

// How much less loaded a decode engine in the failure domain of the prefill
// engine counts, in requests of its batch.
constexpr double same_domain_bonus = 1;

} // namespace

engine_index cell_core::choose_decode(const attempt_state& a,
                                      candidates* scored) const {
    const base::failure_domain* domain =
        a.prefill_ == no_engine
            ? &a.failure_domain_
            : &engine(a.prefill_).description().failure_domain_;
    engine_index best = no_engine;
    double best_score = 0;
    each_serving(engine_role::decode, [&](engine_index i,
                                          const engine_view& e) {
        const auto cap = std::max(e.batch_cap(), 1U);
        const bool same = e.description().failure_domain_ == *domain;
        const double load = e.used_slots() - (same ? same_domain_bonus : 0.0);
        const double score = load / cap;
        if (scored != nullptr) {
            scored->push_back(
                {e.name(), static_cast<std::int64_t>(score * 1'000)});
        }
        const bool excluded = ((a.lost_engines_ >> i) & 1U) != 0;
        const bool fits =
            e.free_slots() > 0 && e.free_kv_blocks() >= kv_blocks_of(a);
        const bool suspect_allowed = !a.suspect_ || !e.has_suspect();
        const bool better = best == no_engine || score < best_score;
        if (!excluded && fits && suspect_allowed && better) {
            best = i;
            best_score = score;
        }
    });
    return best;
}

bool cell_core::try_bind(attempt_state& a) {
    const engine_index decode = choose_decode(a, nullptr);
    if (decode == no_engine) {
        return false;
    }
    candidates scored;
    if (settings_.record_decisions_) {
        scored.reserve(engines_.size());
        choose_decode(a, &scored);
    }
    bind(a, decode);
    record(a, decision_kind::bind, "least loaded with memory", decode,
           std::move(scored));
    return true;
}

void cell_core::bind(attempt_state& a, engine_index decode) {
    engine_view& e = engine(decode);
    e.hold(kv_blocks_of(a));
    if (a.suspect_) {
        e.hold_suspect();
    }
    --reserved_.slots_;
    reserved_.kv_blocks_ -= kv_blocks_of(a);
    ++bound_;
    a.decode_ = decode;
    a.stage_ = attempt_stage::bound;
    a.stage_began_ = now_;
    send(a, decode_bound{a.id_, e.name()});
}

// Finished prefills are served before all queued requests, because their
// results are evicted within a second. One that fits no engine does not block
// the rest.
void cell_core::bind_waiting() {
    if (unbound_.empty()) {
        return;
    }
    bool any_free = false;
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        any_free = any_free || e.free_slots() > 0;
    });
    std::deque<base::attempt_id> left;
    for (const base::attempt_id id : unbound_) {
        attempt_state* a = find(id);
        if (a == nullptr || a->stage_ != attempt_stage::unbound) {
            continue;
        }
        if (any_free && try_bind(*a)) {
            continue;
        }
        if (a->result_expires_ <= now_) {
            refuse(
                *a, base::refusal_code::overloaded, admission::retry_after(0),
                "no decode slot for the prefill result", decision_kind::expire);
            erase_attempt(id);
            continue;
        }
        left.push_back(id);
    }
    unbound_ = std::move(left);
}

} // namespace pimentoferry::placement::internal
