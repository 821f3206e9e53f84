// The policy `reserved`: admission, queueing, and grants of prefills for which
// a decode slot can be reserved.

#include "pimentoferry/placement/cell_core.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace pimentoferry::placement::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t tokens_per_block = 1'000;
// A prefill is granted once its engine will be idle within this time. It
// covers the messages until the prefill starts, and is short so that later
// arrivals with earlier deadlines can still go first.
constexpr double grant_lead_ms = 40;
// Share of the first-token target that admission may plan with. The rest
// covers what the prediction misses, such as a burst of short decodes that
// ends late.
constexpr double admission_share = 0.65;
// A request must start at least this many predicted service times before its
// target; later starts miss the target too often.
constexpr double start_margin = 1.8;
// Late requests leave one in this many decode slots free. Otherwise they take
// the slots of requests that can still meet their first-token target.
constexpr std::uint32_t late_reserve_divisor = 8;
// Share of its lifetime that a prefill result may wait for a decode slot. The
// rest is for the transfer and for a retry at a second engine.
constexpr double result_wait_share = 0.5;
// An inline prefill lengthens one step of the whole batch. This interval
// keeps two inline prefills out of the same step.
constexpr auto min_inline_interval = 100ms;

base::clock::duration duration_of(double ms) {
    return std::chrono::duration_cast<base::clock::duration>(
        std::chrono::duration<double, std::milli>(ms));
}

std::int64_t score_of(double ms) {
    return static_cast<std::int64_t>(ms * 1'000);
}

double ms_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

queued_item item_of(const attempt_state& a) {
    return {a.id_,
            a.caller_,
            a.priority_,
            a.late_,
            a.late_ ? a.budget_end_ : a.target_end_,
            std::max(a.prompt_tokens_, 1U)};
}

} // namespace

// Predicted time from a grant to the first token.
double cell_core::first_token_ms(const attempt_state& a) const {
    double prefill = std::numeric_limits<double>::max();
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        prefill = std::min(prefill, e.prefill_ms(uncached_tokens(a, e)));
    });
    if (prefill == std::numeric_limits<double>::max()) {
        prefill = 0;
    }
    const double transfer =
        transfer_.predict(a.prompt_tokens_ / double{tokens_per_block});
    return prefill + transfer;
}

std::uint32_t cell_core::uncached_tokens(const attempt_state& a,
                                         const engine_view& e) const {
    const std::uint32_t cached =
        e.prefixes().cached_blocks(a.prefixes_) * tokens_per_block;
    return a.prompt_tokens_ - std::min(a.prompt_tokens_, cached);
}

bool cell_core::ever_fits(const attempt_state& a) const {
    bool prefill = false;
    bool decode = false;
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        prefill = prefill || e.has_memory(prompt_kv_blocks_of(a));
    });
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        decode = decode || e.has_memory(kv_blocks_of(a));
    });
    return prefill && decode;
}

engine_resources cell_core::free_decode_resources() const {
    engine_resources free;
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        free.slots_ += e.free_slots();
        free.kv_blocks_ += e.free_kv_blocks();
    });
    return free;
}

cell_capacity cell_core::capacity() const {
    cell_capacity c;
    std::uint32_t free = 0;
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        c.decode_slots_ += e.batch_cap();
        free += e.free_slots();
    });
    c.free_decode_slots_ =
        free > reserved_.slots_ ? free - reserved_.slots_ : 0;
    double backlog = std::numeric_limits<double>::max();
    double token_ms = 0;
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        ++c.prefill_engines_;
        backlog = std::min(backlog, e.backlog_ms(now_));
        token_ms += e.prefill_ms(4 * tokens_per_block) / (4 * tokens_per_block);
    });
    if (c.prefill_engines_ > 0) {
        c.prefill_backlog_ms_ = backlog;
        c.prefill_token_ms_ = token_ms / c.prefill_engines_;
    }
    return c;
}

bool cell_core::can_meet_deadline(attempt_state& a,
                                  double& predicted_ms) const {
    a.service_ms_ = first_token_ms(a);
    const double service = a.service_ms_;
    const cell_capacity c = capacity();
    const double wait =
        admission_.queue_wait_ms(queue_.ahead_of(item_of(a)), c);
    predicted_ms = wait + service;
    const double allowed =
        admission_share * ms_between(now_, a.target_end_) - service;
    const double share = admission_.wait_share(a.caller_, c, now_);
    if (wait <= std::max(allowed, 0.0) * share) {
        return true;
    }
    if (a.budget_end_ <= a.target_end_) {
        return false;
    }
    a.late_ = true;
    const double late_wait =
        admission_.queue_wait_ms(queue_.ahead_of(item_of(a)), c);
    predicted_ms = late_wait / admission_.spare_share(c) + service;
    return predicted_ms <= ms_between(now_, a.budget_end_);
}

