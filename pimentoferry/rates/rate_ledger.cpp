#include "pimentoferry/rates/rate_ledger.hpp"

#include <algorithm>
#include <chrono>

namespace pimentoferry::rates {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// Time of its rate with which a new entry starts.
constexpr fractional_seconds initial_time{0.25};
// A rate is scarce from the first part of its capacity on, and no longer from
// the second. In between, the gateways that admit on their own use less than is
// left before they hear that it is scarce.
constexpr double scarce_below = 0.5;
constexpr double ample_from = 0.75;
constexpr base::milliseconds longest_wait{10'000};
// Gateways need not know that a rate is scarce which nobody uses.
constexpr base::milliseconds recent_use{2000};

base::milliseconds time_for(double units, double per_second) {
    const fractional_seconds time{units / std::max(per_second, 1e-9)};
    return time >= longest_wait ? longest_wait
                                : std::chrono::ceil<base::milliseconds>(time);
}

} // namespace

rate_terms with_tolerance(const rate_terms& terms,
                          const rate_tolerance& tolerance) {
    constexpr double used_share = 0.5;
    const double allowed =
        terms.per_second_ * tolerance.window_.count() + terms.capacity_;
    const double exceeded = allowed * tolerance.overage_ + tolerance.slack_;
    return {terms.per_second_, terms.capacity_ + exceeded * used_share};
}

double rate_ledger::level(const entry& of, base::time_point now) const {
    const fractional_seconds passed = std::max(now, of.updated_) - of.updated_;
    return std::min(of.terms_.capacity_,
                    of.level_ + of.terms_.per_second_ * part_ * passed.count());
}

void rate_ledger::update(entry& of, double amount, base::time_point now) const {
    of.level_ = std::min(of.terms_.capacity_, level(of, now) - amount);
    of.updated_ = now;
    const double left = of.level_ / std::max(of.terms_.capacity_, 1e-9);
    of.scarce_ = left < scarce_below || (of.scarce_ && left < ample_from);
}

void rate_ledger::set(const std::string& id,
                      const rate_terms& terms,
                      base::time_point now) {
    const auto [found, added] = rates_.try_emplace(id);
    auto& changed = found->second;
    if (added) {
        changed.terms_ = terms;
        changed.level_ = std::min(terms.capacity_, terms.per_second_ * part_ *
                                                       initial_time.count());
        changed.updated_ = now;
    } else if (changed.terms_ != terms) {
        changed.level_ = level(changed, now);
        changed.updated_ = now;
        changed.terms_ = terms;
        changed.promised_ = now;
    }
    update(changed, 0, now);
}

void rate_ledger::retain(
    const std::function<bool(const std::string&)>& is_owned) {
    std::erase_if(rates_, [&is_owned](const auto& each) {
        return !is_owned(each.first);
    });
}

void rate_ledger::set_part(double part, base::time_point now) {
    if (part != part_) {
        std::ranges::for_each(rates_,
                              [&](auto& each) { update(each.second, 0, now); });
        part_ = part;
    }
}

void rate_ledger::charge(const std::string& id,
                         double amount,
                         base::time_point now) {
    const auto found = rates_.find(id);
    if (found != rates_.end()) {
        found->second.used_ = now;
        update(found->second, amount, now);
    }
}

std::optional<rate_decision> rate_ledger::request(const std::string& id,
                                                  double amount,
                                                  base::time_point now) {
    const auto found = rates_.find(id);
    if (found == rates_.end()) {
        return std::nullopt;
    }
    auto& used = found->second;
    used.used_ = now;
    update(used, 0, now);
    const double needed = std::min(amount, used.terms_.capacity_);
    if (used.level_ >= needed) {
        update(used, amount, now);
        return rate_granted{};
    }
    const double per_second = used.terms_.per_second_ * part_;
    const auto due = std::max(now + time_for(needed - used.level_, per_second),
                              used.promised_ + time_for(amount, per_second));
    used.promised_ = std::min(due, now + longest_wait);
    return rate_refused{
        std::chrono::ceil<base::milliseconds>(used.promised_ - now)};
}

std::optional<rate_state> rate_ledger::state(const std::string& id,
                                             base::time_point now) const {
    const auto found = rates_.find(id);
    if (found == rates_.end()) {
        return std::nullopt;
    }
    auto seen = found->second;
    update(seen, 0, now);
    return rate_state{seen.level_, seen.scarce_};
}

std::vector<std::string> rate_ledger::scarce(base::time_point now) const {
    std::vector<std::string> ids;
    for (const auto& [id, each] : rates_) {
        const bool recent = each.used_ + recent_use >= now;
        if (recent && state(id, now)->scarce_) {
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace pimentoferry::rates
