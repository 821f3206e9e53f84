#include "tests/soak/checks.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::soak {

namespace {

constexpr int status_ok = 200;
// Answers that say that the request has not run and never will.
const std::set<int> not_run_statuses{408, 421, 429, 503};
/// Events of a whole stream; the default of the stand-in.
constexpr std::size_t stream_events = 20;
// The platform asks for a quarter after a recovery; nothing is wrong by then,
// so nearly all is expected.
constexpr double recovered_part = 0.9;
// Fewer calls say little about a part.
constexpr std::size_t least_calls = 20;

bool may_repeat(call_kind kind) {
    return kind == call_kind::read || kind == call_kind::talk;
}

bool is_stream(call_kind kind) {
    return kind == call_kind::chat || kind == call_kind::talk;
}

std::string shown(const call_record& record) {
    return record.id_ + " at port " + std::to_string(record.gateway_) +
           ", status " + std::to_string(record.status_);
}

/// The events are 1, 2, 3 and so on.
bool in_order(const std::vector<std::uint64_t>& events) {
    std::uint64_t expected = 0;
    return std::ranges::all_of(
        events, [&expected](auto event) { return event == ++expected; });
}

void check_answer(const call_record& record,
                  std::size_t runs,
                  std::vector<finding>& found) {
    if (!may_repeat(record.kind_) && runs > 1) {
        found.push_back("ran " + std::to_string(runs) +
                        " times: " + shown(record));
    }
    const bool promised = not_run_statuses.contains(record.status_);
    if (!may_repeat(record.kind_) && promised && runs > 0) {
        found.push_back("ran although refused: " + shown(record));
    }
    if (record.foreign_) {
        found.push_back("answer of another request: " + shown(record));
    }
    if (record.status_ == status_ok && record.whole_ && runs == 0) {
        found.push_back("answered without a run: " + shown(record));
    }
    if (!is_stream(record.kind_) || record.status_ != status_ok) {
        return;
    }
    if (!in_order(record.events_)) {
        found.push_back("events missing or twice: " + shown(record));
    }
    if (record.whole_ && record.events_.size() != stream_events) {
        found.push_back("ended as complete after " +
                        std::to_string(record.events_.size()) +
                        " events: " + shown(record));
    }
}

void check_recovery(const std::vector<call_record>& records,
                    base::time_point calm_since,
                    std::vector<finding>& found) {
    std::size_t sent = 0;
    std::size_t served = 0;
    for (const auto& record : records) {
        if (record.sent_ >= calm_since) {
            ++sent;
            served += record.status_ == status_ok && record.whole_ ? 1 : 0;
        }
    }
    if (sent < least_calls || static_cast<double>(served) <
                                  recovered_part * static_cast<double>(sent)) {
        found.push_back("not recovered: " + std::to_string(served) + " of " +
                        std::to_string(sent) + " calls served");
    }
}

} // namespace

std::vector<finding>
check_promises(const std::vector<call_record>& records,
               const std::map<std::string, std::size_t>& runs,
               base::time_point calm_since) {
    std::vector<finding> found;
    std::set<std::string> sent;
    for (const auto& record : records) {
        sent.insert(record.id_);
        const auto counted = runs.find(record.id_);
        check_answer(record, counted == runs.end() ? 0 : counted->second,
                     found);
    }
    for (const auto& [id, count] : runs) {
        if (!sent.contains(id)) {
            found.push_back("ran a request that no caller sent: " + id);
        }
    }
    check_recovery(records, calm_since, found);
    return found;
}

} // namespace pimentoferry::soak
