#include "pimentoferry/routing/replica_picker.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace pimentoferry::routing {

namespace {

// Weight of the newest call in the score and in the mean time. With 0.3 a
// replica that fails two calls in a row passes the limit below.
constexpr double newest_weight = 0.3;
// Above this share of failures a replica is not fit; occasional errors of the
// application (some services fail one lookup in seven) stay below it.
constexpr double unfit_score = 0.45;
// Time after which an old score has lost half of its weight.
constexpr base::milliseconds score_half_life{3000};
// A replica this many times slower than its siblings is not fit.
constexpr double slow_factor = 4;
// Differences of a few ms are noise and never make a replica slow.
constexpr double slow_margin_ms = 60;
// Pause after a rejection; a call of tens of ms ends in the meantime.
constexpr base::milliseconds full_pause{50};
// An unfit replica gets one call in this time.
constexpr base::milliseconds trial_interval{1000};
// A replica in another failure domain is taken when the own ones have this
// many more calls in flight; a hop costs a ms and crossing bytes are priced.
constexpr double other_domain_cost = 3;

} // namespace

double replica_picker::failure_score(const base::upstream_name& id,
                                     base::time_point now) const {
    const auto found = records_.find(id);
    if (found == records_.end()) {
        return 0;
    }
    const std::chrono::duration<double> age = now - found->second.updated_;
    const std::chrono::duration<double> half_life = score_half_life;
    return found->second.failures_ * std::exp2(-(age / half_life));
}

bool replica_picker::is_fit(const instance& candidate,
                            double usual_ms,
                            base::time_point now) const {
    const auto found = records_.find(candidate.id_);
    if (found == records_.end()) {
        return true;
    }
    const bool slow =
        found->second.mean_ms_ > usual_ms * slow_factor + slow_margin_ms;
    return !slow && failure_score(candidate.id_, now) < unfit_score;
}

double replica_picker::cost(const instance& candidate,
                            const base::failure_domain& own_domain,
                            base::time_point now) {
    const auto& known = records_[candidate.id_];
    std::uniform_real_distribution<double> tie_break{0, 0.5};
    const double domain =
        candidate.failure_domain_ == own_domain ? 0 : other_domain_cost;
    const double full =
        known.full_until_ > now ? static_cast<double>(candidate.slots_) : 0;
    return known.in_flight_ + domain + full + tie_break(random_);
}

const instance*
replica_picker::choose(const std::vector<const instance*>& candidates,
                       const std::set<base::upstream_name>& tried,
                       const base::failure_domain& own_domain,
                       bool may_repeat,
                       base::time_point now) {
    // The quickest sibling is the measure of what is slow.
    double usual_ms = 0;
    for (const auto* each : candidates) {
        const auto mean = records_[each->id_].mean_ms_;
        if (mean > 0 && (usual_ms == 0 || mean < usual_ms)) {
            usual_ms = mean;
        }
    }
    const instance* best = nullptr;
    const instance* unfit = nullptr;
    double best_cost = 0;
    for (const auto* each : candidates) {
        if (tried.contains(each->id_)) {
            continue;
        }
        if (!is_fit(*each, usual_ms, now)) {
            auto& known = records_[each->id_];
            // The first call of a request is the trial: a retry must not end
            // at a replica that is known to fail.
            if (may_repeat && tried.empty() && known.next_trial_ <= now) {
                known.next_trial_ = now + trial_interval;
                return each;
            }
            unfit = each;
            continue;
        }
        const double each_cost = cost(*each, own_domain, now);
        if (best == nullptr || each_cost < best_cost) {
            best = each;
            best_cost = each_cost;
        }
    }
    return best != nullptr ? best : unfit;
}

void replica_picker::started(const base::upstream_name& id) {
    ++records_[id].in_flight_;
}

void replica_picker::ended(const base::upstream_name& id,
                           call_result result,
                           base::milliseconds took,
                           base::time_point now) {
    auto& known = records_[id];
    known.in_flight_ -= known.in_flight_ > 0 ? 1 : 0;
    if (result == call_result::abandoned) {
        return;
    }
    if (result == call_result::rejected) {
        known.full_until_ = now + full_pause;
        return;
    }
    const double failed = result == call_result::failed ? 1 : 0;
    const double before = failure_score(id, now);
    known.failures_ = before + newest_weight * (failed - before);
    known.updated_ = now;
    if (known.failures_ >= unfit_score && before < unfit_score) {
        known.next_trial_ = now + trial_interval;
    }
    if (failed == 0) {
        const auto ms = static_cast<double>(took.count());
        known.mean_ms_ =
            known.mean_ms_ == 0
                ? ms
                : known.mean_ms_ + newest_weight * (ms - known.mean_ms_);
    }
}

void replica_picker::retain(const std::set<base::upstream_name>& known) {
    std::erase_if(records_, [&known](const auto& entry) {
        return !known.contains(entry.first) && entry.second.in_flight_ == 0;
    });
}

} // namespace pimentoferry::routing
