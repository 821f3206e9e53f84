// Engine crashes: which requests ran there, to which of them the crash is
// attributed, and how each continues.

#include "pimentoferry/requests/table_core.hpp"

#include <algorithm>

namespace pimentoferry::requests::internal {

namespace {

bool contains(const std::vector<base::upstream_name>& names,
              const base::upstream_name& name) {
    return std::ranges::find(names, name) != names.end();
}

} // namespace

void table_core::on(const engine_crashed& e) {
    // An engine that stays down is reported again with each refused call, so a
    // report extends the open entry of its engine.
    unattributed_crash& crash = unattributed_crashes_[e.engine_];
    crash.deadline_ = now_ + settings_.crash_report_wait_;
    for (const memory_hold& held : memory_holds()) {
        if (held.engine_ == e.engine_) {
            crash.attempts_.insert(held.attempt_);
        }
    }
}

// An engine that only holds the result of a finished prefill does not run the
// attempt.
bool table_core::runs_at(const request_state& r,
                         const base::upstream_name& engine) const {
    return engine == r.attempt_.decode_ || r.stage_ == stage::prefilling ||
           r.stage_ == stage::transferring;
}

// Whether the first call of the attempt to the engine is open, so that it is
// not known yet whether the engine received it.
bool table_core::awaits_answer_from(const request_state& r,
                                    const base::upstream_name& engine) const {
    const attempt_state& attempt = r.attempt_;
    if (attempt.call_answered_) {
        return false;
    }
    switch (r.stage_) {
    case stage::prefilling:
        return attempt.prefill_ == engine;
    case stage::transferring:
        return attempt.decode_ == engine;
    case stage::opening:
        return attempt.decode_ == engine && attempt.prefill_at_decode_ &&
               !attempt.stream_sent_;
    default:
        return false;
    }
}

bool table_core::all_calls_answered(
    const base::upstream_name& engine,
    const std::set<base::attempt_id>& attempts) const {
    return std::ranges::none_of(attempts, [&](base::attempt_id attempt) {
        if (cancels_.awaits_answer(attempt, engine)) {
            return true;
        }
        const auto found = attempts_.find(attempt);
        return found != attempts_.end() &&
               awaits_answer_from(requests_.at(found->second), engine);
    });
}

// A call that was never sent cannot have caused the crash. Its failure may be
// reported after the crash, so the attribution waits for it. Only a tick ends
// the wait: after a pause of the entry, the failure may be among the events
// that are handled before the tick.
void table_core::attribute_crashes(bool at_deadline) {
    for (auto next = unattributed_crashes_.begin();
         next != unattributed_crashes_.end();) {
        const auto& [engine, crash] = *next;
        const bool expired = at_deadline && crash.deadline_ <= now_;
        if (!expired && !all_calls_answered(engine, crash.attempts_)) {
            ++next;
            continue;
        }
        const auto attributed = unattributed_crashes_.extract(next++);
        attribute_crash(attributed.key(), attributed.mapped().attempts_);
    }
}

std::vector<crash_candidate>
table_core::crash_candidates(const base::upstream_name& engine,
                             const std::set<base::attempt_id>& attempts) {
    // Cancelled attempts count until the engine confirms the cancel: callers
    // that retry often disconnect before the crash is detected.
    std::vector<crash_candidate> all =
        cancels_.drop_crashed_engine(engine, attempts);
    for (const auto& [unused, r] : requests_) {
        const attempt_state& attempt = r.attempt_;
        if (attempts.contains(attempt.id_) &&
            contains(attempt.holds_, engine) && runs_at(r, engine)) {
            all.push_back({r.request_.fingerprint_, attempt.suspect_});
        }
    }
    return all;
}

void table_core::attribute_crash(const base::upstream_name& engine,
                                 const std::set<base::attempt_id>& attempts) {
    const std::vector<crash_mark> marks =
        quarantine_.attribute_crash(crash_candidates(engine, attempts), now_);
    std::vector<base::request_id> affected;
    for (auto& [id, r] : requests_) {
        const bool held = attempts.contains(r.attempt_.id_) &&
                          contains(r.attempt_.holds_, engine);
        const bool awaited = r.stage_ == stage::recovering &&
                             r.lost_engine_ == engine &&
                             attempts.contains(r.lost_attempt_);
        if (held || awaited) {
            affected.push_back(id);
        }
        if (held) {
            release(r, engine);
        }
    }
    out_.emplace_back(log_decision{{}, {}, "crash", engine.value_});
    for (const crash_mark& mark : marks) {
        out_.emplace_back(publish_crash_mark{mark.fingerprint_, mark.crashes_,
                                             mark.remaining_});
        if (quarantine_.status_of(mark.fingerprint_, now_) ==
            crash_status::quarantined) {
            refuse_duplicates(mark.fingerprint_);
        }
    }
    for (const base::request_id id : affected) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            handle_attempt_crash(found->second, engine);
        }
    }
}

void table_core::handle_attempt_crash(request_state& r,
                                      const base::upstream_name& engine) {
    attempt_state& attempt = r.attempt_;
    const bool decode = engine == attempt.decode_;
    switch (r.stage_) {
    case stage::recovering:
        place(r, 0);
        return;
    case stage::opening:
    case stage::decoding:
        if (decode) {
            // Closes the stream; a new engine instance only refuses the
            // attempt.
            out_.emplace_back(cancel_attempts{engine, {attempt.id_}});
            attempt.decode_crashed_ = true;
            enter(r, stage::closing, settings_.close_timeout_);
        }
        break;
    case stage::prefilling:
    case stage::binding:
        notify_owner(r,
                     placement::engine_lost{attempt.id_, engine,
                                            placement::loss_reason::crashed});
        rerun(r);
        return;
    case stage::transferring:
    case stage::resuming:
        if (decode) {
            end_attempt(r, placement::release_reason::failed);
            rerun(r);
            return;
        }
        break;
    default:
        break;
    }
    // A prefill result that the engine held was lost in the crash.
    attempt.result_expires_ = now_;
}

void table_core::refuse_duplicates(std::uint64_t fingerprint) {
    for (const base::request_id id : request_ids()) {
        request_state& r = requests_.at(id);
        if (r.request_.fingerprint_ == fingerprint) {
            refuse_request(r, base::refusal_code::quarantined, true);
        }
    }
}

} // namespace pimentoferry::requests::internal
