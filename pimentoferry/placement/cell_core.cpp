// Messages of entries and the stages of an attempt.

#include "pimentoferry/placement/cell_core.hpp"

#include <algorithm>
#include <chrono>

namespace pimentoferry::placement::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t tokens_per_block = 1'000;
// Load reports may still list an attempt for some time after it ended.
constexpr auto ended_attempt_lifetime = 10s;
constexpr std::size_t max_ended_attempts = 8'192;
// The mean step time of a shorter output is too noisy to learn from.
constexpr std::uint32_t min_tokens_for_step = 8;
// An attempt that stays in one stage for longer than this was released in a
// message that was lost. The times are the longest first-token budget and the
// duration of the longest request that is accepted.
constexpr auto placing_timeout = 30s;
constexpr auto decoding_timeout = 330s;
constexpr auto cleanup_interval = 1s;

double ms_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

std::uint32_t kv_blocks_for(std::uint32_t tokens) {
    return std::max(1U, (tokens + tokens_per_block - 1) / tokens_per_block);
}

base::attempt_id attempt_of(const to_owner& message) {
    return std::visit([](const auto& m) { return m.attempt_; }, message);
}

} // namespace

std::uint32_t kv_blocks_of(const attempt_state& a) {
    return kv_blocks_for(a.prompt_tokens_ + a.output_tokens_);
}

std::uint32_t prompt_kv_blocks_of(const attempt_state& a) {
    return kv_blocks_for(a.prompt_tokens_);
}

cell_core::cell_core(const scheduler_settings& settings)
    : settings_{settings} {}

std::vector<action> cell_core::handle(const event& e, base::time_point now) {
    const double elapsed =
        now_ == base::time_point{} ? 0 : ms_between(now_, now);
    admission_.record_decode_time(bound_, elapsed);
    now_ = now;
    out_.clear();
    std::visit([this](const auto& one) { on(one); }, e);
    schedule_waiting();
    return std::move(out_);
}

void cell_core::configure(const scheduler_settings& settings) {
    settings_ = settings;
    for (engine_view& e : engines_) {
        e.set_interval_target(settings.token_interval_target_);
    }
}

void cell_core::on(const became_owner&) {
    if (owner_) {
        return;
    }
    owner_ = true;
    owner_since_ = now_;
    rebuilding_ = !is_baseline();
    for (engine_view& e : engines_) {
        e.set_rebuilding(rebuilding_);
    }
}

void cell_core::on(const lost_ownership&) {
    for (const auto& [id, a] : attempts_) {
        if (a.stage_ == attempt_stage::queued) {
            refuse(a, base::refusal_code::not_owner, {}, "not the owner");
        }
    }
    std::vector<engine_description> engines;
    for (const engine_view& e : engines_) {
        if (e.present()) {
            engines.push_back(e.description());
        }
    }
    std::vector<action> out = std::move(out_);
    const base::time_point now = now_;
    *this = cell_core{settings_};
    now_ = now;
    out_ = std::move(out);
    on(engines_changed{std::move(engines)});
}

void cell_core::on(const tick&) {
    check_rebuild_complete();
    erase_overdue();
    publish_free_slots();
    check_pool_balance();
}

void cell_core::on(const entry_message& e) {
    const base::attempt_id id = attempt_of(e.message_);
    if (id.instance_ != e.from_) {
        return;
    }
    std::visit([this](const auto& m) { receive(m); }, e.message_);
}

attempt_state* cell_core::find(base::attempt_id id) {
    const auto found = attempts_.find(id);
    return found == attempts_.end() ? nullptr : &found->second;
}

attempt_state cell_core::make_attempt(const placement_request& m) const {
    attempt_state a;
    a.id_ = m.attempt_;
    a.request_ = m.request_;
    a.caller_ = m.caller_;
    a.failure_domain_ = m.failure_domain_;
    a.prefixes_ = m.prefix_hashes_;
    a.prompt_tokens_ = m.prompt_tokens_;
    a.output_tokens_ = m.max_output_tokens_;
    a.uncached_tokens_ = m.prompt_tokens_;
    a.priority_ = m.priority_;
    a.suspect_ = m.suspect_;
    a.rerun_ = m.rerun_;
    a.stage_began_ = now_;
    a.budget_end_ = now_ + m.first_token_budget_;
    a.target_end_ =
        std::min(a.budget_end_, now_ + settings_.first_token_target_);
    return a;
}

