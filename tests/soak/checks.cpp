#include "tests/soak/checks.hpp"

#include <algorithm>
#include <iterator>
#include <set>

namespace pimentoferry::soak {

namespace {

constexpr int status_ok = 200;
// Statuses that state that the request has not run and never will.
const std::set<int> not_run_statuses{408, 421, 429, 503};
/// Events of a complete stream; the default of the stand-in.
constexpr std::size_t stream_events = 20;
// The platform requires a quarter of the calls to be served after a recovery.
// No fault is active by then, so nearly all are expected to be.
constexpr double min_served_ratio = 0.9;
// With fewer calls the served ratio is not meaningful.
constexpr std::size_t min_calls = 20;

bool may_run_more_than_once(call_kind kind) {
    return kind == call_kind::read || kind == call_kind::talk;
}

bool is_stream(call_kind kind) {
    return kind == call_kind::chat || kind == call_kind::talk;
}

std::string describe(const call_record& record) {
    return record.id_ + " at port " + std::to_string(record.gateway_) +
           ", status " + std::to_string(record.status_);
}

/// Whether the events are numbered in order, from the one after `before` on.
bool in_order(const std::vector<std::uint64_t>& events, std::uint64_t before) {
    std::uint64_t expected = before;
    return std::ranges::all_of(
        events, [&expected](auto event) { return event == ++expected; });
}

void check_answer(const call_record& record,
                  std::size_t runs,
                  std::vector<violation>& violations) {
    if (!may_run_more_than_once(record.kind_) && runs > 1) {
        violations.push_back("ran " + std::to_string(runs) +
                             " times: " + describe(record));
    }
    const bool reported_not_run = not_run_statuses.contains(record.status_);
    if (!may_run_more_than_once(record.kind_) && reported_not_run && runs > 0) {
        violations.push_back("ran although refused: " + describe(record));
    }
    if (record.from_other_request_) {
        violations.push_back("answer of another request: " + describe(record));
    }
    if (record.status_ == status_ok && record.complete_ && runs == 0) {
        violations.push_back("answered without a run: " + describe(record));
    }
    if (!is_stream(record.kind_) || record.status_ != status_ok) {
        return;
    }
    if (!in_order(record.events_, record.events_before_)) {
        violations.push_back("events missing or twice: " + describe(record));
    }
    if (record.complete_ &&
        record.events_before_ + record.events_.size() != stream_events) {
        violations.push_back("ended as complete after " +
                             std::to_string(record.events_.size()) +
                             " events: " + describe(record));
    }
}

void check_recovery(const std::vector<call_record>& records,
                    base::time_point recovery_deadline,
                    std::vector<violation>& violations) {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& record : records) {
        if (record.sent_ >= recovery_deadline) {
            ++sent;
            served += record.status_ == status_ok && record.complete_ ? 1 : 0;
        }
    }
    if (sent < min_calls || static_cast<double>(served) <
                                min_served_ratio * static_cast<double>(sent)) {
        violations.push_back("not recovered: " + std::to_string(served) +
                             " of " + std::to_string(sent) + " calls served");
    }
}

// The platform's drain time.
constexpr base::milliseconds drain_time{2000};
// The retry budget that the settings of the fleet state.
constexpr std::chrono::seconds budget_window{10};
constexpr double budget_ratio = 0.2;
constexpr double budget_constant = 58;

// The platform's bound on work that goes on after its request has moved.
constexpr base::milliseconds longest_overlap{400};
// The platform excuses what follows a disturbance for this long.
constexpr base::milliseconds stable_window{3000};

base::time_point to_steady(std::chrono::system_clock::time_point at) {
    return base::clock::now() +
           std::chrono::duration_cast<base::clock::duration>(
               at - std::chrono::system_clock::now());
}

using process_tests::replica_arrival;

bool is_undisturbed(const disturbances& disturbed,
                    std::uint16_t gateway,
                    base::time_point since) {
    const auto [first, last] = disturbed.equal_range(gateway);
    return std::none_of(first, last, [since](const auto& each) {
        return each.second >= since;
    });
}

void check_leaving(const std::vector<call_record>& records,
                   const std::vector<replica_arrival>& arrivals,
                   const disturbances& disturbed,
                   std::vector<violation>& violations) {
    // When a gateway first passed on that a replica leaves.
    std::map<std::pair<std::uint16_t, std::string>, base::time_point> told;
    std::map<std::string, const call_record*> by_id;
    for (const auto& record : records) {
        by_id.emplace(record.id_, &record);
        if (!record.leaving_replica_.empty()) {
            const auto at =
                told.try_emplace({record.gateway_, record.leaving_replica_},
                                 record.head_received_);
            at.first->second =
                std::min(at.first->second, record.head_received_);
        }
    }
    for (const auto& arrival : arrivals) {
        const auto record = by_id.find(arrival.request_);
        if (record == by_id.end()) {
            continue;
        }
        const auto& sent = *record->second;
        const auto at = told.find({sent.gateway_, arrival.replica_});
        if (at != told.end() && sent.sent_ > at->second + drain_time &&
            is_undisturbed(disturbed, sent.gateway_, at->second)) {
            violations.push_back("reached " + arrival.replica_ +
                                 ", which leaves: " + describe(sent));
        }
    }
}

void check_budget(const std::vector<call_record>& records,
                  const std::vector<replica_arrival>& arrivals,
                  bool streams,
                  std::vector<violation>& violations) {
    std::set<std::string> ids;
    std::vector<base::time_point> sent;
    for (const auto& record : records) {
        if (is_stream(record.kind_) == streams) {
            ids.insert(record.id_);
            sent.push_back(record.sent_);
        }
    }
    std::ranges::sort(sent);
    auto repeats = process_tests::repeated_sends(arrivals);
    std::erase_if(repeats, [&ids](const replica_arrival& each) {
        return !ids.contains(each.request_);
    });
    const auto requests_before = [&sent](base::time_point end) {
        return std::ranges::lower_bound(sent, end) -
               std::ranges::lower_bound(sent, end - budget_window);
    };
    auto first = repeats.begin();
    for (auto last = repeats.begin(); last != repeats.end(); ++last) {
        first = std::find_if(first, last, [&](const replica_arrival& each) {
            return each.at_ + budget_window > last->at_;
        });
        const auto end = to_steady(last->at_);
        const auto requests = std::max(
            {requests_before(end), requests_before(end - budget_window),
             requests_before(end - budget_window / 2)});
        const auto count = last - first + 1;
        const double allowed =
            budget_ratio * static_cast<double>(requests) + budget_constant;
        if (static_cast<double>(count) > allowed) {
            violations.push_back(std::string{streams ? "streams" : "calls"} +
                                 " sent again " + std::to_string(count) +
                                 " times in 10 s for " +
                                 std::to_string(requests) + " requests");
            return;
        }
    }
}

} // namespace

