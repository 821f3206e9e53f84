#include "pimentoferry/requests/fuzz/oracle.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace pimentoferry::requests::fuzz {

namespace {

constexpr std::chrono::minutes mark_lifetime{10};
// A crash is reported within this time to an entry with an open call.
constexpr base::milliseconds crash_report_delay{200};

void require(bool holds, const std::string& invariant) {
    if (!holds) {
        throw violation{invariant};
    }
}

} // namespace

std::uint32_t output_length(const body& content, std::uint64_t run) {
    return 3 + base::hash_combine(content.fingerprint_, run) % 10;
}

void oracle::record_arrival(base::instance_id entry,
                            base::request_id request,
                            const body& content,
                            base::time_point now) {
    requests_[request].body_ = content;
    entries_[entry].arrivals_.push_back(now);
}

void oracle::set_outcome(base::request_id id, outcome result) {
    request_record& r = requests_.at(id);
    require(r.outcome_ == outcome::none, "a request has two outcomes");
    r.outcome_ = result;
}

void oracle::record_connection_loss(base::request_id request) {
    set_outcome(request, outcome::connection_lost);
}

void oracle::record_token(base::request_id request, const token& t) {
    request_record& r = requests_.at(request);
    require(r.outcome_ == outcome::none, "a token follows the outcome");
    require(t.fingerprint_ == r.body_.fingerprint_,
            "a token of another request is relayed");
    require(t.position_ == r.received_.size(),
            "a repeated or missing token at position " +
                std::to_string(t.position_) + ", caller has " +
                std::to_string(r.received_.size()));
    require(r.received_.empty() || r.received_.front().run_ == t.run_,
            "tokens of two runs are mixed");
    r.received_.push_back(t);
}

const base::request_id* oracle::owner_of(base::attempt_id attempt) const {
    const auto found = attempts_.find(attempt);
    return found == attempts_.end() ? nullptr : &found->second;
}

std::uint64_t oracle::fingerprint_of(base::attempt_id attempt) const {
    return requests_.at(attempts_.at(attempt)).body_.fingerprint_;
}

bool oracle::marked(const entry_view& view,
                    std::uint64_t fingerprint,
                    base::time_point now) const {
    const auto found = view.marked_until_.find(fingerprint);
    return found != view.marked_until_.end() && now < found->second;
}

void oracle::request_refused(const refuse& r) {
    const request_record& record = requests_.at(r.request_);
    require(r.refusal_.ran_ != base::ran_state::not_run || !record.sent_,
            "a request that an engine received is reported as not_run");
    set_outcome(r.request_, outcome::refused);
}

void oracle::attempt_started(entry_view& view,
                             base::attempt_id attempt,
                             base::request_id request,
                             bool from_prompt,
                             const std::vector<memory_hold>& after,
                             base::time_point now) {
    request_record& r = requests_.at(request);
    if (r.started_.insert(attempt).second && r.started_.size() > 1) {
        ++view.rerun_starts_;
    }
    require(r.started_.size() <= 3, "a request is re-run more than twice");
    if (!from_prompt) {
        return;
    }
    for (const base::attempt_id earlier : r.started_) {
        const auto crash = unattributed_crashes_.find(earlier);
        require(crash == unattributed_crashes_.end() ||
                    now >= crash->second + crash_report_delay,
                "a request runs again before its crash is attributed");
    }
    const std::uint64_t fingerprint = r.body_.fingerprint_;
    require(view.sole_suspect_crashes_[fingerprint] < 2,
            "a request runs after it crashed two engines");
    if (!marked(view, fingerprint, now)) {
        view.started_unmarked_.insert(attempt);
        return;
    }
    require(view.declared_suspects_.contains(attempt),
            "a marked request runs without being declared");
    for (const memory_hold& held : after) {
        require(held.cancelling_ || held.attempt_ == attempt ||
                    fingerprint_of(held.attempt_) != fingerprint,
                "two attempts of a suspect run concurrently");
    }
}

void oracle::record_crash_report(
    base::instance_id entry,
    const base::upstream_name& engine,
    std::optional<base::attempt_id> crashing_attempt,
    const std::vector<memory_hold>& memory,
    const std::set<base::attempt_id>& running) {
    crash_report& report = entries_[entry].unattributed_reports_[engine];
    if (crashing_attempt && crashing_attempt->instance_ == entry) {
        report.crashing_attempts_.insert(*crashing_attempt);
    }
    report.running_.insert(running.begin(), running.end());
    std::ranges::copy_if(memory, std::back_inserter(report.memory_),
                         [&](const memory_hold& held) {
                             return held.engine_ == engine &&
                                    received_calls_.contains(
                                        {held.attempt_, engine});
                         });
}

// A crash is attributed by a log line that names the engine, followed by the
// crash marks that were set.
void oracle::check_attributions(entry_view& view,
                                const std::vector<action>& actions,
                                base::time_point now) {
    for (std::size_t i = 0; i < actions.size(); ++i) {
        const auto* line = std::get_if<log_decision>(&actions[i]);
        if (line == nullptr || line->decision_ != "crash") {
            continue;
        }
        std::vector<publish_crash_mark> marks;
        for (std::size_t j = i + 1; j < actions.size(); ++j) {
            const auto* next = std::get_if<log_decision>(&actions[j]);
            if (next != nullptr && next->decision_ == "crash") {
                break;
            }
            if (const auto* mark =
                    std::get_if<publish_crash_mark>(&actions[j])) {
                marks.push_back(*mark);
            }
        }
        const auto report = view.unattributed_reports_.extract(
            base::upstream_name{line->reason_});
        require(!report.empty(), "a crash is attributed that was not reported");
        check_attribution(view, report.mapped(), marks, now);
        for (const publish_crash_mark& mark : marks) {
            view.marked_until_[mark.fingerprint_] =
                now + mark.remaining_ + mark_lifetime;
        }
    }
}