void cell_core::receive(const placement_request& m) {
    if (attempts_.contains(m.attempt_) ||
        ended_attempts_.contains(m.attempt_)) {
        return;
    }
    attempt_state fresh = make_attempt(m);
    if (!owner_) {
        refuse(fresh, base::refusal_code::not_owner, {}, "not the owner");
        return;
    }
    dead_entries_.erase(m.attempt_.instance_);
    erase_superseded(m.request_);
    admission_.record_arrival(m.prompt_tokens_, now_);
    if (!ever_fits(fresh)) {
        refuse(fresh, base::refusal_code::no_upstream,
               settings_.first_token_target_, "no engine has the memory");
        return;
    }
    attempt_state& a =
        attempts_.emplace(m.attempt_, std::move(fresh)).first->second;
    if (m.request_ != base::request_id{}) {
        latest_attempts_[m.request_] = m.attempt_;
    }
    if (is_baseline()) {
        place_baseline(a);
    } else {
        admit(a);
    }
}

// An entry runs one attempt of a request at a time. If an earlier attempt is
// still recorded, its release was lost or was sent to another owner. Without
// this, it would stay in the queue or keep its decode slot.
void cell_core::erase_superseded(base::request_id request) {
    const auto found = latest_attempts_.find(request);
    if (found != latest_attempts_.end()) {
        const auto earlier = found->second;
        erase_attempt(earlier);
    }
}

void cell_core::receive(const prefill_finished& m) {
    attempt_state* a = find(m.attempt_);
    if (a == nullptr || a->stage_ != attempt_stage::prefilling || a->inline_) {
        return;
    }
    engine_view& e = engine(a->prefill_);
    const base::time_point began = std::max(a->stage_began_, e.prefill_began());
    e.end_prefill(a->expected_prefill_ms_, now_);
    const std::uint32_t prompt =
        m.prompt_tokens_ > 0 ? m.prompt_tokens_ : a->prompt_tokens_;
    const std::uint32_t computed = prompt - std::min(prompt, m.cached_tokens_);
    e.observe_prefill(computed, ms_between(began, now_));
    // The engine's token count replaces the estimate of the entry.
    reserved_.kv_blocks_ -= kv_blocks_of(*a);
    if (a->holds_prefill_memory_) {
        e.release(prompt_kv_blocks_of(*a));
    }
    a->prompt_tokens_ = prompt;
    reserved_.kv_blocks_ += kv_blocks_of(*a);
    if (a->holds_prefill_memory_) {
        e.hold(prompt_kv_blocks_of(*a));
    }
    a->prefilled_ = true;
    a->stage_ = attempt_stage::unbound;
    a->stage_began_ = now_;
    a->result_expires_ = now_ + settings_.result_lifetime_;
    if (is_baseline()) {
        bind_baseline(*a);
    } else {
        unbound_.push_back(a->id_);
    }
}

void cell_core::receive(const engine_lost& m) {
    attempt_state* a = find(m.attempt_);
    const engine_index lost = index_of(m.engine_);
    if (a == nullptr || lost == no_engine) {
        return;
    }
    if (lost == a->prefill_ && !a->inline_) {
        erase_attempt(a->id_);
        return;
    }
    const std::uint64_t bit = std::uint64_t{1} << lost;
    const bool repeated = (a->lost_engines_ & bit) != 0;
    if (repeated && a->stage_ != attempt_stage::detached) {
        return;
    }
    if (a->decode_ != lost && a->stage_ != attempt_stage::detached) {
        return;
    }
    a->lost_engines_ |= bit;
    handle_decode_loss(*a, m);
}

void cell_core::handle_decode_loss(attempt_state& a, const engine_lost& m) {
    const bool had_slot = a.decode_ != no_engine;
    if (had_slot && m.reason_ == loss_reason::refused) {
        engine(a.decode_).record_refusal();
    }
    const bool decoding = a.stage_ == attempt_stage::decoding;
    const bool has_result = a.prefilled_ && a.prefill_ != no_engine;
    if (decoding || a.inline_ || !has_result) {
        refuse(a, base::refusal_code::upstream_failed, base::milliseconds{100},
               "the prefill result is lost");
        erase_attempt(a.id_);
        return;
    }
    release_decode(a);
    a.stage_ = attempt_stage::unbound;
    a.stage_began_ = now_;
    ++reserved_.slots_;
    reserved_.kv_blocks_ += kv_blocks_of(a);
    if (is_baseline()) {
        bind_baseline(a);
    } else {
        unbound_.push_front(a.id_);
    }
}

void cell_core::receive(const decode_started& m) {
    attempt_state* a = find(m.attempt_);
    if (a == nullptr || a->decode_ == no_engine ||
        a->stage_ == attempt_stage::decoding) {
        return;
    }
    const bool was_bound = a->stage_ == attempt_stage::bound;
    const bool was_inline =
        a->inline_ && a->stage_ == attempt_stage::prefilling;
    if (!was_bound && !was_inline) {
        return;
    }
    if (was_bound && a->lost_engines_ == 0) {
        transfer_.observe(a->prompt_tokens_ / double{tokens_per_block},
                          ms_between(a->stage_began_, now_));
    }
    release_prefill(*a);
    engine_view& e = engine(a->decode_);
    e.start_decoding(now_);
    a->batch_integral_ = e.batch_integral(now_);
    a->stage_ = attempt_stage::decoding;
    a->stage_began_ = now_;
}

