#include "bench/metrics.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::bench {

namespace {

constexpr double first_token_target_ms = 1'600;
constexpr double interval_target_ms = 74;

double percentile(std::vector<float>& values, double share) {
    if (values.empty()) {
        return 0;
    }
    const double rank = std::ceil(share * static_cast<double>(values.size()));
    const auto at = static_cast<std::ptrdiff_t>(std::max(rank - 1, 0.0));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values.at(static_cast<std::size_t>(at));
}

bool meets_first_token_target(const request_result& r) {
    return r.first_token_ms_ <= first_token_target_ms;
}

bool meets_interval_target(const request_result& r) {
    std::vector<float> intervals = r.intervals_ms_;
    return percentile(intervals, 0.95) <= interval_target_ms;
}

// Max-min fair allocation of a total: no caller receives more than it
// requested, and the rest is divided equally among all others.
std::vector<double> max_min_fair_shares(const std::vector<double>& requested,
                                        double total) {
    std::vector<std::size_t> order(requested.size());
    for (std::size_t i = 0; i < order.size(); ++i) {
        order[i] = i;
    }
    std::ranges::sort(order, {}, [&](std::size_t i) { return requested[i]; });
    std::vector<double> shares(requested.size());
    double remaining = total;
    for (std::size_t i = 0; i < order.size(); ++i) {
        const double equal = remaining / static_cast<double>(order.size() - i);
        shares[order[i]] = std::min(requested[order[i]], equal);
        remaining -= shares[order[i]];
    }
    return shares;
}

double jain_index(const std::vector<double>& received,
                  const std::vector<double>& share) {
    double sum = 0;
    double squares = 0;
    double count = 0;
    for (std::size_t i = 0; i < received.size(); ++i) {
        if (share[i] > 0) {
            const double x = received[i] / share[i];
            sum += x;
            squares += x * x;
            count += 1;
        }
    }
    return squares > 0 ? sum * sum / (count * squares) : 0;
}

double& at(figures& f, figure which) {
    return f.at(static_cast<std::size_t>(which));
}

} // namespace

figures figures_of(const run_result& run, int callers) {
    const auto n = static_cast<std::size_t>(callers);
    std::vector<double> requested(n);
    std::vector<double> received(n);
    std::vector<float> first_tokens;
    std::vector<float> intervals;
    double good_answers = 0;
    double computed = 0;
    double used = 0;
    double late = 0;
    double slow = 0;
    std::array<double, 5> outcomes{};
    for (const request_result& r : run.requests_) {
        const auto caller = static_cast<std::size_t>(r.caller_);
        requested.at(caller) += 1;
        computed += r.computed_tokens_;
        used += r.used_tokens_;
        outcomes.at(static_cast<std::size_t>(r.outcome_)) += 1;
        if (r.first_token_ms_ >= 0) {
            first_tokens.push_back(static_cast<float>(r.first_token_ms_));
        }
        intervals.insert(intervals.end(), r.intervals_ms_.begin(),
                         r.intervals_ms_.end());
        if (r.outcome_ != outcome::answered) {
            continue;
        }
        if (!meets_first_token_target(r)) {
            late += 1;
        } else if (!meets_interval_target(r)) {
            slow += 1;
        } else {
            good_answers += 1;
            received.at(caller) += 1;
        }
    }
    const double requests =
        std::max(static_cast<double>(run.requests_.size()), 1.0);
    const auto share_of = [&](outcome o) {
        return outcomes.at(static_cast<std::size_t>(o)) / requests;
    };
    const double per_second = good_answers / run.window_s_;
    figures f{};
    at(f, figure::goodput) = per_second / run.engines_;
    at(f, figure::goodput_vs_bound) = per_second / run.bound_per_s_;
    at(f, figure::wasted_prefill) =
        computed > 0 ? (computed - used) / computed : 0;
    at(f, figure::refusals) = share_of(outcome::refused);
    at(f, figure::left) = share_of(outcome::left);
    at(f, figure::lost) = share_of(outcome::lost);
    at(f, figure::late) = late / requests;
    at(f, figure::slow) = slow / requests;
    at(f, figure::first_token_p50_ms) = percentile(first_tokens, 0.50);
    at(f, figure::first_token_p95_ms) = percentile(first_tokens, 0.95);
    at(f, figure::first_token_p99_ms) = percentile(first_tokens, 0.99);
    at(f, figure::interval_p50_ms) = percentile(intervals, 0.50);
    at(f, figure::interval_p95_ms) = percentile(intervals, 0.95);
    at(f, figure::interval_p99_ms) = percentile(intervals, 0.99);
    at(f, figure::fairness) =
        jain_index(received, max_min_fair_shares(requested, good_answers));
    return f;
}

std::array<spread, figure_count> spread_of(const std::vector<figures>& runs) {
    std::array<spread, figure_count> result{};
    for (std::size_t i = 0; i < figure_count; ++i) {
        std::vector<double> values;
        values.reserve(runs.size());
        for (const figures& f : runs) {
            values.push_back(f.at(i));
        }
        std::ranges::sort(values);
        result.at(i) = {values.at(values.size() / 2), values.front(),
                        values.back()};
    }
    return result;
}

} // namespace pimentoferry::bench