void cell_core::admit(attempt_state& a) {
    const base::attempt_id id = a.id_;
    double predicted_ms = 0;
    const bool full = queue_.size() + parked_.size() >= settings_.queue_limit_;
    // A rerun is queued until its budget ends: a refusal would discard the
    // output that its caller has received so far.
    const bool may_queue = can_meet_deadline(a, predicted_ms) || a.rerun_;
    if (!may_queue || full) {
        const double excess = predicted_ms - ms_between(now_, a.target_end_);
        refuse(a, base::refusal_code::overloaded,
               admission::retry_after(excess),
               full ? "queue full" : "predicted first token after the budget");
        erase_attempt(id);
        return;
    }
    // With an empty queue, the request may be dispatched at once.
    if (queue_.size() == 0 && parked_.empty() && !a.late_ && dispatch(a)) {
        return;
    }
    enqueue(a);
    schedule_waiting();
    const attempt_state* left = find(id);
    if (left != nullptr && left->stage_ == attempt_stage::queued) {
        send(*left, placement_queued{id});
        record(*left, decision_kind::queue, "no capacity yet", no_engine, {},
               predicted_ms);
    }
}

void cell_core::enqueue(attempt_state& a) {
    const base::time_point limit = a.late_ ? a.budget_end_ : a.target_end_;
    const double service = start_margin * a.service_ms_;
    a.latest_start_ = limit - duration_of(service);
    expiry_.emplace(a.latest_start_, a.id_);
    queue_.push(item_of(a));
}

void cell_core::dequeue(attempt_state& a) {
    expiry_.erase({a.latest_start_, a.id_});
    queue_.remove(a.id_);
    if (a.parked_) {
        std::erase(parked_, a.id_);
        a.parked_ = false;
    }
}

void cell_core::expire() {
    while (!expiry_.empty() && expiry_.begin()->first < now_) {
        attempt_state& a = attempts_.at(expiry_.begin()->second);
        dequeue(a);
        const bool patient = a.budget_end_ > a.target_end_;
        if (patient && !a.late_) {
            a.late_ = true;
            enqueue(a);
            continue;
        }
        refuse(a, base::refusal_code::overloaded,
               admission::retry_after(a.service_ms_),
               "no capacity within the budget", decision_kind::expire);
        erase_attempt(a.id_);
    }
}

void cell_core::schedule_waiting() {
    if (is_baseline() || !owner_) {
        return;
    }
    bind_waiting();
    expire();
    unpark();
    while (const queued_item* next = queue_.front()) {
        if (!dispatch(attempts_.at(next->attempt_))) {
            break;
        }
    }
}

void cell_core::unpark() {
    if (parked_.empty()) {
        return;
    }
    const std::vector<base::attempt_id> parked = std::move(parked_);
    parked_.clear();
    for (const base::attempt_id id : parked) {
        attempt_state& a = attempts_.at(id);
        if (suspect_blocked(a)) {
            parked_.push_back(id);
            continue;
        }
        a.parked_ = false;
        queue_.push(item_of(a));
    }
}

// Whether every engine of a pool has a suspect, counting suspects that have a
// decode reservation but are not bound yet. Two suspects never share an engine,
// so that a crash can be attributed to one of them.
bool cell_core::suspect_blocked(const attempt_state& a) const {
    if (!a.suspect_) {
        return false;
    }
    int prefill = 0;
    int decode = 0;
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        prefill += e.has_suspect() ? 0 : 1;
    });
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        decode += e.has_suspect() ? 0 : 1;
    });
    const auto reserved_suspects =
        std::ranges::count_if(attempts_, [](const auto& entry) {
            const attempt_state& other = entry.second;
            return other.suspect_ && other.decode_ == no_engine &&
                   (other.stage_ == attempt_stage::prefilling ||
                    other.stage_ == attempt_stage::unbound);
        });
    return prefill == 0 || decode <= reserved_suspects;
}

