// Execution of an attempt at its engines: prefill, KV cache transfer, decode,
// and their failures.

#include "pimentoferry/requests/table_core.hpp"

#include <algorithm>

namespace pimentoferry::requests::internal {

namespace {

// Whether the engine holds no memory: it reported so, or did not receive the
// call.
bool holds_nothing(engine_failure failure) {
    return failure == engine_failure::not_sent ||
           failure == engine_failure::full || failure == engine_failure::gone;
}

// Whether the engine gave no response and so may have crashed on this request.
bool unanswered(engine_failure failure) {
    return failure == engine_failure::broken ||
           failure == engine_failure::timed_out;
}

placement::loss_reason loss_reason_of(engine_failure failure) {
    switch (failure) {
    case engine_failure::full:
        return placement::loss_reason::refused;
    case engine_failure::timed_out:
        return placement::loss_reason::stalled;
    default:
        return placement::loss_reason::failed;
    }
}

} // namespace

base::milliseconds table_core::prefill_limit(const request_state& r) const {
    return settings_.prefill_timeout_base_ +
           base::milliseconds{r.request_.prompt_tokens_};
}

void table_core::start(request_state& r) {
    attempt_state& attempt = r.attempt_;
    if (attempt.prefill_at_decode_) {
        open_stream(r);
        return;
    }
    ++r.calls_sent_;
    hold(r, attempt.prefill_);
    enter(r, stage::prefilling, prefill_limit(r));
    out_.emplace_back(
        start_prefill{attempt.id_, r.request_.request_, attempt.prefill_});
}

void table_core::on(const prefill_done& e) {
    request_state* r = find(e.attempt_, {stage::prefilling});
    if (r == nullptr) {
        cancels_.call_answered(e.attempt_, std::nullopt, true);
        return;
    }
    r->attempt_.call_answered_ = true;
    r->attempt_.handle_ = e.handle_;
    r->attempt_.prompt_tokens_ = e.prompt_tokens_;
    r->attempt_.result_expires_ = now_ + settings_.prefill_result_ttl_;
    notify_owner(*r, placement::prefill_finished{e.attempt_, e.prompt_tokens_,
                                                 e.cached_tokens_});
    bind(*r);
}

void table_core::on(const prefill_failed& e) {
    const bool sent = e.failure_ != engine_failure::not_sent;
    request_state* r = find(e.attempt_, {stage::prefilling});
    if (r == nullptr) {
        cancels_.call_answered(e.attempt_, std::nullopt, sent);
        return;
    }
    r->attempt_.call_answered_ = true;
    if (!sent) {
        --r->calls_sent_;
    }
    handle_prefill_loss(*r, e.failure_);
}

void table_core::handle_prefill_loss(request_state& r, engine_failure failure) {
    const base::upstream_name engine = r.attempt_.prefill_;
    if (holds_nothing(failure)) {
        release(r, engine);
    }
    // For the owner, the loss of the prefill engine ends the attempt.
    notify_owner(r, placement::engine_lost{r.attempt_.id_, engine,
                                           loss_reason_of(failure)});
    rerun_after_failure(r, engine, failure);
}

void table_core::bind(request_state& r) {
    if (r.attempt_.autonomous_) {
        bind_without_owner(r);
        return;
    }
    enter(r, stage::binding,
          std::min(now_ + settings_.placement_timeout_,
                   r.attempt_.result_expires_));
}

void table_core::bind_without_owner(request_state& r) {
    const attempt_state& attempt = r.attempt_;
    const auto lost = [&](const base::upstream_name& engine) {
        return std::ranges::find(attempt.failed_decodes_, engine) !=
               attempt.failed_decodes_.end();
    };
    std::optional<base::upstream_name> engine;
    if (attempt.result_expires_ > now_) {
        if (attempt.decode_ != base::upstream_name{} &&
            !lost(attempt.decode_)) {
            engine = attempt.decode_;
        } else if (!attempt.suspect_) {
            engine = picker_.pick(r.request_.cell_, engine_role::decode,
                                  attempt.failed_decodes_, local_engine_load());
        }
    }
    if (engine) {
        start_transfer(r, *engine);
        return;
    }
    end_attempt(r, placement::release_reason::failed);
    rerun(r);
}

void table_core::start_transfer(request_state& r,
                                const base::upstream_name& engine) {
    attempt_state& attempt = r.attempt_;
    const std::uint32_t expected_ms =
        attempt.prompt_tokens_ / settings_.transfer_tokens_per_ms_;
    const base::milliseconds deadline =
        settings_.import_timeout_base_ + 2 * base::milliseconds{expected_ms};
    attempt.decode_ = engine;
    attempt.call_answered_ = false;
    ++r.calls_sent_;
    hold(r, engine);
    enter(r, stage::transferring, deadline);
    out_.emplace_back(start_import{
        attempt.id_,
        r.request_.request_,
        engine,
        attempt.prefill_,
        attempt.handle_,
        attempt.prompt_tokens_,
        r.request_.max_output_tokens_,
        deadline,
    });
}

void table_core::on(const import_done& e) {
    request_state* r = find(e.attempt_, {stage::transferring});
    if (r == nullptr || e.engine_ != r->attempt_.decode_) {
        cancels_.call_answered(e.attempt_, e.engine_, true);
        return;
    }
    r->attempt_.call_answered_ = true;
    open_stream(*r);
}

void table_core::on(const import_failed& e) {
    const bool sent = e.failure_ != engine_failure::not_sent;
    request_state* r = find(e.attempt_, {stage::transferring});
    if (r == nullptr || e.engine_ != r->attempt_.decode_) {
        cancels_.call_answered(e.attempt_, e.engine_, sent);
        return;
    }
    r->attempt_.call_answered_ = true;
    if (!sent) {
        --r->calls_sent_;
    }
    if (holds_nothing(e.failure_)) {
        release(*r, e.engine_);
    }
    // An evicted result cannot be imported elsewhere. When the connection
    // broke, the engine may have crashed on the request, so the request runs
    // again only after a crash report or the wait for one.
    if (e.failure_ == engine_failure::gone ||
        e.failure_ == engine_failure::broken) {
        notify_owner(*r, placement::placement_release{
                             e.attempt_, placement::release_reason::failed, 0});
        rerun_after_failure(*r, e.engine_, e.failure_);
        return;
    }
    handle_decode_loss(*r, loss_reason_of(e.failure_));
}

void table_core::handle_decode_loss(request_state& r,
                                    placement::loss_reason reason) {
    attempt_state& attempt = r.attempt_;
    const base::upstream_name engine = attempt.decode_;
    cancel(r, engine);
    if (attempt.result_expires_ <= now_) {
        end_attempt(r, placement::release_reason::failed);
        rerun(r);
        return;
    }
    attempt.failed_decodes_.push_back(engine);
    notify_owner(r, placement::engine_lost{attempt.id_, engine, reason});
    bind(r);
}

void table_core::open_stream(request_state& r) {
    attempt_state& attempt = r.attempt_;
    attempt.call_answered_ = false;
    const bool with_prompt =
        attempt.prefill_at_decode_ && !attempt.stream_sent_;
    base::milliseconds limit = settings_.first_token_timeout_;
    if (with_prompt) {
        limit += prefill_limit(r);
    }
    ++r.calls_sent_;
    hold(r, attempt.decode_);
    enter(r, stage::opening, limit);
    out_.emplace_back(start_decode{attempt.id_, r.request_.request_,
                                   attempt.decode_, r.position_, with_prompt});
}

void table_core::on(const first_token& e) {
    request_state* r = find(e.attempt_, {stage::opening});
    if (r == nullptr) {
        return;
    }
    r->attempt_.stream_sent_ = true;
    enter(*r, stage::decoding, r->request_deadline_);
    if (r->attempt_.first_token_reported_) {
        return;
    }
    r->attempt_.first_token_reported_ = true;
    notify_owner(*r, placement::decode_started{e.attempt_});
    if (!r->attempt_.prefill_at_decode_) {
        cancel_idle(*r, r->attempt_.prefill_);
    }
}

void table_core::on(const stream_ended& e) {
    request_state* r =
        find(e.attempt_, {stage::opening, stage::decoding, stage::closing});
    if (r == nullptr) {
        return;
    }
    // The engine freed the memory of the attempt with its last token.
    release(*r, r->attempt_.decode_);
    if (e.output_tokens_ < r->position_) {
        // More tokens were relayed, by earlier runs, than this run produced in
        // total.
        refuse_request(*r, base::refusal_code::upstream_failed, false);
        return;
    }
    quarantine_.run_completed(r->request_.fingerprint_, now_);
    notify_owner(*r, placement::placement_release{
                         e.attempt_, placement::release_reason::completed,
                         e.output_tokens_});
    cancel_idle(*r, r->attempt_.prefill_);
    discard_attempt(*r);
    ++counts_.completed_;
    out_.emplace_back(complete_response{r->request_.request_});
    erase(*r);
}

void table_core::on(const stream_broken& e) {
    request_state* r =
        find(e.attempt_, {stage::opening, stage::decoding, stage::closing});
    if (r == nullptr) {
        cancels_.call_answered(e.attempt_, std::nullopt,
                               e.failure_ != engine_failure::not_sent);
        return;
    }
    // The count of the traffic thread only grows, so a lower count belongs to
    // an earlier event.
    if (e.position_ < r->position_) {
        ++counts_.dropped_events_;
        return;
    }
    r->attempt_.call_answered_ = true;
    if (e.failure_ == engine_failure::not_sent) {
        --r->calls_sent_;
    } else {
        r->attempt_.stream_sent_ = true;
    }
    if (e.position_ > r->position_) {
        r->position_ = e.position_;
        r->attempt_.resumes_ = 0;
    }
    resume_or_handle_loss(*r, e.failure_);
}

void table_core::resume_or_handle_loss(request_state& r,
                                       engine_failure failure) {
    attempt_state& attempt = r.attempt_;
    if (r.stage_ == stage::closing) {
        handle_stream_loss(r, attempt.decode_crashed_
                                  ? engine_failure::error
                                  : engine_failure::timed_out);
        return;
    }
    const bool held = attempt.stream_sent_ || !attempt.prefill_at_decode_;
    const bool interrupted =
        unanswered(failure) || failure == engine_failure::not_sent;
    if (!held || !interrupted || attempt.resumes_ >= settings_.max_resumes_) {
        handle_stream_loss(r, failure);
        return;
    }
    const base::milliseconds delay =
        settings_.resume_delay_ * (1 << attempt.resumes_);
    ++attempt.resumes_;
    ++counts_.resumes_;
    log(r, "resume", "the decode stream broke");
    enter(r, stage::resuming, delay);
}

void table_core::handle_stream_loss(request_state& r, engine_failure failure) {
    const attempt_state& attempt = r.attempt_;
    const base::upstream_name engine = attempt.decode_;
    if (failure == engine_failure::not_sent && attempt.prefill_at_decode_ &&
        !attempt.stream_sent_) {
        release(r, engine);
    }
    const bool transferable =
        !attempt.prefill_at_decode_ && !attempt.first_token_reported_ &&
        r.position_ == 0 && !attempt.decode_crashed_ && !unanswered(failure);
    if (transferable && attempt.result_expires_ > now_) {
        handle_decode_loss(r, loss_reason_of(failure));
        return;
    }
    notify_owner(r, placement::placement_release{
                        attempt.id_, placement::release_reason::failed, 0});
    rerun_after_failure(r, engine, failure);
}

// The next run starts only after the traffic thread has reported the position:
// tokens relayed until then would otherwise reach the caller twice.
void table_core::close_stream(request_state& r) {
    cancel(r, r.attempt_.decode_);
    enter(r, stage::closing, settings_.close_timeout_);
}

} // namespace pimentoferry::requests::internal
