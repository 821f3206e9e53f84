#include "pimentoferry/requests/fuzz/oracle.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>

namespace pimentoferry::requests::fuzz {

namespace {

constexpr std::chrono::minutes mark_time{10};
// An entry with an open call learns of a crash within this time.
constexpr base::milliseconds news_time{200};

void require(bool holds, const std::string& promise) {
    if (!holds) {
        throw violation{promise};
    }
}

} // namespace

std::uint32_t answer_length(const body& asked, std::uint64_t run) {
    return 3 + base::hash_combine(asked.fingerprint_, run) % 10;
}

void oracle::arrived_at(base::instance_id entry,
                        base::request_id request,
                        const body& content,
                        base::time_point now) {
    requests_[request].body_ = content;
    entries_[entry].arrivals_.push_back(now);
}

void oracle::end(base::request_id id, outcome result) {
    asked& r = requests_.at(id);
    require(r.outcome_ == outcome::none, "a request has two outcomes");
    r.outcome_ = result;
}

void oracle::cut_off(base::request_id request) {
    end(request, outcome::cut_off);
}

void oracle::relayed(base::request_id request, const token& t) {
    asked& r = requests_.at(request);
    require(r.outcome_ == outcome::none, "a token follows the outcome");
    require(t.fingerprint_ == r.body_.fingerprint_, "a foreign token");
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

bool oracle::marked(const knowledge& k,
                    std::uint64_t fingerprint,
                    base::time_point now) const {
    const auto found = k.marked_.find(fingerprint);
    return found != k.marked_.end() && now < found->second;
}

void oracle::refused(const refuse& r) {
    const asked& known = requests_.at(r.request_);
    require(r.refusal_.ran_ != base::ran_state::not_run || !known.sent_,
            "not_run is said of a request that an engine received");
    end(r.request_, outcome::refused);
}

void oracle::started(knowledge& k,
                     base::attempt_id attempt,
                     base::request_id request,
                     bool from_prompt,
                     const std::vector<memory_hold>& after,
                     base::time_point now) {
    asked& r = requests_.at(request);
    if (r.started_.insert(attempt).second && r.started_.size() > 1) {
        ++k.rerun_starts_;
    }
    require(r.started_.size() <= 3, "a request is re-run more than twice");
    if (!from_prompt) {
        return;
    }
    for (const base::attempt_id earlier : r.started_) {
        const auto crash = unjudged_.find(earlier);
        require(crash == unjudged_.end() || now >= crash->second + news_time,
                "a request runs again before the crash is judged");
    }
    const std::uint64_t fingerprint = r.body_.fingerprint_;
    require(k.counted_[fingerprint] < 2,
            "a request runs after it crashed two engines");
    if (!marked(k, fingerprint, now)) {
        k.started_unmarked_.insert(attempt);
        return;
    }
    require(k.declared_.contains(attempt),
            "a marked request runs without being declared");
    for (const memory_hold& held : after) {
        require(held.cancelling_ || held.attempt_ == attempt ||
                    fingerprint_of(held.attempt_) != fingerprint,
                "two copies of a suspect run at once");
    }
}

void oracle::crash_known(base::instance_id entry,
                         const base::upstream_name& engine,
                         std::optional<base::attempt_id> culprit,
                         const std::vector<memory_hold>& memory,
                         const std::set<base::attempt_id>& running) {
    crash_notice& notice = entries_[entry].notices_[engine];
    if (culprit && culprit->instance_ == entry) {
        notice.culprits_.insert(*culprit);
    }
    notice.running_.insert(running.begin(), running.end());
    std::ranges::copy_if(memory, std::back_inserter(notice.ran_),
                         [&](const memory_hold& held) {
                             return held.engine_ == engine &&
                                    received_.contains({held.attempt_, engine});
                         });
}

// A judgement is a log line with the engine, followed by the marks it set.
void oracle::judge_crashes(knowledge& k,
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
        const auto notice =
            k.notices_.extract(base::upstream_name{line->reason_});
        require(!notice.empty(), "a crash that nobody told of");
        judge_crash(k, notice.mapped(), marks, now);
        for (const publish_crash_mark& mark : marks) {
            k.marked_[mark.fingerprint_] = now + mark.remaining_ + mark_time;
        }
    }
}

void oracle::judge_crash(knowledge& k,
                         const crash_notice& notice,
                         const std::vector<publish_crash_mark>& marks,
                         base::time_point now) {
    // A cancelled attempt may still run there or not, so it may explain a
    // blame but never excludes one.
    std::set<std::uint64_t> present;
    std::set<std::uint64_t> suspects;
    std::set<std::uint64_t> certain_suspects;
    std::set<std::uint64_t> declared;
    bool declared_runs = false;
    for (const memory_hold& held : notice.ran_) {
        const std::uint64_t fingerprint = fingerprint_of(held.attempt_);
        present.insert(fingerprint);
        if (!marked(k, fingerprint, now)) {
            continue;
        }
        suspects.insert(fingerprint);
        const bool runs =
            !held.cancelling_ && notice.running_.contains(held.attempt_);
        if (runs) {
            certain_suspects.insert(fingerprint);
        }
        if (k.declared_.contains(held.attempt_)) {
            declared.insert(fingerprint);
            declared_runs = declared_runs || runs;
        }
    }
    for (const publish_crash_mark& mark : marks) {
        const std::uint64_t who = mark.fingerprint_;
        const bool suspect = suspects.contains(who);
        require(present.contains(who), "blamed without having run there");
        require(mark.crashes_ < 2 || suspect, "quarantined by one crash");
        require(certain_suspects.empty() || suspect, "blamed beside a suspect");
        require(!declared_runs || declared.contains(who),
                "blamed beside a declared suspect");
    }
    for (const base::attempt_id culprit : notice.culprits_) {
        const std::uint64_t who = fingerprint_of(culprit);
        unjudged_.erase(culprit);
        const bool alone = suspects.empty() || suspects == std::set{who};
        ++k.crashes_[who];
        k.counted_[who] += alone ? 1 : 0;
        const bool unmarked = k.started_unmarked_.contains(culprit);
        k.excused_[who] += !alone || unmarked ? 1 : 0;
        require(k.crashes_[who] <= k.excused_[who] + 1,
                "a suspect crashed more than one engine");
    }
}

void oracle::acted(base::instance_id entry,
                   const event& cause,
                   const std::vector<action>& actions,
                   const std::vector<memory_hold>& after,
                   base::time_point now) {
    knowledge& k = entries_[entry];
    judge_crashes(k, actions, now);
    const auto* heard = std::get_if<crash_mark_received>(&cause);
    if (heard != nullptr && !marked(k, heard->fingerprint_, now)) {
        k.marked_[heard->fingerprint_] = now + heard->remaining_;
    }
    const base::overloaded observer{
        [&](const send_to_owner& a) {
            const auto* p =
                std::get_if<placement::placement_request>(&a.message_);
            if (p != nullptr) {
                attempts_[p->attempt_] = p->request_;
                if (p->suspect_) {
                    k.declared_.insert(p->attempt_);
                }
            }
        },
        [&](const start_prefill& a) {
            attempts_[a.attempt_] = a.request_;
            started(k, a.attempt_, a.request_, true, after, now);
        },
        [&](const start_import& a) {
            started(k, a.attempt_, a.request_, false, after, now);
        },
        [&](const start_decode& a) {
            attempts_[a.attempt_] = a.request_;
            started(k, a.attempt_, a.request_, a.with_prompt_, after, now);
        },
        [&](const refuse& a) { refused(a); },
        [&](const complete_response& a) {
            const asked& r = requests_.at(a.request_);
            require(!r.received_.empty() &&
                        r.received_.size() ==
                            answer_length(r.body_, r.received_.front().run_),
                    "finish without the whole answer");
            end(a.request_, outcome::finished);
            k.marked_.erase(r.body_.fingerprint_);
            k.counted_.erase(r.body_.fingerprint_);
        },
        [](const auto&) {},
    };
    for (const action& each : actions) {
        std::visit(observer, each);
    }
}

void oracle::retried(base::instance_id entry,
                     std::uint64_t reruns,
                     const retry_limits& limits,
                     base::time_point now) {
    knowledge& k = entries_[entry];
    require(k.rerun_starts_ <= reruns, "a re-run is not counted");
    const auto window = [&](std::deque<base::time_point>& times,
                            base::milliseconds length) {
        return static_cast<std::uint64_t>(std::ranges::count_if(
            times, [&](base::time_point t) { return t > now - length; }));
    };
    if (k.retries_.size() == reruns) {
        return;
    }
    // `reruns` is a total, and each new one is noted with its time.
    while (k.retries_.size() < reruns) {
        k.retries_.push_back(now);
    }
    const std::uint64_t requests =
        window(k.arrivals_, limits.window_ + limits.window_ / 10);
    require(window(k.retries_, limits.window_) <=
                requests * limits.percent_of_requests_ / 100 + limits.constant_,
            "the retry budget is exceeded");
}

} // namespace pimentoferry::requests::fuzz
