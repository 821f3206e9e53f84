#include "pimentoferry/once/claimant.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/once/idempotency_key.hpp"
#include "pimentoferry/once/record_table.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace pimentoferry::once::internal {
namespace {

using base::ran_state;
using base::refusal_code;

constexpr base::milliseconds retry_soon{500};
constexpr base::milliseconds retry_later{1000};
/// The resend interval of reports and abandons grows up to this factor, so that
/// a long outage does not saturate the peer links.
constexpr int max_backoff = 8;

base::refusal refused(refusal_code code,
                      ran_state ran,
                      std::optional<base::milliseconds> retry_after,
                      std::string detail) {
    return {code, ran, retry_after, std::move(detail)};
}

/// The refusal for the caller after a verdict that does not permit the call.
base::refusal refusal_for_verdict(verdict decision) {
    switch (decision) {
    case verdict::in_progress:
        return refused(refusal_code::in_progress, ran_state::unknown,
                       retry_soon,
                       "Another call with this key is in progress.");
    case verdict::unknown:
        return refused(refusal_code::result_lost, ran_state::unknown, {},
                       "A call with this key may have run; its result is "
                       "not known.");
    case verdict::key_reused:
        return refused(refusal_code::key_reused, ran_state::not_run, {},
                       "The key was used for another request.");
    case verdict::key_expired:
        return refused(refusal_code::key_expired, ran_state::unknown, {},
                       "The key is too old to tell whether it ran.");
    case verdict::unavailable:
        return refused(refusal_code::store_unavailable, ran_state::not_run,
                       retry_later,
                       "The call could not be recorded and was not sent.");
    default:
        return refused(refusal_code::internal_error, ran_state::unknown, {},
                       "The verdict is not a refusal.");
    }
}

} // namespace

claimant::claimant(const settings& limits, base::instance_id self)
    : limits_(limits), self_(self) {}

void claimant::on_call_arrived(const call_arrived& call, context& ctx) {
    if (calls_.size() >= limits_.max_calls_) {
        ctx.out_.push(refuse_call{
            call.request_,
            refused(refusal_code::overloaded, ran_state::not_run, retry_later,
                    "Too many calls wait for their record.")});
        return;
    }
    const auto number = ++last_sequence_;
    auto& pending = calls_[number];
    pending.request_ = call.request_;
    pending.key_ = call.key_;
    pending.body_hash_ = call.body_hash_;
    pending.deadline_ = ctx.now_ + limits_.claim_timeout_;
    claiming_[call.request_] = number;
    send_message(number, pending, ctx);
}

void claimant::on_caller_disconnected(const caller_disconnected& caller,
                                      context& ctx) {
    const auto found = claiming_.find(caller.request_);
    if (found == claiming_.end()) {
        return;
    }
    const auto number = found->second;
    claiming_.erase(found);
    start_abandon(number, calls_.at(number), ctx);
}

void claimant::on_answered(const upstream_answered& answered, context& ctx) {
    if (size_of(answered.result_) > limits_.result_bytes_) {
        report(answered.attempt_, std::nullopt, ctx);
    } else {
        report(answered.attempt_, answered.result_, ctx);
    }
}

void claimant::on_not_reached(const upstream_not_reached& failed,
                              context& ctx) {
    auto* sent = find(failed.attempt_);
    if (sent == nullptr || sent->state_ != call_state::sent) {
        return;
    }
    ctx.out_.push(refuse_call{
        sent->request_, refused(refusal_code::no_upstream, ran_state::not_run,
                                retry_later, "No upstream could be reached.")});
    start_abandon(failed.attempt_.sequence_, *sent, ctx);
}

void claimant::on_answer_lost(const upstream_answer_lost& lost, context& ctx) {
    auto* sent = find(lost.attempt_);
    if (sent == nullptr || sent->state_ != call_state::sent) {
        return;
    }
    ctx.out_.push(
        refuse_call{sent->request_,
                    refused(refusal_code::upstream_failed, ran_state::unknown,
                            {}, "The upstream's answer was lost.")});
    report(lost.attempt_, std::nullopt, ctx);
}

void claimant::receive(const to_entry& message, context& ctx) {
    std::visit(
        base::overloaded{[&](const claim_answer& m) { on_answer(m, ctx); },
                         [&](const abandon_confirmed& m) {
                             confirm(m.attempt_, call_state::abandoning);
                         },
                         [&](const report_confirmed& m) {
                             confirm(m.attempt_, call_state::reporting);
                         }},
        message);
}

void claimant::on_owners_changed(context& ctx) {
    std::vector<sequence> rerouted;
    for (const auto& [number, pending] : calls_) {
        const auto shard = shard_of(pending.key_, limits_.shards_);
        if (pending.state_ != call_state::sent &&
            pending.owner_ != ctx.view_.route(shard)) {
            rerouted.push_back(number);
        }
    }
    std::ranges::sort(rerouted);
    for (const auto number : rerouted) {
        send_message(number, calls_.at(number), ctx);
    }
}

void claimant::handle_time(context& ctx) {
    while (!due_.empty() && due_.begin()->first <= ctx.now_) {
        const auto number = due_.begin()->second;
        auto& pending = calls_.at(number);
        if (pending.state_ == call_state::claiming &&
            ctx.now_ >= pending.deadline_) {
            refuse_and_abandon(
                number, pending,
                refused(refusal_code::not_owner, ran_state::not_run,
                        retry_later,
                        "The owner of the key's record did not answer."),
                ctx);
        } else {
            send_message(number, pending, ctx);
        }
    }
}

