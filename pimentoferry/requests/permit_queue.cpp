#include "pimentoferry/requests/permit_queue.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <optional>

namespace pimentoferry::requests {

namespace {

// A call counts as having arrived later by this for each step of priority.
constexpr base::milliseconds urgency_step{250};
// Reported if no candidate has an allowance.
constexpr base::milliseconds unknown_wait{1000};

/// Takes a request from the candidate that has most left; unset if none has.
std::optional<base::upstream_name>
take_any(const std::vector<base::upstream_name>& candidates,
         allowance_table& allowances,
         base::time_point now) {
    const auto left = [&](const base::upstream_name& each) {
        return allowances.expected(each, now, now);
    };
    const auto best = std::ranges::max_element(candidates, {}, left);
    if (best == candidates.end() || left(*best) < 1) {
        return std::nullopt;
    }
    allowances.take(*best, now);
    return *best;
}

} // namespace

base::milliseconds
permit_queue::expected_wait(const permit_request& call,
                            std::size_t calls_ahead,
                            const allowance_table& allowances,
                            base::time_point now) const {
    double per_second = 0;
    double left = 0;
    for (const auto& each : call.candidates_) {
        per_second += allowances.rate(each).value_or(0);
        left += std::max(0.0, allowances.expected(each, now, now));
    }
    const double missing =
        std::max(0.0, static_cast<double>(calls_ahead) + 1 - left);
    if (missing == 0) {
        return base::milliseconds{0};
    }
    if (per_second <= 0) {
        return unknown_wait;
    }
    return std::chrono::ceil<base::milliseconds>(
        std::chrono::duration<double>{missing / per_second});
}

permit_queue::decisions permit_queue::request(permit_request call,
                                              allowance_table& allowances,
                                              base::time_point now) {
    const auto rank = now + urgency_step * call.priority_;
    const auto position =
        std::ranges::upper_bound(waiting_, rank, {}, &waiting_call::rank_);
    const auto ahead =
        static_cast<std::size_t>(std::distance(waiting_.begin(), position));
    const auto wait = expected_wait(call, ahead, allowances, now);
    if (wait > call.longest_wait_) {
        return {permit_refusal{call.attempt_, wait}};
    }
    const auto expires_at = now + call.longest_wait_;
    waiting_.insert(position, {std::move(call), rank, expires_at});
    return tick(allowances, now);
}

permit_queue::decisions permit_queue::tick(allowance_table& allowances,
                                           base::time_point now) {
    decisions made;
    std::vector<waiting_call> still_waiting;
    for (auto& call : waiting_) {
        const auto attempt = call.request_.attempt_;
        const bool expired = call.expires_at_ < now;
        const auto replica =
            expired ? std::nullopt
                    : take_any(call.request_.candidates_, allowances, now);
        if (replica) {
            made.emplace_back(permit_grant{attempt, *replica});
        } else if (expired) {
            made.emplace_back(permit_refusal{
                attempt, expected_wait(call.request_, still_waiting.size(),
                                       allowances, now)});
        } else {
            still_waiting.push_back(std::move(call));
        }
    }
    waiting_ = std::move(still_waiting);
    return made;
}

} // namespace pimentoferry::requests
