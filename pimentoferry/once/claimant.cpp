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
/// Reports and abandons are repeated ever more slowly up to this factor, so
/// that a long outage does not fill the peer links.
constexpr int max_backoff = 8;

base::refusal refused(refusal_code code,
                      ran_state ran,
                      std::optional<base::milliseconds> retry_after,
                      std::string detail) {
    return {code, ran, retry_after, std::move(detail)};
}

/// What the caller is told when the verdict does not let the call run.
base::refusal refusal_of(verdict told) {
    switch (told) {
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

void claimant::arrive(const call_arrived& call, context& ctx) {
    if (calls_.size() >= limits_.max_calls_) {
        ctx.out_.push(refuse_call{
            call.request_,
            refused(refusal_code::overloaded, ran_state::not_run, retry_later,
                    "Too many calls wait for their record.")});
        return;
    }
    const auto number = ++last_sequence_;
    auto& asked = calls_[number];
    asked.request_ = call.request_;
    asked.key_ = call.key_;
    asked.body_hash_ = call.body_hash_;
    asked.deadline_ = ctx.now_ + limits_.claim_timeout_;
    asking_[call.request_] = number;
    speak(number, asked, ctx);
}

void claimant::leave(const caller_disconnected& gone, context& ctx) {
    const auto found = asking_.find(gone.request_);
    if (found == asking_.end()) {
        return;
    }
    const auto number = found->second;
    asking_.erase(found);
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
    std::vector<sequence> moved;
    for (const auto& [number, waiting] : calls_) {
        const auto shard = shard_of(waiting.key_, limits_.shards_);
        if (waiting.state_ != call_state::sent &&
            waiting.asked_of_ != ctx.view_.route(shard)) {
            moved.push_back(number);
        }
    }
    std::ranges::sort(moved);
    for (const auto number : moved) {
        speak(number, calls_.at(number), ctx);
    }
}

void claimant::handle_time(context& ctx) {
    while (!due_.empty() && due_.begin()->first <= ctx.now_) {
        const auto number = due_.begin()->second;
        auto& waiting = calls_.at(number);
        if (waiting.state_ == call_state::asking &&
            ctx.now_ >= waiting.deadline_) {
            give_up(number, waiting,
                    refused(refusal_code::not_owner, ran_state::not_run,
                            retry_later,
                            "The owner of the key's record did not answer."),
                    ctx);
        } else {
            speak(number, waiting, ctx);
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

void claimant::on_answer(const claim_answer& told, context& ctx) {
    if (told.verdict_ == verdict::run) {
        on_run(told, ctx);
        return;
    }
    auto* asked = find(told.attempt_);
    if (asked == nullptr || asked->state_ != call_state::asking) {
        return;
    }
    const auto number = told.attempt_.sequence_;
    if (told.verdict_ == verdict::not_owner) {
        plan(number, *asked,
             std::min(ctx.now_ + limits_.not_owner_backoff_, asked->deadline_));
        return;
    }
    if (told.verdict_ == verdict::replay) {
        ctx.out_.push(replay_result{asked->request_, told.result_});
        asking_.erase(asked->request_);
    } else {
        ctx.out_.push(refuse_call{asked->request_, refusal_of(told.verdict_)});
        asking_.erase(asked->request_);
    }
    on_refused(number, *asked, told.verdict_, ctx);
}

/// Follows `run` only for an attempt that waits for it. Every other attempt
/// either was sent, or will never be: its record must not stand.
void claimant::on_run(const claim_answer& told, context& ctx) {
    if (told.attempt_.instance_ != self_) {
        return;
    }
    const auto number = told.attempt_.sequence_;
    auto* asked = find(told.attempt_);
    if (asked == nullptr) {
        auto& late = calls_[number];
        late.key_ = told.key_;
        start_abandon(number, late, ctx);
        return;
    }
    if (asked->state_ == call_state::asking) {
        unplan(number, *asked);
        asking_.erase(asked->request_);
        asked->state_ = call_state::sent;
        ctx.out_.push(send_call{asked->request_, told.attempt_});
    } else if (asked->state_ != call_state::sent) {
        speak(number, *asked, ctx);
    }
}

/// A record of this attempt may stand if more than one claim was sent for it:
/// another owner may have taken one of them. `unavailable` leaves it open.
void claimant::on_refused(sequence number,
                          call& asked,
                          verdict told,
                          context& ctx) {
    if (told == verdict::unavailable || asked.asked_ > 1) {
        start_abandon(number, asked, ctx);
    } else {
        forget(number);
    }
}

void claimant::confirm(base::attempt_id attempt, call_state state) {
    const auto* settled = find(attempt);
    if (settled != nullptr && settled->state_ == state) {
        forget(attempt.sequence_);
    }
}

void claimant::give_up(sequence number,
                       call& asked,
                       const base::refusal& refusal,
                       context& ctx) {
    asking_.erase(asked.request_);
    ctx.out_.push(refuse_call{asked.request_, refusal});
    start_abandon(number, asked, ctx);
}

void claimant::report(base::attempt_id attempt,
                      std::optional<stored_result> result,
                      context& ctx) {
    auto* sent = find(attempt);
    if (sent == nullptr || sent->state_ != call_state::sent) {
        return;
    }
    sent->state_ = call_state::reporting;
    sent->asked_ = 0;
    sent->result_ = std::move(result);
    speak(attempt.sequence_, *sent, ctx);
}

void claimant::start_abandon(sequence number, call& given_up, context& ctx) {
    given_up.state_ = call_state::abandoning;
    given_up.asked_ = 0;
    speak(number, given_up, ctx);
}

void claimant::speak(sequence number, call& waiting, context& ctx) {
    const auto shard = shard_of(waiting.key_, limits_.shards_);
    waiting.asked_of_ = ctx.view_.route(shard);
    if (waiting.asked_of_.value_ != 0) {
        ++waiting.asked_;
        ctx.out_.queue_for_owner(waiting.asked_of_,
                                 message_of(number, waiting));
    }
    auto due = ctx.now_ + pause_after(waiting);
    if (waiting.state_ == call_state::asking) {
        due = std::min(due, waiting.deadline_);
    }
    plan(number, waiting, due);
}

to_owner claimant::message_of(sequence number, const call& waiting) const {
    const base::attempt_id attempt{self_, number};
    const auto shard = shard_of(waiting.key_, limits_.shards_);
    if (waiting.state_ == call_state::asking) {
        return claim{attempt, shard, waiting.key_, waiting.body_hash_};
    }
    if (waiting.state_ == call_state::abandoning) {
        return abandon{attempt, shard, waiting.key_};
    }
    if (waiting.result_) {
        return report_result{attempt, shard, waiting.key_, *waiting.result_};
    }
    return report_lost{attempt, shard, waiting.key_};
}

base::milliseconds claimant::pause_after(const call& waiting) const {
    if (waiting.state_ == call_state::asking) {
        return limits_.resend_interval_;
    }
    return limits_.resend_interval_ *
           std::clamp(waiting.asked_, 1, max_backoff);
}

void claimant::plan(sequence number, call& waiting, base::time_point due) {
    unplan(number, waiting);
    waiting.due_ = due;
    due_.emplace(due, number);
}

void claimant::unplan(sequence number, const call& waiting) {
    due_.erase({waiting.due_, number});
}

void claimant::forget(sequence number) {
    const auto found = calls_.find(number);
    unplan(number, found->second);
    calls_.erase(found);
}

} // namespace pimentoferry::once::internal
