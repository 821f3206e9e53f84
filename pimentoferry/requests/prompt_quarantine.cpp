#include "pimentoferry/requests/prompt_quarantine.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::requests {

namespace {

// Engines that end within this time of each other have a common cause, such as
// the loss of a failure domain, and several gateways notice the crash of one
// engine within it: both count as one crash.
constexpr base::milliseconds min_crash_distance{100};

// A request that was admitted after a quarantine has begun, crashed an engine
// or ended in another way by then.
constexpr base::milliseconds max_trial_time{3000};

// Marks that were set together are sent and received together; the rest is
// rounding.
constexpr base::milliseconds max_tie_difference{20};

// Bounds the memory; the part that was used the longest time ago is forgotten.
constexpr std::size_t max_remembered_parts = 4096;

} // namespace

bool prompt_quarantine::is_sound(std::uint64_t part,
                                 base::time_point now) const {
    const auto found = shared_parts_.find(part);
    return found != shared_parts_.end() &&
           (!found->second.doubted_at_ ||
            now - *found->second.doubted_at_ < min_crash_distance);
}

// A run that began after the last crash cannot have been part of it.
bool prompt_quarantine::counted_already(std::uint64_t part,
                                        base::time_point now,
                                        base::time_point run_began) const {
    const auto raised_at = marks_.raised_at(part, now);
    return raised_at && now - *raised_at < min_crash_distance &&
           run_began < *raised_at;
}

std::optional<base::milliseconds>
prompt_quarantine::refused_for(const prompt_parts& prompt,
                               base::time_point now) const {
    if (marks_.size() == 0) {
        return std::nullopt;
    }
    const auto marks = marks_.marks(now);
    auto longest = marks_.remaining(prompt.own_, now);
    for (const auto part : prompt.shared_) {
        if (is_refused(part, prompt, marks, now)) {
            longest = std::max(longest, marks_.remaining(part, now));
        }
    }
    return longest.count() > 0 ? std::optional{longest} : std::nullopt;
}

admission prompt_quarantine::admit(const prompt_parts& prompt,
                                   base::time_point now) {
    if (const auto left = refused_for(prompt, now)) {
        return {left, {}};
    }
    std::erase_if(trials_, [now](const auto& trial) {
        return now - trial.second >= max_trial_time;
    });
    auto candidates = prompt.shared_;
    candidates.push_back(prompt.own_);
    std::vector<std::uint64_t> tried;
    std::ranges::copy_if(
        candidates, std::back_inserter(tried),
        [&](std::uint64_t part) { return marks_.was_quarantined(part, now); });
    for (const auto part : tried) {
        if (const auto trial = trials_.find(part); trial != trials_.end()) {
            return {std::chrono::ceil<base::milliseconds>(trial->second +
                                                          max_trial_time - now),
                    {}};
        }
    }
    for (const auto part : tried) {
        trials_[part] = now;
    }
    return {std::nullopt, std::move(tried)};
}

void prompt_quarantine::merge_trial(std::uint64_t part, base::time_point now) {
    if (marks_.was_quarantined(part, now)) {
        trials_[part] = now;
    }
}

bool prompt_quarantine::is_refused(std::uint64_t part,
                                   const prompt_parts& prompt,
                                   const std::vector<crash_mark>& marks,
                                   base::time_point now) const {
    if (marks_.status_of(part, now) != crash_status::quarantined) {
        return false;
    }
    const auto own = *marks_.find_mark(part, now);
    const auto tied = [&](const crash_mark& other) {
        return other.crashes_ == own.crashes_ &&
               std::chrono::abs(marks_.age(other) - marks_.age(own)) <
                   max_tie_difference;
    };
    return std::ranges::all_of(marks, [&](const crash_mark& other) {
        return !tied(other) ||
               std::ranges::count(prompt.shared_, other.fingerprint_) > 0;
    });
}

bool prompt_quarantine::is_suspect(const prompt_parts& prompt,
                                   base::time_point now) const {
    return std::ranges::any_of(prompt.shared_, [&](std::uint64_t part) {
        return marks_.status_of(part, now) != crash_status::clear;
    });
}

std::vector<crash_mark>
prompt_quarantine::record_crash(const prompt_parts& prompt,
                                base::time_point now,
                                base::time_point run_began) {
    std::vector<crash_candidate> candidates;
    const auto blame = [&](std::uint64_t part) {
        if (!counted_already(part, now, run_began)) {
            candidates.push_back({part, false});
        }
    };
    for (const auto part : prompt.shared_) {
        if (!is_sound(part, now)) {
            blame(part);
        }
        const auto known = shared_parts_.find(part);
        if (known != shared_parts_.end() && !known->second.doubted_at_) {
            known->second.doubted_at_ = now;
        }
    }
    const bool others_sound =
        std::ranges::all_of(prompt.shared_, [&](std::uint64_t part) {
            return is_sound(part, now);
        });
    if (others_sound && prompt.own_ != 0) {
        blame(prompt.own_);
    }
    return marks_.attribute_crash(candidates, now);
}

void prompt_quarantine::remember_begin(std::uint64_t part,
                                       base::time_point now) {
    if (shared_parts_.size() >= max_remembered_parts &&
        !shared_parts_.contains(part)) {
        shared_parts_.erase(
            std::ranges::min_element(shared_parts_, {}, [](const auto& entry) {
                return entry.second.last_begin_;
            }));
    }
    shared_parts_[part] = {now, std::nullopt};
}

std::vector<std::uint64_t>
prompt_quarantine::record_begin(const prompt_parts& prompt,
                                base::time_point now) {
    std::vector<std::uint64_t> cleared;
    const auto clear = [&](std::uint64_t part) {
        if (marks_.status_of(part, now) != crash_status::clear) {
            marks_.clear(part);
            cleared.push_back(part);
        }
    };
    for (const auto part : prompt.shared_) {
        remember_begin(part, now);
        clear(part);
    }
    // Remembered to refute the mark if a gateway sends it once more.
    if (marks_.status_of(prompt.own_, now) != crash_status::clear) {
        remember_begin(prompt.own_, now);
        clear(prompt.own_);
    }
    return cleared;
}

merge_result prompt_quarantine::merge(const crash_mark& mark,
                                      base::time_point now) {
    const auto known = shared_parts_.find(mark.fingerprint_);
    if (known != shared_parts_.end() &&
        known->second.last_begin_ > now - marks_.age(mark)) {
        return merge_result::refuted;
    }
    return marks_.merge(mark, now) ? merge_result::changed
                                   : merge_result::unchanged;
}

void prompt_quarantine::merge_sound(std::uint64_t part, base::time_point now) {
    remember_begin(part, now);
    marks_.clear(part);
}

} // namespace pimentoferry::requests