std::optional<base::time_point> claimant::next_wakeup() const {
    if (due_.empty()) {
        return std::nullopt;
    }
    return due_.begin()->first;
}

claimant::call* claimant::find(base::attempt_id attempt) {
    if (attempt.instance_ != self_) {
        return nullptr;
    }
    const auto found = calls_.find(attempt.sequence_);
    return found == calls_.end() ? nullptr : &found->second;
}

void claimant::on_answer(const claim_answer& answer, context& ctx) {
    if (answer.verdict_ == verdict::run) {
        on_run(answer, ctx);
        return;
    }
    auto* pending = find(answer.attempt_);
    if (pending == nullptr || pending->state_ != call_state::claiming) {
        return;
    }
    const auto number = answer.attempt_.sequence_;
    if (answer.verdict_ == verdict::not_owner) {
        schedule(number, *pending,
                 std::min(ctx.now_ + limits_.not_owner_backoff_,
                          pending->deadline_));
        return;
    }
    if (answer.verdict_ == verdict::replay) {
        ctx.out_.push(replay_result{pending->request_, answer.result_});
        claiming_.erase(pending->request_);
    } else {
        ctx.out_.push(refuse_call{pending->request_,
                                  refusal_for_verdict(answer.verdict_)});
        claiming_.erase(pending->request_);
    }
    on_refused(number, *pending, answer.verdict_, ctx);
}

/// Issues `send_call` only for an attempt that awaits its verdict. Any other
/// attempt either was sent already, or will never be sent and its claim must be
/// abandoned.
void claimant::on_run(const claim_answer& answer, context& ctx) {
    if (answer.attempt_.instance_ != self_) {
        return;
    }
    const auto number = answer.attempt_.sequence_;
    auto* pending = find(answer.attempt_);
    if (pending == nullptr) {
        auto& late = calls_[number];
        late.key_ = answer.key_;
        start_abandon(number, late, ctx);
        return;
    }
    if (pending->state_ == call_state::claiming) {
        unschedule(number, *pending);
        claiming_.erase(pending->request_);
        pending->state_ = call_state::sent;
        ctx.out_.push(send_call{pending->request_, answer.attempt_});
    } else if (pending->state_ != call_state::sent) {
        send_message(number, *pending, ctx);
    }
}

/// Abandons a refused attempt whose claim may still be recorded. This is so if
/// its claim was sent more than once, as another owner may have recorded one of
/// the messages, and after `unavailable`, as the write may still take effect.
void claimant::on_refused(sequence number,
                          call& pending,
                          verdict decision,
                          context& ctx) {
    if (decision == verdict::unavailable || pending.send_count_ > 1) {
        start_abandon(number, pending, ctx);
    } else {
        erase_call(number);
    }
}

void claimant::confirm(base::attempt_id attempt, call_state state) {
    const auto* settled = find(attempt);
    if (settled != nullptr && settled->state_ == state) {
        erase_call(attempt.sequence_);
    }
}

void claimant::refuse_and_abandon(sequence number,
                                  call& pending,
                                  const base::refusal& refusal,
                                  context& ctx) {
    claiming_.erase(pending.request_);
    ctx.out_.push(refuse_call{pending.request_, refusal});
    start_abandon(number, pending, ctx);
}

void claimant::report(base::attempt_id attempt,
                      std::optional<stored_result> result,
                      context& ctx) {
    auto* sent = find(attempt);
    if (sent == nullptr || sent->state_ != call_state::sent) {
        return;
    }
    sent->state_ = call_state::reporting;
    sent->send_count_ = 0;
    sent->result_ = std::move(result);
    send_message(attempt.sequence_, *sent, ctx);
}

void claimant::start_abandon(sequence number, call& pending, context& ctx) {
    pending.state_ = call_state::abandoning;
    pending.send_count_ = 0;
    send_message(number, pending, ctx);
}

void claimant::send_message(sequence number, call& pending, context& ctx) {
    const auto shard = shard_of(pending.key_, limits_.shards_);
    pending.owner_ = ctx.view_.route(shard);
    if (pending.owner_.value_ != 0) {
        ++pending.send_count_;
        ctx.out_.queue_for_owner(pending.owner_, message_of(number, pending));
    }
    auto due = ctx.now_ + resend_delay(pending);
    if (pending.state_ == call_state::claiming) {
        due = std::min(due, pending.deadline_);
    }
    schedule(number, pending, due);
}

to_owner claimant::message_of(sequence number, const call& pending) const {
    const base::attempt_id attempt{self_, number};
    const auto shard = shard_of(pending.key_, limits_.shards_);
    if (pending.state_ == call_state::claiming) {
        return claim{attempt, shard, pending.key_, pending.body_hash_};
    }
    if (pending.state_ == call_state::abandoning) {
        return abandon{attempt, shard, pending.key_};
    }
    if (pending.result_) {
        return report_result{attempt, shard, pending.key_, *pending.result_};
    }
    return report_lost{attempt, shard, pending.key_};
}

base::milliseconds claimant::resend_delay(const call& pending) const {
    if (pending.state_ == call_state::claiming) {
        return limits_.resend_interval_;
    }
    return limits_.resend_interval_ *
           std::clamp(pending.send_count_, 1, max_backoff);
}

void claimant::schedule(sequence number, call& pending, base::time_point due) {
    unschedule(number, pending);
    pending.due_ = due;
    due_.emplace(due, number);
}

void claimant::unschedule(sequence number, const call& pending) {
    due_.erase({pending.due_, number});
}

void claimant::erase_call(sequence number) {
    const auto found = calls_.find(number);
    unschedule(number, found->second);
    calls_.erase(found);
}

} // namespace pimentoferry::once::internal