void cell_core::receive(const placement_release& m) {
    attempt_state* a = find(m.attempt_);
    if (a == nullptr) {
        return;
    }
    const bool completed = m.reason_ == release_reason::completed;
    const bool decoded = a->stage_ == attempt_stage::decoding;
    if (decoded && completed && m.output_tokens_ >= min_tokens_for_step) {
        engine_view& e = engine(a->decode_);
        const double duration = ms_between(a->stage_began_, now_);
        const double batch = e.batch_integral(now_) - a->batch_integral_;
        const double steps = m.output_tokens_ - 1.0;
        if (duration > 0 && a->missed_reports_ == 0) {
            e.observe_step(batch / duration, duration / steps);
        }
    }
    if (a->decode_ != no_engine && m.reason_ != release_reason::failed) {
        admission_.record_decode_end();
    }
    erase_attempt(m.attempt_);
}

void cell_core::receive(const attempt_announcement& m) {
    if (attempts_.contains(m.attempt_) ||
        ended_attempts_.contains(m.attempt_) || !owner_) {
        return;
    }
    dead_entries_.erase(m.attempt_.instance_);
    attempt_state a;
    a.id_ = m.attempt_;
    a.caller_ = m.caller_;
    a.prompt_tokens_ = m.prompt_tokens_;
    a.output_tokens_ = m.max_output_tokens_;
    a.suspect_ = m.suspect_;
    a.announced_ = true;
    a.stage_began_ = now_;
    a.budget_end_ = now_ + settings_.first_token_target_;
    a.target_end_ = a.budget_end_;
    a.result_expires_ = now_ + settings_.result_lifetime_;
    a.prefill_ = index_of(m.prefill_);
    const engine_index decode = index_of(m.decode_);
    if (m.stage_ == announced_stage::prefilling && a.prefill_ != no_engine) {
        a.stage_ = attempt_stage::prefilling;
        a.expected_prefill_ms_ =
            engine(a.prefill_).prefill_ms(a.prompt_tokens_);
        engine(a.prefill_).start_prefill(a.expected_prefill_ms_, now_);
        ++reserved_.slots_;
        reserved_.kv_blocks_ += kv_blocks_of(a);
    } else if (decode != no_engine) {
        // Bound to a decode engine, or an inline prefill.
        const bool inlined = m.stage_ == announced_stage::prefilling;
        a.prefilled_ = !inlined;
        a.inline_ = inlined;
        a.stage_ = inlined ? attempt_stage::prefilling : attempt_stage::bound;
        a.decode_ = decode;
        engine_view& e = engine(decode);
        e.hold(kv_blocks_of(a));
        e.add_announced();
        ++bound_;
        if (a.suspect_) {
            e.hold_suspect();
        }
        if (m.stage_ == announced_stage::decoding) {
            e.start_decoding(now_);
            a.batch_integral_ = e.batch_integral(now_);
            a.stage_ = attempt_stage::decoding;
            a.prefill_ = no_engine;
        }
    } else if (m.stage_ == announced_stage::transferring &&
               a.prefill_ != no_engine) {
        // The prefill result has no decode engine yet.
        a.prefilled_ = true;
        a.stage_ = attempt_stage::unbound;
        ++reserved_.slots_;
        reserved_.kv_blocks_ += kv_blocks_of(a);
        unbound_.push_back(a.id_);
    } else {
        a.stage_ = attempt_stage::detached;
        a.prefilled_ = m.stage_ == announced_stage::transferring;
    }
    attempts_.emplace(a.id_, std::move(a));
}

void cell_core::release_prefill(attempt_state& a) {
    if (a.prefill_ == no_engine) {
        return;
    }
    engine_view& e = engine(a.prefill_);
    if (a.stage_ == attempt_stage::prefilling && !a.inline_) {
        e.end_prefill(a.expected_prefill_ms_, now_);
    }
    if (a.holds_prefill_memory_) {
        e.release(prompt_kv_blocks_of(a));
        if (a.suspect_) {
            e.release_suspect();
        }
    }
    a.holds_prefill_memory_ = false;
    a.prefill_ = no_engine;
}

