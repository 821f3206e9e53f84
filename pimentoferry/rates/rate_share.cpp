#include "pimentoferry/rates/rate_share.hpp"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <numeric>
#include <utility>

namespace pimentoferry::rates {

namespace {

using fractional_seconds = std::chrono::duration<double>;

// Use of the equal share that may be unconfirmed.
constexpr fractional_seconds unconfirmed_time{0.5};
// Use of the equal share that is reported at once; less waits for the interval,
// so that small requests cause few messages.
constexpr fractional_seconds prompt_report_time{0.25};
constexpr base::milliseconds report_interval{500};
// A confirmation takes a few ms; an owner that has not confirmed by then is
// silent.
constexpr base::milliseconds confirmation_timeout{300};
// How long a refusal of the owner answers for the following requests, too.
constexpr base::milliseconds refusal_validity{100};
// Most of the equal share that accumulates.
constexpr fractional_seconds alone_accumulation{1};

} // namespace

double rate_share::entry::outstanding() const {
    return std::accumulate(
        unconfirmed_.begin(), unconfirmed_.end(), unreported_,
        [](double sum, const reported& each) { return sum + each.amount_; });
}

double rate_share::equal_share(const entry& of) const {
    return of.terms_.per_second_ / std::max(fleet_, 1U);
}

void rate_share::set(const std::string& id,
                     const rate_terms& terms,
                     base::time_point now) {
    const auto [found, added] = rates_.try_emplace(id);
    if (!added && found->second.terms_ != terms) {
        // What the owner said was about other terms.
        found->second.refused_until_ = now;
        found->second.alone_level_.reset();
    }
    found->second.terms_ = terms;
}

void rate_share::retain(
    const std::function<bool(const std::string&)>& is_known) {
    std::erase_if(rates_, [&is_known](const auto& each) {
        return !is_known(each.first);
    });
}

share_decision
rate_share::admit(const std::string& id, double amount, base::time_point now) {
    const auto found = rates_.find(id);
    if (found == rates_.end()) {
        return admitted{};
    }
    auto& used = found->second;
    if (used.refused_until_ > now) {
        return over_rate{std::max(
            std::chrono::ceil<base::milliseconds>(used.credit_at_ - now),
            base::milliseconds{1})};
    }
    const double outstanding = used.outstanding();
    const double allowed = equal_share(used) * unconfirmed_time.count();
    const bool within = outstanding <= 0 || outstanding + amount <= allowed;
    // A request that uses most of what may be used at once needs the owner.
    const bool small = amount <= used.terms_.capacity_ / 2;
    if (detached_ || used.scarce_ || !within || !small) {
        return ask_owner{};
    }
    note_use(id, amount, now);
    return admitted{};
}

share_decision rate_share::admit_alone(const std::string& id,
                                       double amount,
                                       base::time_point now) {
    const auto found = rates_.find(id);
    if (found == rates_.end()) {
        return admitted{};
    }
    auto& used = found->second;
    const double share = equal_share(used);
    if (!used.alone_level_) {
        std::uniform_real_distribution<double> part{-1, 0};
        used.alone_level_ = amount * part(random_);
    } else {
        const fractional_seconds passed = now - used.alone_updated_;
        used.alone_level_ =
            std::min(*used.alone_level_ + share * passed.count(),
                     share * alone_accumulation.count());
    }
    used.alone_updated_ = now;
    if (*used.alone_level_ < 0) {
        const fractional_seconds wait{-*used.alone_level_ /
                                      std::max(share, 1e-9)};
        constexpr fractional_seconds longest_wait{10};
        return over_rate{std::chrono::ceil<base::milliseconds>(
            std::min(wait, longest_wait))};
    }
    *used.alone_level_ -= amount;
    note_use(id, amount, now);
    return admitted{};
}

void rate_share::note_use(const std::string& id,
                          double amount,
                          base::time_point now) {
    const auto found = rates_.find(id);
    if (found != rates_.end()) {
        auto& used = found->second;
        if (used.unreported_ == 0) {
            used.unreported_since_ = now;
        }
        used.unreported_ += amount;
    }
}

std::vector<use_report> rate_share::take_reports(base::time_point now) {
    std::vector<use_report> reports;
    for (auto& [id, used] : rates_) {
        const double prompt = equal_share(used) * prompt_report_time.count();
        const bool due = used.unreported_ >= prompt || used.unreported_ < 0 ||
                         now - used.unreported_since_ >= report_interval;
        if (used.unreported_ == 0 || !due) {
            continue;
        }
        const auto sequence = ++last_sequence_;
        const double amount = std::exchange(used.unreported_, 0);
        used.unconfirmed_.push_back({sequence, amount, now});
        reports.push_back({id, amount, sequence});
    }
    return reports;
}

void rate_share::confirmed(const std::string& id, std::uint64_t sequence) {
    const auto found = rates_.find(id);
    if (found != rates_.end()) {
        found->second.alone_level_.reset();
        std::erase_if(found->second.unconfirmed_,
                      [sequence](const reported& each) {
                          return each.sequence_ == sequence;
                      });
    }
}

void rate_share::owner_said(const std::string& id, bool is_scarce) {
    const auto found = rates_.find(id);
    if (found != rates_.end()) {
        found->second.scarce_ = is_scarce;
        found->second.alone_level_.reset();
    }
}

void rate_share::owner_refused(const std::string& id,
                               base::milliseconds wait,
                               base::time_point now) {
    const auto found = rates_.find(id);
    if (found != rates_.end()) {
        found->second.refused_until_ = now + std::min(wait, refusal_validity);
        found->second.credit_at_ = now + wait;
    }
}

std::vector<std::string> rate_share::take_unconfirmed(base::time_point now) {
    std::vector<std::string> ids;
    for (auto& [id, used] : rates_) {
        double lost = 0;
        std::erase_if(used.unconfirmed_, [&](const reported& each) {
            const bool overdue = now - each.sent_ >= confirmation_timeout;
            lost += overdue ? each.amount_ : 0;
            return overdue;
        });
        if (lost != 0) {
            note_use(id, lost, now);
            ids.push_back(id);
        }
    }
    return ids;
}

} // namespace pimentoferry::rates
