#include "pimentoferry/requests/table_core.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>

namespace pimentoferry::requests::internal {

namespace {

constexpr base::time_point no_deadline = base::time_point::max();

} // namespace

table_core::table_core(const table_settings& settings)
    : settings_(settings), quarantine_(settings.quarantine_),
      cancels_(settings.cancels_), picker_(settings.seed_) {}

std::vector<action> table_core::handle(const event& e, base::time_point now) {
    now_ = now;
    out_.clear();
    std::visit([this](const auto& each) { on(each); }, e);
    attribute_crashes(false);
    for (cancel_attempts& added : cancels_.take_added()) {
        out_.emplace_back(std::move(added));
    }
    return std::move(out_);
}

std::optional<base::time_point> table_core::next_deadline() const {
    base::time_point next = cancels_.next_due().value_or(no_deadline);
    if (!timers_.empty()) {
        next = std::min(next, timers_.begin()->first);
    }
    for (const auto& each : unattributed_crashes_) {
        next = std::min(next, each.second.deadline_);
    }
    if (next == no_deadline) {
        return std::nullopt;
    }
    return next;
}

bool table_core::idle() const {
    return requests_.empty() && cancels_.size() == 0;
}

std::vector<memory_hold> table_core::memory_holds() const {
    std::vector<memory_hold> all;
    for (const auto& [unused, r] : requests_) {
        for (const base::upstream_name& engine : r.attempt_.holds_) {
            all.push_back({r.attempt_.id_, engine, false});
        }
    }
    for (auto& [attempt, engine] : cancels_.open()) {
        all.push_back({attempt, engine, true});
    }
    return all;
}

table_counts table_core::counts() const {
    table_counts result = counts_;
    result.running_ = requests_.size();
    result.cancels_pending_ = cancels_.size();
    return result;
}

void table_core::on(const request_arrived& e) {
    const auto [entry, added] = requests_.try_emplace(e.request_);
    if (!added) {
        ++counts_.dropped_events_;
        return;
    }
    request_state& r = entry->second;
    r.request_ = e;
    r.request_deadline_ = now_ + settings_.request_timeout_;
    enter(r, stage::placing, r.request_deadline_);
    if (draining_) {
        refuse_request(r, base::refusal_code::draining, true);
        return;
    }
    budgets_.try_emplace(e.deployment_, settings_.retries_)
        .first->second.note_request(now_);
    place(r, 0);
}

void table_core::on(const caller_disconnected& e) {
    const auto found = requests_.find(e.request_);
    if (found == requests_.end()) {
        ++counts_.dropped_events_;
        return;
    }
    ++counts_.cancelled_;
    end_attempt(found->second, placement::release_reason::cancelled);
    erase(found->second);
}

void table_core::on(const cancel_confirmed& e) {
    if (!cancels_.confirm(e.engine_, e.attempts_)) {
        ++counts_.dropped_events_;
    }
    for (const base::attempt_id attempt : e.attempts_) {
        const auto found = lost_attempts_.find(attempt);
        if (found == lost_attempts_.end()) {
            continue;
        }
        request_state& r = requests_.at(found->second);
        if (r.lost_engine_ == e.engine_) {
            place(r, 0);
        }
    }
}

void table_core::on(const crash_mark_received& e) {
    if (!quarantine_.merge({e.fingerprint_, e.crashes_, e.remaining_}, now_)) {
        return;
    }
    if (quarantine_.status_of(e.fingerprint_, now_) ==
        crash_status::quarantined) {
        refuse_duplicates(e.fingerprint_);
    }
}

void table_core::on(const drain_started&) {
    draining_ = true;
}

void table_core::on(const tick&) {
    // Before the stage deadlines, because a request that awaits a crash report
    // runs again after the crash was attributed.
    attribute_crashes(true);
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        expire(requests_.at(timers_.begin()->second));
    }
    for (cancel_attempts& due : cancels_.take_due(now_)) {
        out_.emplace_back(std::move(due));
    }
}