// Whether the decode pool can take one more reservation: the slots and KV
// blocks that are free now, plus those expected to be freed within the horizon,
// must cover all reservations including this one. Slots count only as far as
// the free memory of their engine fits requests of this size.
bool cell_core::can_reserve_decode(const attempt_state& a,
                                   double horizon_ms) const {
    const std::uint32_t kv_blocks = kv_blocks_of(a);
    const std::uint32_t reserved_size =
        reserved_.slots_ == 0
            ? 0
            : (reserved_.kv_blocks_ + reserved_.slots_ - 1) / reserved_.slots_;
    const std::uint32_t size = std::max(kv_blocks, reserved_size);
    std::uint32_t slots = 0;
    std::uint32_t fitting = 0;
    std::uint32_t held_kv_blocks = 0;
    std::uint32_t held_slots = 0;
    engine_resources free;
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        const std::uint32_t free_here = e.free_slots();
        slots += e.description().slots_;
        fitting += std::min(free_here, e.free_kv_blocks() / size);
        free.slots_ += free_here;
        free.kv_blocks_ += e.free_kv_blocks();
        held_slots += e.held().slots_;
        held_kv_blocks += e.held().kv_blocks_;
    });
    const std::uint32_t freed =
        rebuilding_ ? 0
                    : admission_.freed_slots_lower_bound(held_slots, horizon_ms,
                                                         waste_weight());
    const std::uint32_t freed_kv_blocks =
        held_slots == 0 ? 0 : freed * (held_kv_blocks / held_slots);
    const std::uint32_t reserve = a.late_ ? slots / late_reserve_divisor : 0;
    return reserved_.slots_ + 1 <= fitting + freed &&
           reserved_.slots_ + 1 + reserve <= free.slots_ + freed &&
           reserved_.kv_blocks_ + kv_blocks <=
               free.kv_blocks_ + freed_kv_blocks;
}

engine_index cell_core::choose_prefill(const attempt_state& a,
                                       candidates* scored,
                                       double& finish_ms) const {
    engine_index best = no_engine;
    each_serving(
        engine_role::prefill, [&](engine_index i, const engine_view& e) {
            const double uncached_ms = e.prefill_ms(a.prompt_tokens_);
            const double prefill_ms = e.prefill_ms(uncached_tokens(a, e));
            const double backlog = e.backlog_ms(now_);
            const double finish = backlog + prefill_ms;
            if (scored != nullptr) {
                scored->push_back({e.name(), score_of(finish)});
            }
            // An engine with a cached prefix may have a backlog as long as the
            // prefill time that its cache saves.
            const bool idle_soon =
                backlog <= grant_lead_ms + uncached_ms - prefill_ms;
            const bool fits = e.free_kv_blocks() >= prompt_kv_blocks_of(a);
            const bool suspect_allowed = !a.suspect_ || !e.has_suspect();
            if (idle_soon && fits && suspect_allowed &&
                (best == no_engine || finish < finish_ms)) {
                best = i;
                finish_ms = finish;
            }
        });
    return best;
}

// Chooses a decode engine that also prefills a short prompt, for use when no
// prefill engine is idle.
engine_index cell_core::choose_inline(const attempt_state& a) const {
    if (a.prompt_tokens_ >= tokens_per_block) {
        return no_engine;
    }
    engine_index best = no_engine;
    std::uint32_t used = 0;
    std::uint32_t free = 0;
    each_serving(engine_role::decode, [&](engine_index i,
                                          const engine_view& e) {
        const std::uint32_t slots = e.free_slots();
        free += slots;
        const double step = e.step_ms() + e.prefill_ms(a.prompt_tokens_);
        const bool within_target =
            step <=
            static_cast<double>(settings_.token_interval_target_.count());
        const bool interval_passed =
            now_ - e.last_inline() >= min_inline_interval;
        const bool fits = slots > 0 && e.free_kv_blocks() >= kv_blocks_of(a);
        const bool suspect_allowed = !a.suspect_ || !e.has_suspect();
        const bool better = best == no_engine || e.used_slots() < used;
        if (fits && suspect_allowed && within_target && interval_passed &&
            better) {
            best = i;
            used = e.used_slots();
        }
    });
    return free > reserved_.slots_ ? best : no_engine;
}