void oracle::check_attribution(entry_view& view,
                               const crash_report& report,
                               const std::vector<publish_crash_mark>& marks,
                               base::time_point now) {
    // A cancelled attempt may or may not still run at the engine. A crash may
    // therefore be attributed to it, but its presence does not exclude the
    // attribution to another attempt.
    std::set<std::uint64_t> present;
    std::set<std::uint64_t> suspects;
    std::set<std::uint64_t> certain_suspects;
    std::set<std::uint64_t> declared;
    bool declared_runs = false;
    for (const memory_hold& held : report.memory_) {
        const std::uint64_t fingerprint = fingerprint_of(held.attempt_);
        present.insert(fingerprint);
        if (!marked(view, fingerprint, now)) {
            continue;
        }
        suspects.insert(fingerprint);
        const bool runs =
            !held.cancelling_ && report.running_.contains(held.attempt_);
        if (runs) {
            certain_suspects.insert(fingerprint);
        }
        if (view.declared_suspects_.contains(held.attempt_)) {
            declared.insert(fingerprint);
            declared_runs = declared_runs || runs;
        }
    }
    for (const publish_crash_mark& mark : marks) {
        const std::uint64_t fingerprint = mark.fingerprint_;
        const bool suspect = suspects.contains(fingerprint);
        require(present.contains(fingerprint),
                "a crash is attributed to a request without an attempt there");
        require(mark.crashes_ < 2 || suspect,
                "a request is quarantined after one crash");
        require(certain_suspects.empty() || suspect,
                "a crash is attributed to a request beside a suspect");
        require(!declared_runs || declared.contains(fingerprint),
                "a crash is attributed to a request beside a declared suspect");
    }
    for (const base::attempt_id crashing_attempt : report.crashing_attempts_) {
        const std::uint64_t fingerprint = fingerprint_of(crashing_attempt);
        unattributed_crashes_.erase(crashing_attempt);
        const bool sole_suspect =
            suspects.empty() || suspects == std::set{fingerprint};
        ++view.crashes_[fingerprint];
        view.sole_suspect_crashes_[fingerprint] += sole_suspect ? 1 : 0;
        const bool unmarked = view.started_unmarked_.contains(crashing_attempt);
        view.unavoidable_crashes_[fingerprint] +=
            !sole_suspect || unmarked ? 1 : 0;
        require(view.crashes_[fingerprint] <=
                    view.unavoidable_crashes_[fingerprint] + 1,
                "a suspect crashed more than one engine");
    }
}

void oracle::check_actions(base::instance_id entry,
                           const event& cause,
                           const std::vector<action>& actions,
                           const std::vector<memory_hold>& after,
                           base::time_point now) {
    entry_view& view = entries_[entry];
    check_attributions(view, actions, now);
    const auto* received_mark = std::get_if<crash_mark_received>(&cause);
    if (received_mark != nullptr &&
        !marked(view, received_mark->fingerprint_, now)) {
        view.marked_until_[received_mark->fingerprint_] =
            now + received_mark->remaining_;
    }
    const base::overloaded observer{
        [&](const send_to_owner& a) {
            const auto* request =
                std::get_if<placement::placement_request>(&a.message_);
            if (request != nullptr) {
                attempts_[request->attempt_] = request->request_;
                if (request->suspect_) {
                    view.declared_suspects_.insert(request->attempt_);
                }
            }
        },
        [&](const start_prefill& a) {
            attempts_[a.attempt_] = a.request_;
            attempt_started(view, a.attempt_, a.request_, true, after, now);
        },
        [&](const start_import& a) {
            attempt_started(view, a.attempt_, a.request_, false, after, now);
        },
        [&](const start_decode& a) {
            attempts_[a.attempt_] = a.request_;
            attempt_started(view, a.attempt_, a.request_, a.with_prompt_, after,
                            now);
        },
        [&](const refuse& a) { request_refused(a); },
        [&](const complete_response& a) {
            const request_record& r = requests_.at(a.request_);
            require(
                !r.received_.empty() &&
                    r.received_.size() ==
                        output_length(r.body_, r.received_.front().run_),
                "a response is completed before its whole output was relayed");
            set_outcome(a.request_, outcome::completed);
            view.marked_until_.erase(r.body_.fingerprint_);
            view.sole_suspect_crashes_.erase(r.body_.fingerprint_);
        },
        [](const auto&) {},
    };
    for (const action& each : actions) {
        std::visit(observer, each);
    }
}

void oracle::check_retry_budget(base::instance_id entry,
                                std::uint64_t reruns,
                                const retry_limits& limits,
                                base::time_point now) {
    entry_view& view = entries_[entry];
    require(view.rerun_starts_ <= reruns, "a re-run is not counted");
    const auto window = [&](std::deque<base::time_point>& times,
                            base::milliseconds length) {
        return static_cast<std::uint64_t>(std::ranges::count_if(
            times, [&](base::time_point t) { return t > now - length; }));
    };
    if (view.retries_.size() == reruns) {
        return;
    }
    // `reruns` is a running total; the time of each new re-run is recorded.
    while (view.retries_.size() < reruns) {
        view.retries_.push_back(now);
    }
    const std::uint64_t requests =
        window(view.arrivals_, limits.window_ + limits.window_ / 10);
    require(window(view.retries_, limits.window_) <=
                requests * limits.percent_of_requests_ / 100 + limits.constant_,
            "the retry budget is exceeded");
}

} // namespace pimentoferry::requests::fuzz