void table_core::expire(request_state& r) {
    if (r.request_deadline_ <= now_) {
        refuse_request(r, base::refusal_code::upstream_timeout, false);
        return;
    }
    switch (r.stage_) {
    case stage::placing:
    case stage::queued:
        place_next(r);
        break;
    case stage::prefilling:
        handle_prefill_loss(r, engine_failure::timed_out);
        break;
    case stage::binding:
        bind_without_owner(r);
        break;
    case stage::transferring:
        log(r, "rebind", "the KV cache transfer missed its deadline");
        handle_decode_loss(r, placement::loss_reason::stalled);
        break;
    case stage::opening:
        log(r, "close", "no first token before the timeout");
        close_stream(r);
        break;
    case stage::resuming:
        open_stream(r);
        break;
    case stage::recovering:
        place(r, 0);
        break;
    case stage::decoding:
    case stage::closing:
        refuse_request(r, base::refusal_code::upstream_timeout, false);
        break;
    }
}

void table_core::end_attempt(request_state& r,
                             placement::release_reason reason) {
    if (r.attempt_.id_ == base::attempt_id{}) {
        return;
    }
    if (r.stage_ == stage::placing || r.stage_ == stage::queued) {
        withdraw_placement(r);
        return;
    }
    notify_owner(r, placement::placement_release{r.attempt_.id_, reason, 0});
    discard_attempt(r);
}

void table_core::discard_attempt(request_state& r) {
    const std::vector<base::upstream_name> holds = r.attempt_.holds_;
    for (const base::upstream_name& engine : holds) {
        cancel(r, engine);
    }
    attempts_.erase(r.attempt_.id_);
    r.attempt_ = {};
}

void table_core::rerun_after_failure(request_state& r,
                                     const base::upstream_name& engine,
                                     engine_failure failure) {
    const bool unanswered = failure == engine_failure::broken ||
                            failure == engine_failure::timed_out;
    const base::attempt_id lost = r.attempt_.id_;
    discard_attempt(r);
    if (!admit_rerun(r)) {
        return;
    }
    if (!unanswered) {
        place(r, 0);
        return;
    }
    r.lost_attempt_ = lost;
    r.lost_engine_ = engine;
    await_crash_report(r);
}

void table_core::await_crash_report(request_state& r) {
    enter(r, stage::recovering, settings_.crash_report_wait_);
    if (r.lost_attempt_ != base::attempt_id{}) {
        lost_attempts_[r.lost_attempt_] = r.request_.request_;
    }
}

void table_core::rerun(request_state& r) {
    discard_attempt(r);
    if (admit_rerun(r)) {
        place(r, 0);
    }
}

bool table_core::admit_rerun(request_state& r) {
    if (r.position_ > 0 && !r.request_.deterministic_) {
        refuse_request(r, base::refusal_code::upstream_failed, false);
        return false;
    }
    if (r.reruns_ >= settings_.max_reruns_) {
        refuse_request(r, base::refusal_code::upstream_failed, true);
        return false;
    }
    if (status_of(r) == crash_status::quarantined) {
        refuse_request(r, base::refusal_code::quarantined, true);
        return false;
    }
    if (!budgets_.at(r.request_.deployment_).take(now_)) {
        ++counts_.budget_denied_;
        refuse_request(r, base::refusal_code::upstream_failed, true);
        return false;
    }
    ++r.reruns_;
    ++counts_.reruns_;
    log(r, "retry", "the attempt was lost");
    return true;
}

void table_core::refuse_request(request_state& r,
                                base::refusal_code code,
                                bool retry) {
    std::optional<base::milliseconds> retry_after;
    if (code == base::refusal_code::quarantined) {
        retry_after = quarantine_.remaining(r.request_.fingerprint_, now_);
    } else if (retry) {
        retry_after = settings_.retry_after_;
    }
    refuse_request(r, code, retry_after);
}

void table_core::refuse_request(request_state& r,
                                base::refusal_code code,
                                std::optional<base::milliseconds> retry_after) {
    end_attempt(r, placement::release_reason::failed);
    base::refusal refusal{code, base::ran_state::unknown, retry_after, {}};
    const bool sent = r.calls_sent_ > 0;
    if (!sent && code != base::refusal_code::quarantined) {
        refusal.ran_ = base::ran_state::not_run;
    }
    if (code == base::refusal_code::quarantined) {
        ++counts_.quarantined_;
    }
    ++counts_.refused_;
    log(r, "refuse", std::string{base::to_string(code)});
    out_.emplace_back(refuse{r.request_.request_, std::move(refusal)});
    erase(r);
}