void cell_core::release_decode(attempt_state& a) {
    if (a.decode_ == no_engine) {
        return;
    }
    engine_view& e = engine(a.decode_);
    if (a.stage_ == attempt_stage::decoding) {
        e.end_decoding(now_);
    }
    e.release(kv_blocks_of(a));
    if (a.announced_) {
        e.remove_announced();
    }
    if (a.suspect_) {
        e.release_suspect();
    }
    a.decode_ = no_engine;
    --bound_;
}

void cell_core::release_resources(attempt_state& a) {
    if (a.stage_ == attempt_stage::queued) {
        dequeue(a);
    }
    const bool has_reservation = (a.stage_ == attempt_stage::prefilling ||
                                  a.stage_ == attempt_stage::unbound) &&
                                 !a.inline_;
    if (has_reservation) {
        --reserved_.slots_;
        reserved_.kv_blocks_ -= kv_blocks_of(a);
    }
    release_decode(a);
    release_prefill(a);
}

void cell_core::detach(attempt_state& a) {
    release_resources(a);
    a.stage_ = attempt_stage::detached;
    a.stage_began_ = now_;
}

void cell_core::erase_attempt(base::attempt_id id) {
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    release_resources(found->second);
    const auto latest = latest_attempts_.find(found->second.request_);
    if (latest != latest_attempts_.end() && latest->second == id) {
        latest_attempts_.erase(latest);
    }
    attempts_.erase(found);
    record_ended(id);
}

void cell_core::record_ended(base::attempt_id id) {
    if (ended_attempts_.insert(id).second) {
        ended_order_.emplace_back(now_, id);
    }
    while (!ended_order_.empty() &&
           (ended_order_.front().first + ended_attempt_lifetime < now_ ||
            ended_order_.size() > max_ended_attempts)) {
        ended_attempts_.erase(ended_order_.front().second);
        ended_order_.pop_front();
    }
}

void cell_core::erase_overdue() {
    if (now_ < next_cleanup_) {
        return;
    }
    next_cleanup_ = now_ + cleanup_interval;
    std::vector<base::attempt_id> overdue;
    for (const auto& [id, a] : attempts_) {
        const bool decoding = a.stage_ == attempt_stage::decoding;
        const auto limit = decoding ? base::clock::duration{decoding_timeout}
                                    : base::clock::duration{placing_timeout};
        if (a.stage_ != attempt_stage::queued &&
            now_ - a.stage_began_ > limit) {
            overdue.push_back(id);
        }
    }
    std::ranges::for_each(overdue, [this](auto id) { erase_attempt(id); });
}

void cell_core::send(const attempt_state& a, to_entry message) {
    out_.emplace_back(send_to_entry{a.id_.instance_, std::move(message)});
}

void cell_core::refuse(const attempt_state& a,
                       base::refusal_code code,
                       base::milliseconds retry_after,
                       std::string_view reason,
                       decision_kind kind) {
    send(a, placement_refusal{a.id_, code, retry_after});
    record(a, kind, reason, no_engine);
}

void cell_core::record(const attempt_state& a,
                       decision_kind kind,
                       std::string_view reason,
                       engine_index choice,
                       candidates scored,
                       double predicted_ms) {
    if (!settings_.record_decisions_) {
        return;
    }
    decision_record r;
    r.attempt_ = a.id_;
    r.kind_ = kind;
    r.candidates_ = std::move(scored);
    if (choice != no_engine) {
        r.choice_ = engine(choice).name();
    }
    r.reason_ = reason;
    r.predicted_first_token_ =
        base::microseconds{static_cast<std::int64_t>(predicted_ms * 1'000)};
    out_.emplace_back(std::move(r));
}

cell_usage cell_core::usage() const {
    cell_usage u;
    u.queued_ = static_cast<std::uint32_t>(queue_.size() + parked_.size());
    u.unbound_ = static_cast<std::uint32_t>(unbound_.size());
    u.bound_ = bound_;
    u.attempts_ = static_cast<std::uint32_t>(attempts_.size());
    u.prefilling_ = static_cast<std::uint32_t>(
        std::ranges::count_if(attempts_, [](const auto& entry) {
            return entry.second.stage_ == attempt_stage::prefilling;
        }));
    u.reserved_slots_ = reserved_.slots_;
    u.reserved_kv_blocks_ = reserved_.kv_blocks_;
    each_serving(engine_role::prefill, [&](engine_index, const engine_view& e) {
        u.prefill_kv_blocks_held_ += e.held().kv_blocks_;
    });
    each_serving(engine_role::decode, [&](engine_index, const engine_view& e) {
        u.slots_ += e.description().slots_;
        u.kv_blocks_ += e.description().kv_blocks_;
        u.slots_held_ += e.held().slots_;
        u.kv_blocks_held_ += e.held().kv_blocks_;
    });
    return u;
}

} // namespace pimentoferry::placement::internal