std::vector<violation>
check_guarantees(const std::vector<call_record>& records,
                 const std::map<std::string, std::size_t>& runs,
                 base::time_point recovery_deadline) {
    std::vector<violation> violations;
    std::set<std::string> sent;
    for (const auto& record : records) {
        sent.insert(record.id_);
        const auto counted = runs.find(record.id_);
        check_answer(record, counted == runs.end() ? 0 : counted->second,
                     violations);
    }
    for (const auto& [id, count] : runs) {
        if (!sent.contains(id)) {
            violations.push_back("ran a request that no caller sent: " + id);
        }
    }
    check_recovery(records, recovery_deadline, violations);
    return violations;
}

std::vector<violation>
check_arrivals(const std::vector<call_record>& records,
               const std::vector<replica_arrival>& arrivals,
               const disturbances& disturbed) {
    std::vector<violation> violations;
    check_leaving(records, arrivals, disturbed, violations);
    check_budget(records, arrivals, false, violations);
    check_budget(records, arrivals, true, violations);
    return violations;
}

std::vector<violation> check_versions(
    const std::vector<call_record>& records,
    const std::function<std::string(const std::string&)>& version_of) {
    std::map<std::string, std::set<std::string>> versions;
    for (const auto& record : records) {
        const auto& stream =
            record.resumes_.empty() ? record.id_ : record.resumes_;
        std::ranges::transform(
            record.senders_,
            std::inserter(versions[stream], versions[stream].end()),
            version_of);
    }
    std::vector<violation> violations;
    for (const auto& [stream, held] : versions) {
        if (held.size() > 1) {
            violations.push_back("holds events of " +
                                 std::to_string(held.size()) +
                                 " software versions: " + stream);
        }
    }
    return violations;
}

std::vector<violation> check_moves(const std::vector<call_record>& records,
                                   const std::vector<replica_arrival>& arrivals,
                                   const std::vector<replica_arrival>& ends,
                                   const disturbances& disturbed,
                                   const harmed_replicas& harmed) {
    std::map<std::string, std::vector<replica_arrival>> runs;
    for (const auto& arrival : arrivals) {
        if (arrival.kind_ == "run") {
            runs[arrival.request_].push_back(arrival);
        }
    }
    std::vector<violation> violations;
    const auto check = [&](const call_record& record,
                           const replica_arrival& before,
                           const replica_arrival& next) {
        const auto moved = to_steady(next.at_);
        const bool goes_on =
            std::ranges::any_of(ends, [&](const replica_arrival& end) {
                return end.request_ == before.request_ &&
                       end.replica_ == before.replica_ &&
                       end.at_ > next.at_ + longest_overlap;
            });
        const auto [first, last] = harmed.equal_range(before.replica_);
        const bool reached = std::none_of(first, last, [&](const auto& each) {
            return each.second > moved - stable_window &&
                   each.second < moved + stable_window;
        });
        if (goes_on && reached && before.replica_ != next.replica_ &&
            is_undisturbed(disturbed, record.gateway_, record.sent_)) {
            violations.push_back("goes on at " + next.replica_ + " beside " +
                                 before.replica_ + ": " + describe(record));
        }
    };
    for (const auto& record : records) {
        const auto found = runs.find(record.id_);
        if (found == runs.end()) {
            continue;
        }
        std::ranges::sort(found->second, {}, &replica_arrival::at_);
        for (std::size_t i = 1; i < found->second.size(); ++i) {
            check(record, found->second[i - 1], found->second[i]);
        }
    }
    return violations;
}

} // namespace pimentoferry::soak
