// Placement of a request: messages to and from the cell owner, and autonomous
// placement without it.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/requests/table_core.hpp"

#include <algorithm>
#include <chrono>

namespace pimentoferry::requests::internal {

namespace {

// A late grant follows its withdrawal within seconds; an instance accepts 52
// requests/s, so this covers 19 s.
constexpr std::size_t max_withdrawn_attempts = 1'024;

placement::announced_stage announced_stage_of(stage s) {
    switch (s) {
    case stage::binding:
    case stage::transferring:
        return placement::announced_stage::transferring;
    case stage::opening:
    case stage::decoding:
    case stage::closing:
    case stage::resuming:
        return placement::announced_stage::decoding;
    default:
        return placement::announced_stage::prefilling;
    }
}

} // namespace

base::milliseconds table_core::remaining_budget(const request_state& r) const {
    // The first-token deadline no longer applies once a token was relayed.
    if (r.position_ > 0) {
        return std::max(
            std::chrono::ceil<base::milliseconds>(r.request_deadline_ - now_),
            base::milliseconds{0});
    }
    const auto left =
        r.request_.first_token_budget_ -
        (now_ - (r.request_deadline_ - settings_.request_timeout_));
    return std::max(std::chrono::ceil<base::milliseconds>(left),
                    base::milliseconds{0});
}

bool table_core::duplicate_may_run(const request_state& r) const {
    if (cancels_.may_run(r.request_.fingerprint_)) {
        return true;
    }
    return std::ranges::any_of(requests_, [&](const auto& entry) {
        const request_state& other = entry.second;
        return other.request_.request_ != r.request_.request_ &&
               other.request_.fingerprint_ == r.request_.fingerprint_ &&
               other.attempt_.id_ != base::attempt_id{};
    });
}

void table_core::place(request_state& r, std::uint8_t rank) {
    const crash_status status = status_of(r);
    if (status == crash_status::quarantined) {
        refuse_request(r, base::refusal_code::quarantined, true);
        return;
    }
    // Other requests with the fingerprint of a suspect, and earlier attempts
    // whose cancel is not confirmed, could each crash another engine.
    if (status == crash_status::suspect && duplicate_may_run(r)) {
        if (r.reruns_ > 0 && remaining_budget(r).count() > 0) {
            await_crash_report(r);
            return;
        }
        refuse_request(r, base::refusal_code::overloaded, true);
        return;
    }
    attempt_state& attempt = r.attempt_;
    attempt = {};
    attempt.id_ = {settings_.instance_, next_sequence_++};
    attempt.rank_ = rank;
    attempt.suspect_ = status == crash_status::suspect;
    attempts_[attempt.id_] = r.request_.request_;
    enter(r, stage::placing, settings_.placement_timeout_);
    notify_owner(r, placement::placement_request{
                        attempt.id_,
                        r.request_.request_,
                        r.request_.cell_,
                        r.request_.caller_,
                        settings_.failure_domain_,
                        r.request_.prompt_tokens_,
                        r.request_.max_output_tokens_,
                        r.request_.prefix_hashes_,
                        remaining_budget(r),
                        r.request_.priority_,
                        attempt.suspect_,
                        r.reruns_ > 0,
                    });
}

void table_core::place_next(request_state& r) {
    const auto next = static_cast<std::uint8_t>(r.attempt_.rank_ + 1);
    withdraw_placement(r);
    if (next < settings_.max_owners_) {
        log(r, "next_owner", "the owner did not reply");
        place(r, next);
    } else {
        place_autonomously(r);
    }
}

// A repeated placement request is a new attempt, so that the grants of two
// owners cannot both count. The release is sent even though the owner did not
// reply, because it may only be slow.
void table_core::withdraw_placement(request_state& r) {
    const base::attempt_id attempt = r.attempt_.id_;
    notify_owner(r, placement::placement_release{
                        attempt, placement::release_reason::cancelled, 0});
    withdrawn_[attempt] = r.request_.cell_;
    if (withdrawn_.size() > max_withdrawn_attempts) {
        withdrawn_.erase(withdrawn_.begin());
    }
    discard_attempt(r);
}

// The release goes to the owner that sent the grant: after a change of owners,
// the rank of that owner belongs to another entry.
void table_core::release_late_grant(base::attempt_id attempt,
                                    base::instance_id owner) {
    const auto found = withdrawn_.find(attempt);
    if (found == withdrawn_.end()) {
        return;
    }
    out_.emplace_back(
        send_to_owner{found->second,
                      placement::placement_release{
                          attempt, placement::release_reason::cancelled, 0},
                      0, owner});
    withdrawn_.erase(found);
}

engine_load table_core::local_engine_load() const {
    engine_load load;
    for (const memory_hold& held : memory_holds()) {
        ++load[held.engine_];
    }
    return load;
}

void table_core::place_autonomously(request_state& r) {
    // Only the owner keeps suspects on separate engines.
    if (status_of(r) != crash_status::clear) {
        refuse_request(r, base::refusal_code::no_upstream, true);
        return;
    }
    const engine_load load = local_engine_load();
    const base::cell_name& cell = r.request_.cell_;
    const auto prefill = picker_.pick(cell, engine_role::prefill, {}, load);
    const auto decode = picker_.pick(cell, engine_role::decode, {}, load);
    if (!prefill || !decode) {
        refuse_request(r, base::refusal_code::no_upstream, true);
        return;
    }
    attempt_state& attempt = r.attempt_;
    attempt = {};
    attempt.id_ = {settings_.instance_, next_sequence_++};
    attempt.autonomous_ = true;
    attempt.prefill_ = *prefill;
    attempt.decode_ = *decode;
    attempts_[attempt.id_] = r.request_.request_;
    ++counts_.autonomous_;
    log(r, "autonomous", "no owner replied");
    // The owner accounts for the attempt once it is reachable again.
    announce(r);
    start(r);
}

void table_core::announce(request_state& r) {
    const attempt_state& attempt = r.attempt_;
    notify_owner(r, placement::attempt_announcement{
                        attempt.id_,
                        r.request_.cell_,
                        r.request_.caller_,
                        attempt.prefill_,
                        attempt.decode_,
                        announced_stage_of(r.stage_),
                        attempt.prompt_tokens_ > 0 ? attempt.prompt_tokens_
                                                   : r.request_.prompt_tokens_,
                        r.request_.max_output_tokens_,
                        attempt.suspect_,
                    });
}

void table_core::on(const engines_updated& e) {
    picker_.update(e);
}

void table_core::on(const owner_changed& e) {
    for (const base::request_id id : request_ids()) {
        const auto found = requests_.find(id);
        if (found == requests_.end() ||
            found->second.request_.cell_ != e.cell_) {
            continue;
        }
        request_state& r = found->second;
        switch (r.stage_) {
        case stage::placing:
        case stage::queued:
            withdraw_placement(r);
            place(r, 0);
            break;
        case stage::recovering:
            break;
        case stage::binding:
            r.attempt_.rank_ = 0;
            announce(r);
            notify_owner(r, placement::prefill_finished{
                                r.attempt_.id_, r.attempt_.prompt_tokens_, 0});
            break;
        default:
            r.attempt_.rank_ = 0;
            announce(r);
            break;
        }
    }
}

void table_core::on(const owner_reply_received& e) {
    std::visit(base::overloaded{[&](const placement::placement_grant& m) {
                                    on_owner_reply(m, e.sender_);
                                },
                                [&](const auto& m) { on_owner_reply(m); }},
               e.reply_);
}

void table_core::on_owner_reply(const placement::placement_grant& m,
                                base::instance_id owner) {
    request_state* r = find(m.attempt_, {stage::placing, stage::queued});
    if (r == nullptr) {
        release_late_grant(m.attempt_, owner);
        return;
    }
    const crash_status status = status_of(*r);
    const bool newly_suspect =
        status == crash_status::suspect && !r->attempt_.suspect_;
    if (newly_suspect || status == crash_status::quarantined) {
        // The request was marked after the placement request was sent, so the
        // owner may have placed it beside another suspect.
        const std::uint8_t rank = r->attempt_.rank_;
        withdraw_placement(*r);
        place(*r, rank);
        return;
    }
    r->attempt_.prefill_ = m.prefill_;
    r->attempt_.decode_ = m.decode_;
    r->attempt_.prefill_at_decode_ = m.prefill_at_decode_;
    start(*r);
}

void table_core::on_owner_reply(const placement::placement_refusal& m) {
    request_state* r =
        find(m.attempt_, {stage::placing, stage::queued, stage::binding});
    if (r == nullptr) {
        return;
    }
    if (r->stage_ == stage::binding) {
        log(*r, "retry", "no decode slot for the prefill result");
        end_attempt(*r, placement::release_reason::failed);
        rerun(*r);
        return;
    }
    if (m.code_ == base::refusal_code::not_owner) {
        place_next(*r);
        return;
    }
    std::optional<base::milliseconds> retry_after;
    if (m.retry_after_.count() > 0) {
        retry_after = m.retry_after_;
    }
    discard_attempt(*r);
    refuse_request(*r, m.code_, retry_after);
}

void table_core::on_owner_reply(const placement::decode_bound& m) {
    request_state* r = find(m.attempt_, {stage::binding});
    if (r == nullptr) {
        return;
    }
    // A late reply to an earlier message names an engine that has failed since.
    if (std::ranges::find(r->attempt_.failed_decodes_, m.decode_) !=
        r->attempt_.failed_decodes_.end()) {
        ++counts_.dropped_events_;
        return;
    }
    start_transfer(*r, m.decode_);
}

void table_core::on_owner_reply(const placement::placement_queued& m) {
    request_state* r = find(m.attempt_, {stage::placing});
    if (r != nullptr) {
        enter(*r, stage::queued,
              remaining_budget(*r) + settings_.queue_margin_);
    }
}

} // namespace pimentoferry::requests::internal
