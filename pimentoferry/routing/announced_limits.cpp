#include "pimentoferry/routing/announced_limits.hpp"

#include <algorithm>
#include <array>
#include <iterator>
#include <limits>
#include <ranges>

namespace pimentoferry::routing {

namespace {

// How long the end of a limit is remembered: longer than an answer or a message
// of a gateway can be on its way.
constexpr base::milliseconds ended_kept{20'000};

double strictness(const announced_limit& evidence) {
    return -evidence.requests_per_s_.value_or(
        std::numeric_limits<double>::infinity());
}

limit_change change_between(const std::optional<double>& before,
                            const std::optional<double>& after) {
    if (before == after) {
        return limit_change::none;
    }
    if (!before) {
        return limit_change::begun;
    }
    return after ? limit_change::changed : limit_change::ended;
}

/// What holds of two pieces of evidence about the same run.
announced_limit join(const announced_limit& known,
                     const announced_limit& heard) {
    if (heard.sent_at_ >= known.received_at_) {
        return heard;
    }
    if (known.sent_at_ >= heard.received_at_) {
        return known;
    }
    auto joined = strictness(heard) > strictness(known) ? heard : known;
    joined.sent_at_ = std::max(known.sent_at_, heard.sent_at_);
    joined.received_at_ = std::max(known.received_at_, heard.received_at_);
    return joined;
}

} // namespace

std::string_view to_string(limit_change change) {
    constexpr std::array<std::string_view, 4> texts{"none", "begun", "changed",
                                                    "ended"};
    return texts.at(static_cast<std::size_t>(change));
}

limit_change announced_limits::merge(const announced_limit& heard) {
    const auto found = evidence_.find(heard.instance_);
    if (found == evidence_.end()) {
        // Almost all instances have no limit, which needs no record.
        if (heard.requests_per_s_) {
            evidence_.emplace(heard.instance_, heard);
        }
        return change_between(std::nullopt, heard.requests_per_s_);
    }
    auto& known = found->second;
    if (heard.started_at_ms_ < known.started_at_ms_) {
        return limit_change::none;
    }
    const auto before = known.requests_per_s_;
    known = heard.started_at_ms_ > known.started_at_ms_ ? heard
                                                        : join(known, heard);
    return change_between(before, known.requests_per_s_);
}

std::optional<double>
announced_limits::limit_of(const base::upstream_name& instance) const {
    const auto found = evidence_.find(instance);
    return found != evidence_.end() ? found->second.requests_per_s_
                                    : std::nullopt;
}

std::vector<announced_limit> announced_limits::all() const {
    std::vector<announced_limit> copied;
    std::ranges::copy(evidence_ | std::views::values,
                      std::back_inserter(copied));
    return copied;
}

void announced_limits::retain(
    const std::function<bool(const announced_limit&)>& is_current,
    base::time_point now) {
    std::erase_if(evidence_, [&](const auto& entry) {
        const auto& evidence = entry.second;
        const bool forgotten = !evidence.requests_per_s_ &&
                               evidence.received_at_ + ended_kept < now;
        return forgotten || !is_current(evidence);
    });
}

} // namespace pimentoferry::routing
