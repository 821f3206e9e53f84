#include "pimentoferry/once/shard_owner.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace pimentoferry::once::internal {
namespace {

bool is_claim(const log_record& record) {
    return std::holds_alternative<claim>(record);
}

void confirm_report(base::attempt_id attempt, context& ctx) {
    ctx.out_.queue_for_entry(attempt.instance_, report_confirmed{attempt});
}

void confirm_abandon(base::attempt_id attempt, context& ctx) {
    ctx.out_.queue_for_entry(attempt.instance_, abandon_confirmed{attempt});
}

void confirm(const log_record& settled, context& ctx) {
    std::visit(
        base::overloaded{
            [](const claim&) {},
            [&](const abandon& a) { confirm_abandon(a.attempt_, ctx); },
            [&](const auto& report) { confirm_report(report.attempt_, ctx); }},
        settled);
}

void tell_run(base::attempt_id attempt, const key_id& key, context& ctx) {
    ctx.out_.queue_for_entry(attempt.instance_,
                             claim_answer{attempt, verdict::run, {}, key});
}

} // namespace

shard_owner::shard_owner(shard_number shard,
                         base::instance_id self,
                         const settings& limits)
    : limits_(limits),
      log_(shard, self, limits.segment_bytes_, limits.store_retry_interval_) {}

void shard_owner::inspect(context& ctx) {
    clear();
    log_.inspect(ctx);
}

void shard_owner::take(context& ctx) {
    log_.take(ctx);
}

void shard_owner::step_down(context& ctx) {
    answer_waiting(verdict::not_owner, ctx);
    log_.close();
    clear();
}

void shard_owner::clear() {
    table_ = {};
    queue_.clear();
    batch_.clear();
    unheld_.clear();
    waiting_claims_ = 0;
    next_floor_.reset();
    blocked_ = false;
}

void shard_owner::receive(const to_owner& message, context& ctx) {
    std::visit(
        base::overloaded{[&](const claim& m) { on_claim(m, ctx); },
                         [&](const report_result& m) { on_result(m, ctx); },
                         [&](const report_lost& m) { on_lost(m, ctx); },
                         [&](const abandon& m) { on_abandon(m, ctx); }},
        message);
}

void shard_owner::on_claim(const claim& asked, context& ctx) {
    if (!is_open()) {
        answer(asked, verdict::not_owner, ctx);
        return;
    }
    if (asked.key_.issued_ < log_.floor()) {
        answer(asked, verdict::key_expired, ctx);
        return;
    }
    const auto* held = table_.find(asked.key_);
    if (held == nullptr) {
        admit(asked, true, ctx);
    } else if (held->attempt_ == asked.attempt_) {
        on_own_claim(asked, *held, ctx);
    } else {
        on_other_claim(asked, *held, ctx);
    }
}

/// A claim that was repeated, or that arrives twice or late.
void shard_owner::on_own_claim(const claim& asked,
                               const record& held,
                               context& ctx) {
    switch (held.state_) {
    case record_state::claimed:
        answer(asked, verdict::run, ctx);
        break;
    case record_state::claiming:
        if (blocked_) {
            answer(asked, verdict::unavailable, ctx);
        }
        break;
    case record_state::abandoning:
    case record_state::abandoned:
        // The entry gave the attempt up; it must not be claimed once more.
        answer(asked, verdict::unavailable, ctx);
        break;
    default:
        // The attempt was sent, so its entry expects no verdict.
        break;
    }
}

void shard_owner::on_other_claim(const claim& asked,
                                 const record& held,
                                 context& ctx) {
    if (held.body_hash_ != asked.body_hash_) {
        const bool is_certain = held.state_ != record_state::claiming;
        answer(asked, is_certain ? verdict::key_reused : verdict::in_progress,
               ctx);
        return;
    }
    switch (held.state_) {
    case record_state::claiming:
    case record_state::abandoning:
        answer(asked, verdict::in_progress, ctx);
        break;
    case record_state::claimed:
        on_claimed_elsewhere(asked, held, ctx);
        break;
    case record_state::storing:
    case record_state::known:
        answer(asked, verdict::replay, ctx);
        break;
    case record_state::losing:
    case record_state::lost:
        answer(asked, verdict::unknown, ctx);
        break;
    case record_state::abandoned:
        admit(asked, false, ctx);
        break;
    }
}