bool cell_core::dispatch(attempt_state& a) {
    if (suspect_blocked(a)) {
        if (queue_.find(a.id_) == nullptr) {
            return false;
        }
        queue_.remove(a.id_);
        a.parked_ = true;
        parked_.push_back(a.id_);
        return true;
    }
    double finish_ms = 0;
    const engine_index prefill = choose_prefill(a, nullptr, finish_ms);
    if (prefill == no_engine) {
        const engine_index decode = choose_inline(a);
        if (decode == no_engine) {
            return false;
        }
        grant_inline(a, decode);
        return true;
    }
    const double max_result_wait =
        result_wait_share *
        static_cast<double>(settings_.result_lifetime_.count());
    if (!can_reserve_decode(a, finish_ms + max_result_wait)) {
        return false;
    }
    // Scores are collected only for grants, so that requests that keep waiting
    // cause no allocation.
    candidates scored;
    if (settings_.record_decisions_) {
        scored.reserve(engines_.size());
        choose_prefill(a, &scored, finish_ms);
    }
    grant(a, prefill, std::move(scored), finish_ms);
    return true;
}

// A granted request is at the front of the queue, or the queue is empty.
void cell_core::dequeue_granted(attempt_state& a) {
    if (queue_.size() > 0) {
        expiry_.erase({a.latest_start_, a.id_});
        queue_.pop();
    }
    admission_.record_grant(a.caller_, a.prompt_tokens_, now_);
}

void cell_core::grant(attempt_state& a,
                      engine_index prefill,
                      candidates scored,
                      double finish_ms) {
    dequeue_granted(a);
    engine_view& e = engine(prefill);
    a.uncached_tokens_ = uncached_tokens(a, e);
    a.expected_prefill_ms_ = e.prefill_ms(a.uncached_tokens_);
    e.start_prefill(a.expected_prefill_ms_, now_);
    e.hold(prompt_kv_blocks_of(a));
    e.prefixes().add_granted(a.prefixes_);
    if (a.suspect_) {
        e.hold_suspect();
    }
    a.holds_prefill_memory_ = true;
    a.prefixes_ = {};
    a.prefill_ = prefill;
    a.stage_ = attempt_stage::prefilling;
    a.stage_began_ = now_;
    ++reserved_.slots_;
    reserved_.kv_blocks_ += kv_blocks_of(a);
    const engine_index provisional = least_used(engine_role::decode, 0);
    send(a,
         placement_grant{a.id_, e.name(), engine(provisional).name(), false});
    const double transfer =
        transfer_.predict(a.prompt_tokens_ / double{tokens_per_block});
    record(a, decision_kind::grant, "decode slot reserved", prefill,
           std::move(scored), finish_ms + transfer);
}

void cell_core::grant_inline(attempt_state& a, engine_index decode) {
    dequeue_granted(a);
    engine_view& e = engine(decode);
    e.hold(kv_blocks_of(a));
    e.start_inline_prefill(now_);
    if (a.suspect_) {
        e.hold_suspect();
    }
    ++bound_;
    a.prefixes_ = {};
    a.inline_ = true;
    a.decode_ = decode;
    a.stage_ = attempt_stage::prefilling;
    a.stage_began_ = now_;
    send(a, placement_grant{a.id_, e.name(), e.name(), true});
    record(a, decision_kind::grant, "prefill at the decode engine", decode, {},
           e.prefill_ms(a.prompt_tokens_) + e.step_ms());
}

std::optional<base::time_point> cell_core::next_prefill_start() const {
    std::optional<base::time_point> next;
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        const double wait = e.backlog_ms(now_) - grant_lead_ms;
        if (wait > 0) {
            const base::time_point at = now_ + duration_of(wait) + 1ms;
            next = next ? std::min(*next, at) : at;
        }
    });
    return next;
}

std::optional<base::time_point> cell_core::next_wakeup() const {
    std::optional<base::time_point> next;
    const auto add = [&next](base::time_point at) {
        next = next ? std::min(*next, at) : at;
    };
    if (!expiry_.empty()) {
        add(expiry_.begin()->first + 1ms);
    }
    for (const base::attempt_id id : unbound_) {
        add(attempts_.at(id).result_expires_);
    }
    if (queue_.size() > 0) {
        if (const auto opening = next_prefill_start()) {
            add(*opening);
        }
    }
    if (rebuilding_) {
        add(owner_since_ + settings_.rebuild_limit_);
    }
    return next;
}

} // namespace pimentoferry::placement::internal