void table_core::erase(request_state& r) {
    timers_.erase({r.timer_, r.request_.request_});
    lost_attempts_.erase(r.lost_attempt_);
    requests_.erase(r.request_.request_);
}

void table_core::hold(request_state& r, const base::upstream_name& engine) {
    auto& holds = r.attempt_.holds_;
    if (std::ranges::find(holds, engine) == holds.end()) {
        holds.push_back(engine);
    }
}

void table_core::release(request_state& r, const base::upstream_name& engine) {
    std::erase(r.attempt_.holds_, engine);
}

void table_core::cancel(request_state& r, const base::upstream_name& engine) {
    std::optional<crash_candidate> candidate;
    if (runs_at(r, engine)) {
        candidate = {r.request_.fingerprint_, r.attempt_.suspect_};
    }
    cancel_hold(r, engine, candidate);
}

void table_core::cancel_idle(request_state& r,
                             const base::upstream_name& engine) {
    cancel_hold(r, engine, std::nullopt);
}

void table_core::cancel_hold(request_state& r,
                             const base::upstream_name& engine,
                             const std::optional<crash_candidate>& candidate) {
    auto& holds = r.attempt_.holds_;
    if (std::ranges::find(holds, engine) == holds.end()) {
        return;
    }
    const base::milliseconds longest =
        std::max(settings_.max_engine_hold_,
                 prefill_limit(r) + settings_.prefill_result_ttl_);
    cancels_.add({r.attempt_.id_, engine, now_ + longest, candidate,
                  awaits_answer_from(r, engine)},
                 now_);
    release(r, engine);
}

request_state* table_core::find(base::attempt_id attempt,
                                std::initializer_list<stage> stages) {
    const auto found = attempts_.find(attempt);
    if (found != attempts_.end()) {
        request_state& r = requests_.at(found->second);
        if (std::ranges::find(stages, r.stage_) != stages.end()) {
            return &r;
        }
    }
    ++counts_.dropped_events_;
    return nullptr;
}

std::vector<base::request_id> table_core::request_ids() const {
    std::vector<base::request_id> ids;
    ids.reserve(requests_.size());
    for (const auto& [id, unused] : requests_) {
        ids.push_back(id);
    }
    return ids;
}

void table_core::enter(request_state& r,
                       stage next,
                       base::time_point deadline) {
    timers_.erase({r.timer_, r.request_.request_});
    if (r.stage_ == stage::recovering) {
        lost_attempts_.erase(r.lost_attempt_);
    }
    r.stage_ = next;
    r.stage_deadline_ = deadline;
    r.timer_ = std::min(deadline, r.request_deadline_);
    timers_.emplace(r.timer_, r.request_.request_);
}

void table_core::enter(request_state& r, stage next, base::milliseconds wait) {
    enter(r, next, now_ + wait);
}

void table_core::notify_owner(const request_state& r,
                              placement::to_owner message) {
    out_.emplace_back(send_to_owner{
        r.request_.cell_, std::move(message), r.attempt_.rank_, {}});
}

void table_core::log(const request_state& r,
                     std::string decision,
                     std::string reason) {
    out_.emplace_back(log_decision{r.request_.request_, r.attempt_.id_,
                                   std::move(decision), std::move(reason)});
}

crash_status table_core::status_of(const request_state& r) const {
    return quarantine_.status_of(r.request_.fingerprint_, now_);
}

} // namespace pimentoferry::requests::internal

namespace pimentoferry::requests {

request_table::request_table(const table_settings& settings)
    : core_(std::make_unique<internal::table_core>(settings)) {}

request_table::request_table(request_table&&) noexcept = default;
request_table& request_table::operator=(request_table&&) noexcept = default;
request_table::~request_table() = default;

std::vector<action> request_table::handle(const event& e,
                                          base::time_point now) {
    return core_->handle(e, now);
}

std::optional<base::time_point> request_table::next_deadline() const {
    return core_->next_deadline();
}

bool request_table::idle() const {
    return core_->idle();
}

std::vector<memory_hold> request_table::memory_holds() const {
    return core_->memory_holds();
}

table_counts request_table::counts() const {
    return core_->counts();
}

} // namespace pimentoferry::requests