void shard_owner::on_claimed_elsewhere(const claim& asked,
                                       const record& held,
                                       context& ctx) {
    if (!ctx.view_.is_live(held.attempt_.instance_)) {
        answer(asked, verdict::unknown, ctx);
        return;
    }
    // The holder may have missed its verdict, or given up on an attempt whose
    // claim arrived after its abandon. It sends, reports or abandons now.
    tell_run(held.attempt_, asked.key_, ctx);
    answer(asked, verdict::in_progress, ctx);
}

void shard_owner::admit(const claim& asked, bool is_new, context& ctx) {
    if (draining_) {
        answer(asked, verdict::not_owner, ctx);
        return;
    }
    const bool is_full = waiting_claims_ >= limits_.max_pending_claims_ ||
                         (is_new && table_.size() >= limits_.max_records_);
    if (blocked_ || is_full) {
        answer(asked, verdict::unavailable, ctx);
        return;
    }
    table_.claim_key(asked);
    queue_.emplace_back(asked);
    ++waiting_claims_;
}

record* shard_owner::reported(const log_record& report, context& ctx) {
    if (!is_open()) {
        return nullptr;
    }
    const auto& key = key_of(report);
    auto* held = table_.find(key);
    if (key.issued_ < log_.floor()) {
        confirm(report, ctx);
        return nullptr;
    }
    const auto attempt = attempt_of(report);
    return held != nullptr && held->attempt_ == attempt ? held : nullptr;
}

void shard_owner::on_result(const report_result& report, context& ctx) {
    auto* held = reported(report, ctx);
    if (held == nullptr) {
        return;
    }
    const bool is_settled = held->state_ == record_state::known ||
                            held->state_ == record_state::lost;
    if (is_settled) {
        confirm_report(report.attempt_, ctx);
        return;
    }
    if (held->state_ != record_state::claimed) {
        return;
    }
    const auto size = size_of(report.result_);
    if (size > limits_.result_bytes_ ||
        table_.result_bytes() + size > limits_.max_result_memory_) {
        on_lost(report_lost{report.attempt_, report.shard_, report.key_}, ctx);
        return;
    }
    table_.store_result(*held, report.result_);
    held->state_ = record_state::storing;
    queue_.emplace_back(report);
}

void shard_owner::on_lost(const report_lost& report, context& ctx) {
    auto* held = reported(report, ctx);
    if (held == nullptr) {
        return;
    }
    if (held->state_ == record_state::known ||
        held->state_ == record_state::lost) {
        confirm_report(report.attempt_, ctx);
    } else if (held->state_ == record_state::claimed) {
        held->state_ = record_state::losing;
        queue_.emplace_back(report);
    }
}

void shard_owner::on_abandon(const abandon& given_up, context& ctx) {
    if (!is_open()) {
        return;
    }
    if (given_up.key_.issued_ < log_.floor()) {
        confirm_abandon(given_up.attempt_, ctx);
        return;
    }
    auto* held = table_.find(given_up.key_);
    if (held == nullptr || held->attempt_ != given_up.attempt_) {
        on_unheld_abandon(given_up);
        return;
    }
    switch (held->state_) {
    case record_state::claiming:
    case record_state::claimed:
        held->state_ = record_state::abandoning;
        queue_.emplace_back(given_up);
        break;
    case record_state::abandoning:
        break;
    default:
        confirm_abandon(given_up.attempt_, ctx);
        break;
    }
}

/// No record of the attempt stands here, but one may stand at a new owner
/// that this one has not heard of. The confirmation waits for a write, which
/// fails if there is one. If the claim arrives after all, the entry drops the
/// `run` and abandons again.
void shard_owner::on_unheld_abandon(const abandon& given_up) {
    if (unheld_.insert(given_up.attempt_).second) {
        queue_.emplace_back(given_up);
    }
}

std::vector<log_event> shard_owner::handle(const store::result& result,
                                           context& ctx) {
    auto events = log_.handle(result, ctx);
    for (const auto& event : events) {
        on_event(event, ctx);
    }
    return events;
}

