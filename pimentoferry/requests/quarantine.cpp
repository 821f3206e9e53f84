#include "pimentoferry/requests/quarantine.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace pimentoferry::requests {

namespace {

// From this number of crashes on, a fingerprint is quarantined.
constexpr std::uint8_t quarantine_crashes = 2;

base::milliseconds rest(base::time_point end, base::time_point now) {
    const auto left = std::chrono::ceil<base::milliseconds>(end - now);
    return std::max(left, base::milliseconds{0});
}

std::vector<std::uint64_t> unique(std::vector<std::uint64_t> values) {
    std::ranges::sort(values);
    const auto repeated = std::ranges::unique(values);
    values.erase(repeated.begin(), repeated.end());
    return values;
}

} // namespace

quarantine::quarantine(quarantine_limits limits) : limits_(limits) {}

const quarantine::mark* quarantine::find(std::uint64_t fingerprint,
                                         base::time_point now) const {
    const auto found = marks_.find(fingerprint);
    if (found == marks_.end() || found->second.expires_ <= now) {
        return nullptr;
    }
    return &found->second;
}

standing quarantine::standing_of(std::uint64_t fingerprint,
                                 base::time_point now) const {
    const mark* found = find(fingerprint, now);
    if (found == nullptr) {
        return standing::clear;
    }
    return found->quarantined_until_ > now ? standing::quarantined
                                           : standing::suspect;
}

base::milliseconds quarantine::remaining(std::uint64_t fingerprint,
                                         base::time_point now) const {
    const mark* found = find(fingerprint, now);
    return found == nullptr ? base::milliseconds{0}
                            : rest(found->quarantined_until_, now);
}

std::vector<std::uint64_t>
quarantine::blamed(const std::vector<crash_witness>& all,
                   base::time_point now) const {
    std::vector<std::uint64_t> everyone;
    std::vector<std::uint64_t> marked;
    std::vector<std::uint64_t> declared;
    for (const crash_witness& witness : all) {
        everyone.push_back(witness.fingerprint_);
        if (find(witness.fingerprint_, now) == nullptr) {
            continue;
        }
        marked.push_back(witness.fingerprint_);
        if (witness.declared_) {
            declared.push_back(witness.fingerprint_);
        }
    }
    if (!declared.empty()) {
        return unique(declared);
    }
    return unique(marked.empty() ? everyone : marked);
}

std::vector<crash_mark>
quarantine::engine_crashed(const std::vector<crash_witness>& witnesses,
                           base::time_point now) {
    drop_expired(now);
    std::vector<crash_mark> raised;
    for (const std::uint64_t fingerprint : blamed(witnesses, now)) {
        raised.push_back(raise(fingerprint, now));
    }
    return raised;
}

base::milliseconds quarantine::quarantine_time(std::uint8_t crashes) const {
    base::milliseconds time = limits_.first_quarantine_;
    for (std::uint8_t n = quarantine_crashes;
         n < crashes && time < limits_.longest_quarantine_; ++n) {
        time *= 2;
    }
    return std::min(time, limits_.longest_quarantine_);
}

crash_mark quarantine::raise(std::uint64_t fingerprint, base::time_point now) {
    const mark* known = find(fingerprint, now);
    mark raised = known == nullptr ? mark{} : *known;
    if (raised.crashes_ < std::numeric_limits<std::uint8_t>::max()) {
        ++raised.crashes_;
    }
    base::milliseconds left = limits_.mark_time_;
    raised.expires_ = now + left;
    if (raised.crashes_ >= quarantine_crashes) {
        left = quarantine_time(raised.crashes_);
        raised.quarantined_until_ = now + left;
        raised.expires_ = raised.quarantined_until_ + limits_.mark_time_;
    }
    put(fingerprint, raised);
    return {fingerprint, raised.crashes_, left};
}

void quarantine::completed(std::uint64_t fingerprint, base::time_point now) {
    if (standing_of(fingerprint, now) == standing::suspect) {
        erase(fingerprint);
    }
}

bool quarantine::heard(const crash_mark& heard, base::time_point now) {
    drop_expired(now);
    if (heard.crashes_ == 0 || heard.remaining_.count() <= 0) {
        return false;
    }
    const mark* known = find(heard.fingerprint_, now);
    if (known != nullptr && known->crashes_ >= heard.crashes_) {
        return false;
    }
    mark merged{heard.crashes_, {}, now + limits_.mark_time_};
    if (heard.crashes_ >= quarantine_crashes) {
        // Bounded, because the sender's settings may differ.
        merged.quarantined_until_ =
            now + std::min(heard.remaining_, limits_.longest_quarantine_);
        merged.expires_ = merged.quarantined_until_ + limits_.mark_time_;
    } else {
        merged.expires_ = now + std::min(heard.remaining_, limits_.mark_time_);
    }
    put(heard.fingerprint_, merged);
    return true;
}

void quarantine::put(std::uint64_t fingerprint, const mark& value) {
    erase(fingerprint);
    if (marks_.size() >= limits_.marks_) {
        erase(std::get<std::uint64_t>(*order_.begin()));
    }
    marks_[fingerprint] = value;
    order_.emplace(value.crashes_ >= quarantine_crashes, value.expires_,
                   fingerprint);
}

void quarantine::erase(std::uint64_t fingerprint) {
    const auto found = marks_.find(fingerprint);
    if (found == marks_.end()) {
        return;
    }
    const mark& old = found->second;
    order_.erase(
        {old.crashes_ >= quarantine_crashes, old.expires_, fingerprint});
    marks_.erase(found);
}

void quarantine::drop_expired(base::time_point now) {
    for (const bool quarantined : {false, true}) {
        auto next = order_.lower_bound({quarantined, {}, 0});
        while (next != order_.end() && std::get<0>(*next) == quarantined &&
               std::get<base::time_point>(*next) <= now) {
            const std::uint64_t fingerprint = std::get<std::uint64_t>(*next);
            ++next;
            erase(fingerprint);
        }
    }
}

} // namespace pimentoferry::requests
