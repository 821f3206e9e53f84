// The crash of an engine: who ran there, who is blamed, what follows for each.

#include "pimentoferry/requests/table_core.hpp"

#include <algorithm>

namespace pimentoferry::requests::internal {

std::vector<crash_witness>
table_core::witnesses(const base::upstream_name& engine) {
    // Cancelled attempts count until the engine confirms: callers that send
    // again often leave before the crash is known.
    std::vector<crash_witness> all = cancels_.engine_gone(engine);
    for (const auto& [unused, r] : requests_) {
        const auto& holds = r.attempt_.holds_;
        if (std::ranges::find(holds, engine) != holds.end()) {
            all.push_back({r.request_.fingerprint_, r.attempt_.suspect_});
        }
    }
    return all;
}

void table_core::on(const engine_crashed& e) {
    const std::vector<crash_mark> marks =
        quarantine_.engine_crashed(witnesses(e.engine_), now_);
    std::vector<base::request_id> hit;
    for (auto& [id, r] : requests_) {
        const auto& holds = r.attempt_.holds_;
        const bool held = std::ranges::find(holds, e.engine_) != holds.end();
        const bool awaited =
            r.stage_ == stage::recovering && r.lost_engine_ == e.engine_;
        if (held || awaited) {
            hit.push_back(id);
        }
        release(r, e.engine_);
    }
    for (const crash_mark& mark : marks) {
        out_.emplace_back(
            spread_mark{mark.fingerprint_, mark.crashes_, mark.remaining_});
        if (quarantine_.standing_of(mark.fingerprint_, now_) ==
            standing::quarantined) {
            refuse_copies(mark.fingerprint_);
        }
    }
    for (const base::request_id id : hit) {
        const auto found = requests_.find(id);
        if (found != requests_.end()) {
            crash_attempt(found->second, e.engine_);
        }
    }
}

void table_core::crash_attempt(request_state& r,
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
            // Closes the stream; a new instance only refuses the attempt.
            out_.emplace_back(cancel_attempts{engine, {attempt.id_}});
            attempt.decode_gone_ = true;
            enter(r, stage::closing, settings_.close_limit_);
        }
        break;
    case stage::prefilling:
    case stage::binding:
        tell_owner(r, placement::engine_lost{attempt.id_, engine,
                                             placement::loss_reason::crashed});
        run_again(r);
        return;
    case stage::transferring:
    case stage::resuming:
        if (decode) {
            end_attempt(r, placement::release_reason::failed);
            run_again(r);
            return;
        }
        break;
    default:
        break;
    }
    // The prefill result, if there was one, went with its engine.
    attempt.result_until_ = now_;
}

void table_core::refuse_copies(std::uint64_t fingerprint) {
    for (const base::request_id id : request_ids()) {
        request_state& r = requests_.at(id);
        if (r.request_.fingerprint_ == fingerprint) {
            refuse_request(r, base::refusal_code::quarantined, true);
        }
    }
}

} // namespace pimentoferry::requests::internal