void shard_owner::on_event(const log_event& event, context& ctx) {
    std::visit(
        base::overloaded{
            [](const head_read&) {},
            [&](const segment_loaded& loaded) { on_loaded(loaded); },
            [&](const log_opened&) { draining_ = false; },
            [&](const batch_durable&) { on_durable(ctx); },
            [&](const floor_raised&) { table_.drop_below(log_.floor()); },
            [&](const log_released&) { clear(); },
            [&](const log_lost&) {
                answer_waiting(verdict::not_owner, ctx);
                clear();
            },
            [&](const store_blocked&) { on_blocked(ctx); }},
        event);
}

void shard_owner::on_loaded(const segment_loaded& loaded) {
    for (const auto& durable : loaded.records_) {
        if (key_of(durable).issued_ >= log_.floor()) {
            table_.apply(durable);
        }
    }
}

void shard_owner::on_durable(context& ctx) {
    blocked_ = false;
    const auto batch = std::exchange(batch_, {});
    waiting_claims_ -=
        static_cast<std::size_t>(std::ranges::count_if(batch, is_claim));
    for (const auto& durable : batch) {
        on_record_durable(durable, ctx);
    }
}

void shard_owner::on_record_durable(const log_record& durable, context& ctx) {
    confirm(durable, ctx);
    if (std::holds_alternative<abandon>(durable)) {
        unheld_.erase(attempt_of(durable));
    }
    const auto& key = key_of(durable);
    auto* held = table_.find(key);
    if (held == nullptr || held->attempt_ != attempt_of(durable)) {
        return;
    }
    std::visit(
        base::overloaded{
            [&](const claim&) {
                // Not for a claim that is being abandoned already.
                if (held->state_ == record_state::claiming) {
                    held->state_ = record_state::claimed;
                    tell_run(held->attempt_, key, ctx);
                }
            },
            [&](const report_result&) { held->state_ = record_state::known; },
            [&](const report_lost&) { held->state_ = record_state::lost; },
            [&](const abandon&) { held->state_ = record_state::abandoned; }},
        durable);
}

/// The claims that wait are refused, but they stay in the queue: a write in
/// flight may hold them, and their entries abandon them.
void shard_owner::on_blocked(context& ctx) {
    if (!blocked_) {
        blocked_ = true;
        answer_waiting(verdict::unavailable, ctx);
    }
}

void shard_owner::answer(const claim& asked, verdict told, context& ctx) {
    claim_answer reply{asked.attempt_, told, {}, asked.key_};
    if (told == verdict::replay) {
        reply.result_ = *table_.find(asked.key_)->result_;
    }
    ctx.out_.queue_for_entry(asked.attempt_.instance_, std::move(reply));
}

void shard_owner::answer_waiting(verdict told, context& ctx) {
    for (const auto* records : {&batch_, &queue_}) {
        for (const auto& record : *records) {
            if (const auto* asked = std::get_if<claim>(&record)) {
                answer(*asked, told, ctx);
            }
        }
    }
}

void shard_owner::handle_time(context& ctx) {
    log_.handle_time(ctx);
}

void shard_owner::pump(context& ctx) {
    if (!log_.is_idle()) {
        return;
    }
    blocked_ = false;
    if (!next_floor_) {
        next_floor_ = ctx.now_ + floor_interval;
    }
    if (ctx.now_ >= *next_floor_) {
        next_floor_ = ctx.now_ + floor_interval;
        if (log_.raise_floor(ctx.wall_ - limits_.window_, ctx)) {
            return;
        }
    }
    if (!queue_.empty()) {
        // The segment after a sealed one is created without a pause.
        if (log_.is_sealed() || ctx.now_ >= next_write()) {
            start_write(ctx);
        }
    } else if (draining_) {
        log_.release(ctx);
    }
}

void shard_owner::start_write(context& ctx) {
    const auto taken = log_.append(queue_, ctx);
    last_write_ = ctx.now_;
    const auto end = queue_.begin() + static_cast<std::ptrdiff_t>(taken);
    batch_.assign(std::make_move_iterator(queue_.begin()),
                  std::make_move_iterator(end));
    queue_.erase(queue_.begin(), end);
}

base::time_point shard_owner::next_write() const {
    return last_write_ ? *last_write_ + limits_.write_interval_
                       : base::time_point::min();
}

std::optional<base::time_point> shard_owner::next_wakeup() const {
    auto next = log_.next_wakeup();
    if (log_.is_idle()) {
        next = earliest(next, next_floor_);
        if (!queue_.empty()) {
            next = earliest(next, next_write());
        }
    }
    return next;
}

} // namespace pimentoferry::once::internal
