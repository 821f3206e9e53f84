#include "pimentoferry/requests/quarantine.hpp"

#include <algorithm>
#include <chrono>
#include <limits>

namespace pimentoferry::requests {

namespace {

// From this number of crashes on, a fingerprint is quarantined.
constexpr std::uint8_t crashes_to_quarantine = 2;

base::milliseconds time_left(base::time_point end, base::time_point now) {
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

crash_status quarantine::status_of(std::uint64_t fingerprint,
                                   base::time_point now) const {
    const mark* found = find(fingerprint, now);
    if (found == nullptr) {
        return crash_status::clear;
    }
    return found->quarantined_until_ > now ? crash_status::quarantined
                                           : crash_status::suspect;
}

base::milliseconds quarantine::remaining(std::uint64_t fingerprint,
                                         base::time_point now) const {
    const mark* found = find(fingerprint, now);
    return found == nullptr ? base::milliseconds{0}
                            : time_left(found->quarantined_until_, now);
}

std::vector<std::uint64_t> quarantine::attributed_fingerprints(
    const std::vector<crash_candidate>& candidates,
    base::time_point now) const {
    std::vector<std::uint64_t> fingerprints;
    std::vector<std::uint64_t> suspects;
    std::vector<std::uint64_t> placed_as_suspects;
    for (const crash_candidate& candidate : candidates) {
        fingerprints.push_back(candidate.fingerprint_);
        if (find(candidate.fingerprint_, now) == nullptr) {
            continue;
        }
        suspects.push_back(candidate.fingerprint_);
        if (candidate.placed_as_suspect_) {
            placed_as_suspects.push_back(candidate.fingerprint_);
        }
    }
    if (!placed_as_suspects.empty()) {
        return unique(placed_as_suspects);
    }
    return unique(suspects.empty() ? fingerprints : suspects);
}

std::vector<crash_mark>
quarantine::attribute_crash(const std::vector<crash_candidate>& candidates,
                            base::time_point now) {
    drop_expired(now);
    std::vector<crash_mark> raised;
    for (const std::uint64_t fingerprint :
         attributed_fingerprints(candidates, now)) {
        raised.push_back(record_crash(fingerprint, now));
    }
    return raised;
}

base::milliseconds quarantine::quarantine_time(std::uint8_t crashes) const {
    if (crashes >= limits_.crashes_to_longest_) {
        return limits_.longest_quarantine_;
    }
    base::milliseconds time = limits_.first_quarantine_;
    for (std::uint8_t n = crashes_to_quarantine;
         n < crashes && time < limits_.longest_quarantine_; ++n) {
        time *= 2;
    }
    return std::min(time, limits_.longest_quarantine_);
}

crash_mark quarantine::record_crash(std::uint64_t fingerprint,
                                    base::time_point now) {
    const mark* existing = find(fingerprint, now);
    mark raised = existing == nullptr ? mark{} : *existing;
    if (raised.crashes_ < std::numeric_limits<std::uint8_t>::max()) {
        ++raised.crashes_;
    }
    base::milliseconds left = limits_.mark_lifetime_;
    raised.raised_at_ = now;
    raised.expires_ = now + left;
    if (raised.crashes_ >= crashes_to_quarantine) {
        left = quarantine_time(raised.crashes_);
        raised.quarantined_until_ = now + left;
        raised.expires_ = raised.quarantined_until_ + limits_.mark_lifetime_;
    }
    put(fingerprint, raised);
    return {fingerprint, raised.crashes_, left};
}

bool quarantine::was_quarantined(std::uint64_t fingerprint,
                                 base::time_point now) const {
    const mark* found = find(fingerprint, now);
    return found != nullptr && found->crashes_ >= crashes_to_quarantine &&
           found->quarantined_until_ <= now;
}

std::optional<crash_mark> quarantine::find_mark(std::uint64_t fingerprint,
                                                base::time_point now) const {
    const mark* found = find(fingerprint, now);
    if (found == nullptr) {
        return std::nullopt;
    }
    const bool counted = found->crashes_ >= crashes_to_quarantine;
    const auto end = counted ? found->quarantined_until_ : found->expires_;
    return crash_mark{fingerprint, found->crashes_, time_left(end, now)};
}

std::optional<base::time_point>
quarantine::raised_at(std::uint64_t fingerprint, base::time_point now) const {
    const mark* found = find(fingerprint, now);
    return found != nullptr ? std::optional{found->raised_at_} : std::nullopt;
}

std::vector<crash_mark> quarantine::marks(base::time_point now) const {
    std::vector<crash_mark> found;
    for (const auto& [fingerprint, value] : marks_) {
        if (const auto mark = find_mark(fingerprint, now)) {
            found.push_back(*mark);
        }
    }
    return found;
}

base::milliseconds quarantine::age(const crash_mark& mark) const {
    const auto whole = mark.crashes_ >= crashes_to_quarantine
                           ? quarantine_time(mark.crashes_)
                           : limits_.mark_lifetime_;
    return std::max(whole - mark.remaining_, base::milliseconds{0});
}

void quarantine::run_completed(std::uint64_t fingerprint,
                               base::time_point now) {
    if (status_of(fingerprint, now) == crash_status::suspect) {
        erase(fingerprint);
    }
}

bool quarantine::merge(const crash_mark& received, base::time_point now) {
    drop_expired(now);
    if (received.crashes_ == 0 || received.remaining_.count() <= 0) {
        return false;
    }
    const mark* existing = find(received.fingerprint_, now);
    if (existing != nullptr && existing->crashes_ >= received.crashes_) {
        return false;
    }
    mark merged{received.crashes_,
                now - age(received),
                {},
                now + limits_.mark_lifetime_};
    if (received.crashes_ >= crashes_to_quarantine) {
        // Bounded, because the settings of the sender may differ.
        merged.quarantined_until_ =
            now + std::min(received.remaining_, limits_.longest_quarantine_);
        merged.expires_ = merged.quarantined_until_ + limits_.mark_lifetime_;
    } else {
        merged.expires_ =
            now + std::min(received.remaining_, limits_.mark_lifetime_);
    }
    put(received.fingerprint_, merged);
    return true;
}

void quarantine::put(std::uint64_t fingerprint, const mark& value) {
    erase(fingerprint);
    if (marks_.size() >= limits_.max_marks_) {
        erase(std::get<std::uint64_t>(*eviction_order_.begin()));
    }
    marks_[fingerprint] = value;
    eviction_order_.emplace(value.crashes_ >= crashes_to_quarantine,
                            value.expires_, fingerprint);
}

void quarantine::erase(std::uint64_t fingerprint) {
    const auto found = marks_.find(fingerprint);
    if (found == marks_.end()) {
        return;
    }
    const mark& old = found->second;
    eviction_order_.erase(
        {old.crashes_ >= crashes_to_quarantine, old.expires_, fingerprint});
    marks_.erase(found);
}

void quarantine::drop_expired(base::time_point now) {
    for (const bool quarantined : {false, true}) {
        auto next = eviction_order_.lower_bound({quarantined, {}, 0});
        while (next != eviction_order_.end() &&
               std::get<0>(*next) == quarantined &&
               std::get<base::time_point>(*next) <= now) {
            const std::uint64_t fingerprint = std::get<std::uint64_t>(*next);
            ++next;
            erase(fingerprint);
        }
    }
}

} // namespace pimentoferry::requests
