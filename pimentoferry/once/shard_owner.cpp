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

void send_run(base::attempt_id attempt, const key_id& key, context& ctx) {
    ctx.out_.queue_for_entry(attempt.instance_,
                             claim_answer{attempt, verdict::run, {}, key});
}

} // namespace

shard_owner::shard_owner(shard_number shard,
                         base::instance_id self,
                         const settings& limits)
    : limits_(limits),
      log_(shard, self, limits.segment_bytes_, limits.store_retry_interval_) {}

void shard_owner::read_head(context& ctx) {
    clear();
    log_.read_head(ctx);
}

void shard_owner::take_over(context& ctx) {
    log_.take_over(ctx);
}

void shard_owner::step_down(context& ctx) {
    answer_pending_claims(verdict::not_owner, ctx);
    log_.close();
    clear();
}

void shard_owner::clear() {
    table_ = {};
    queue_.clear();
    batch_.clear();
    unmatched_abandons_.clear();
    pending_claims_ = 0;
    next_low_watermark_update_.reset();
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

void shard_owner::on_claim(const claim& request, context& ctx) {
    if (!is_open()) {
        answer(request, verdict::not_owner, ctx);
        return;
    }
    if (request.key_.issued_ < log_.low_watermark()) {
        answer(request, verdict::key_expired, ctx);
        return;
    }
    const auto* existing = table_.find(request.key_);
    if (existing == nullptr) {
        admit(request, true, ctx);
    } else if (existing->attempt_ == request.attempt_) {
        on_repeated_claim(request, *existing, ctx);
    } else {
        on_competing_claim(request, *existing, ctx);
    }
}

/// Handles a claim that was resent, duplicated or delayed.
void shard_owner::on_repeated_claim(const claim& request,
                                    const record& existing,
                                    context& ctx) {
    switch (existing.state_) {
    case record_state::claimed:
        answer(request, verdict::run, ctx);
        break;
    case record_state::claiming:
        if (blocked_) {
            answer(request, verdict::unavailable, ctx);
        }
        break;
    case record_state::abandoning:
    case record_state::abandoned:
        // The entry abandoned the attempt; it must not be claimed again.
        answer(request, verdict::unavailable, ctx);
        break;
    default:
        // The attempt was sent already, so its entry awaits no verdict.
        break;
    }
}

void shard_owner::on_competing_claim(const claim& request,
                                     const record& existing,
                                     context& ctx) {
    if (existing.body_hash_ != request.body_hash_) {
        const bool is_certain = existing.state_ != record_state::claiming;
        answer(request, is_certain ? verdict::key_reused : verdict::in_progress,
               ctx);
        return;
    }
    switch (existing.state_) {
    case record_state::claiming:
    case record_state::abandoning:
        answer(request, verdict::in_progress, ctx);
        break;
    case record_state::claimed:
        on_competing_claim_in_progress(request, existing, ctx);
        break;
    case record_state::storing:
    case record_state::stored:
        answer(request, verdict::replay, ctx);
        break;
    case record_state::marking_lost:
    case record_state::lost:
        answer(request, verdict::unknown, ctx);
        break;
    case record_state::abandoned:
        admit(request, false, ctx);
        break;
    }
}

void shard_owner::on_competing_claim_in_progress(const claim& request,
                                                 const record& existing,
                                                 context& ctx) {
    if (!ctx.view_.is_live(existing.attempt_.instance_)) {
        answer(request, verdict::unknown, ctx);
        return;
    }
    // The entry that holds the claim may have missed its verdict, or abandoned
    // the attempt before its claim arrived here. A repeated `run` makes it
    // send, report or abandon the attempt.
    send_run(existing.attempt_, request.key_, ctx);
    answer(request, verdict::in_progress, ctx);
}

void shard_owner::admit(const claim& request, bool is_new, context& ctx) {
    if (draining_) {
        answer(request, verdict::not_owner, ctx);
        return;
    }
    const bool is_full = pending_claims_ >= limits_.max_pending_claims_ ||
                         (is_new && table_.size() >= limits_.max_records_);
    if (blocked_ || is_full) {
        answer(request, verdict::unavailable, ctx);
        return;
    }
    table_.claim_key(request);
    queue_.emplace_back(request);
    ++pending_claims_;
}

record* shard_owner::find_reported_record(const log_record& report,
                                          context& ctx) {
    if (!is_open()) {
        return nullptr;
    }
    const auto& key = key_of(report);
    auto* existing = table_.find(key);
    if (key.issued_ < log_.low_watermark()) {
        confirm(report, ctx);
        return nullptr;
    }
    const auto attempt = attempt_of(report);
    return existing != nullptr && existing->attempt_ == attempt ? existing
                                                                : nullptr;
}

void shard_owner::on_result(const report_result& report, context& ctx) {
    auto* existing = find_reported_record(report, ctx);
    if (existing == nullptr) {
        return;
    }
    const bool is_settled = existing->state_ == record_state::stored ||
                            existing->state_ == record_state::lost;
    if (is_settled) {
        confirm_report(report.attempt_, ctx);
        return;
    }
    if (existing->state_ != record_state::claimed) {
        return;
    }
    const auto size = size_of(report.result_);
    if (size > limits_.result_bytes_ ||
        table_.result_bytes() + size > limits_.max_result_memory_) {
        on_lost(report_lost{report.attempt_, report.shard_, report.key_}, ctx);
        return;
    }
    table_.store_result(*existing, report.result_);
    existing->state_ = record_state::storing;
    queue_.emplace_back(report);
}

void shard_owner::on_lost(const report_lost& report, context& ctx) {
    auto* existing = find_reported_record(report, ctx);
    if (existing == nullptr) {
        return;
    }
    if (existing->state_ == record_state::stored ||
        existing->state_ == record_state::lost) {
        confirm_report(report.attempt_, ctx);
    } else if (existing->state_ == record_state::claimed) {
        existing->state_ = record_state::marking_lost;
        queue_.emplace_back(report);
    }
}

void shard_owner::on_abandon(const abandon& request, context& ctx) {
    if (!is_open()) {
        return;
    }
    if (request.key_.issued_ < log_.low_watermark()) {
        confirm_abandon(request.attempt_, ctx);
        return;
    }
    auto* existing = table_.find(request.key_);
    if (existing == nullptr || existing->attempt_ != request.attempt_) {
        on_unmatched_abandon(request);
        return;
    }
    switch (existing->state_) {
    case record_state::claiming:
    case record_state::claimed:
        existing->state_ = record_state::abandoning;
        queue_.emplace_back(request);
        break;
    case record_state::abandoning:
        break;
    default:
        confirm_abandon(request.attempt_, ctx);
        break;
    }
}

/// Handles an abandon of an attempt that has no record here. The record may
/// exist at a newer owner that this owner has not detected, so the confirmation
/// waits for a write, which fails if there is a newer owner. If the claim
/// arrives later, its entry ignores the `run` and abandons the attempt again.
void shard_owner::on_unmatched_abandon(const abandon& request) {
    if (unmatched_abandons_.insert(request.attempt_).second) {
        queue_.emplace_back(request);
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
    std::visit(base::overloaded{
                   [](const head_read&) {},
                   [&](const segment_loaded& loaded) { on_loaded(loaded); },
                   [&](const log_opened&) { draining_ = false; },
                   [&](const batch_durable&) { on_durable(ctx); },
                   [&](const low_watermark_raised&) {
                       table_.erase_issued_before(log_.low_watermark());
                   },
                   [&](const log_released&) { clear(); },
                   [&](const log_lost&) {
                       answer_pending_claims(verdict::not_owner, ctx);
                       clear();
                   },
                   [&](const store_blocked&) { on_blocked(ctx); }},
               event);
}

void shard_owner::on_loaded(const segment_loaded& loaded) {
    for (const auto& durable : loaded.records_) {
        if (key_of(durable).issued_ >= log_.low_watermark()) {
            table_.apply(durable);
        }
    }
}

void shard_owner::on_durable(context& ctx) {
    blocked_ = false;
    const auto batch = std::exchange(batch_, {});
    pending_claims_ -=
        static_cast<std::size_t>(std::ranges::count_if(batch, is_claim));
    for (const auto& durable : batch) {
        on_record_durable(durable, ctx);
    }
}

void shard_owner::on_record_durable(const log_record& durable, context& ctx) {
    confirm(durable, ctx);
    if (std::holds_alternative<abandon>(durable)) {
        unmatched_abandons_.erase(attempt_of(durable));
    }
    const auto& key = key_of(durable);
    auto* existing = table_.find(key);
    if (existing == nullptr || existing->attempt_ != attempt_of(durable)) {
        return;
    }
    std::visit(
        base::overloaded{
            [&](const claim&) {
                // A claim that is being abandoned gets no verdict.
                if (existing->state_ == record_state::claiming) {
                    existing->state_ = record_state::claimed;
                    send_run(existing->attempt_, key, ctx);
                }
            },
            [&](const report_result&) {
                existing->state_ = record_state::stored;
            },
            [&](const report_lost&) { existing->state_ = record_state::lost; },
            [&](const abandon&) {
                existing->state_ = record_state::abandoned;
            }},
        durable);
}

/// Refuses the pending claims. They stay in the queue, because a write in
/// flight may contain them and their entries abandon them.
void shard_owner::on_blocked(context& ctx) {
    if (!blocked_) {
        blocked_ = true;
        answer_pending_claims(verdict::unavailable, ctx);
    }
}

void shard_owner::answer(const claim& request, verdict decision, context& ctx) {
    claim_answer reply{request.attempt_, decision, {}, request.key_};
    if (decision == verdict::replay) {
        reply.result_ = *table_.find(request.key_)->result_;
    }
    ctx.out_.queue_for_entry(request.attempt_.instance_, std::move(reply));
}

void shard_owner::answer_pending_claims(verdict decision, context& ctx) {
    for (const auto* records : {&batch_, &queue_}) {
        for (const auto& record : *records) {
            if (const auto* request = std::get_if<claim>(&record)) {
                answer(*request, decision, ctx);
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
    if (!next_low_watermark_update_) {
        next_low_watermark_update_ = ctx.now_ + low_watermark_interval;
    }
    if (ctx.now_ >= *next_low_watermark_update_) {
        next_low_watermark_update_ = ctx.now_ + low_watermark_interval;
        if (log_.raise_low_watermark(ctx.wall_ - limits_.window_, ctx)) {
            return;
        }
    }
    if (!queue_.empty()) {
        // The successor of a sealed segment is created without delay.
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
        next = earliest(next, next_low_watermark_update_);
        if (!queue_.empty()) {
            next = earliest(next, next_write());
        }
    }
    return next;
}

} // namespace pimentoferry::once::internal
