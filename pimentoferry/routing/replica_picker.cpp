#include "pimentoferry/routing/replica_picker.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <optional>

namespace pimentoferry::routing {

namespace {

// Weight of the newest call in the failure score and in the mean response time.
// With 0.3 a replica that fails two calls in a row exceeds the limit below.
constexpr double newest_weight = 0.3;
// From this failure score on a replica is unhealthy. Occasional application
// errors stay below it: some services fail one lookup in seven.
constexpr double unhealthy_score = 0.45;
// Half-life of a failure score that is not updated.
constexpr base::milliseconds score_half_life{3000};
// A replica whose mean response time is this many times that of the fastest
// replica is unhealthy.
constexpr double slow_factor = 4;
// Added to the limit above, because differences of a few ms are noise.
constexpr double slow_margin_ms = 60;
// Time for which a replica that rejected a call counts as full; a call of tens
// of ms ends in the meantime.
constexpr base::milliseconds full_backoff{50};
// An unhealthy replica gets one probe call in this time.
constexpr base::milliseconds probe_interval{1000};
// Pause after a refused connection; it doubles up to the longest one. A replica
// that starts again has a new id, mostly, and needs no trial.
constexpr base::milliseconds first_refusal_pause{250};
constexpr base::milliseconds longest_refusal_pause{2000};
constexpr std::uint32_t max_refusal_doublings = 3;
// A replica in another failure domain is chosen when those of the own domain
// have this many more calls in flight: a hop between domains costs a ms, and
// its bytes are charged for.
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

bool replica_picker::is_healthy(const instance& candidate,
                                double fastest_ms,
                                base::time_point now) const {
    const auto found = records_.find(candidate.id_);
    if (found == records_.end()) {
        return true;
    }
    const bool slow =
        found->second.mean_ms_ > fastest_ms * slow_factor + slow_margin_ms;
    return !slow && failure_score(candidate.id_, now) < unhealthy_score;
}

double replica_picker::cost(const instance& candidate,
                            const base::failure_domain& own_domain,
                            base::time_point now) {
    const auto& stats = records_[candidate.id_];
    std::uniform_real_distribution<double> tie_break{0, 0.5};
    const double domain =
        candidate.failure_domain_ == own_domain ? 0 : other_domain_cost;
    const double full =
        stats.full_until_ > now ? static_cast<double>(candidate.slots_) : 0;
    return stats.in_flight_ + domain + full + tie_break(random_);
}

// Response times are compared with that of the fastest replica.
double replica_picker::fastest_mean_ms(
    const std::vector<const instance*>& candidates) const {
    double fastest_ms = 0;
    for (const auto* each : candidates) {
        const auto found = records_.find(each->id_);
        const double mean =
            found != records_.end() ? found->second.mean_ms_ : 0;
        if (mean > 0 && (fastest_ms == 0 || mean < fastest_ms)) {
            fastest_ms = mean;
        }
    }
    return fastest_ms;
}

bool replica_picker::connection_refused(const base::upstream_name& id,
                                        base::time_point now) {
    auto& stats = records_[id];
    const bool known = stats.refusals_ > 0;
    if (known && now < stats.unused_until_) {
        return false;
    }
    const auto doublings = std::min(stats.refusals_, max_refusal_doublings);
    ++stats.refusals_;
    stats.unused_until_ = now + std::min(first_refusal_pause * (1 << doublings),
                                         longest_refusal_pause);
    return !known;
}

bool replica_picker::refuses(const base::upstream_name& id,
                             base::time_point now) const {
    const auto found = records_.find(id);
    return found != records_.end() && found->second.unused_until_ > now;
}

bool replica_picker::is_last_running(
    const std::vector<const instance*>& candidates) const {
    // Also those that are due for a trial: only an answer shows that they run.
    const auto ended =
        std::ranges::count_if(candidates, [&](const instance* each) {
            const auto found = records_.find(each->id_);
            return found != records_.end() && found->second.refusals_ > 0;
        });
    return ended > 0 && std::ssize(candidates) - ended <= 1;
}

bool replica_picker::accepts(const instance& chosen,
                             const std::vector<const instance*>& candidates,
                             base::time_point now) const {
    const auto found = records_.find(chosen.id_);
    const bool full =
        found != records_.end() && found->second.full_until_ > now;
    return !full && !refuses(chosen.id_, now) &&
           is_healthy(chosen, fastest_mean_ms(candidates), now);
}

std::vector<const instance*>
replica_picker::eligible(const std::vector<const instance*>& candidates,
                         const std::set<base::upstream_name>& tried,
                         bool may_repeat,
                         base::time_point now) {
    const double fastest_ms = fastest_mean_ms(candidates);
    std::vector<const instance*> healthy;
    const instance* unhealthy = nullptr;
    for (const auto* each : candidates) {
        if (refuses(each->id_, now) || tried.contains(each->id_)) {
            continue;
        }
        if (is_healthy(*each, fastest_ms, now)) {
            healthy.push_back(each);
            continue;
        }
        auto& stats = records_[each->id_];
        // Only the first call of a request can be a probe: a retry must not go
        // to a replica that is known to fail.
        if (may_repeat && tried.empty() && stats.next_probe_ <= now) {
            stats.next_probe_ = now + probe_interval;
            return {each};
        }
        unhealthy = each;
    }
    if (healthy.empty() && unhealthy != nullptr) {
        healthy.push_back(unhealthy);
    }
    return healthy;
}

const instance*
replica_picker::choose(const std::vector<const instance*>& candidates,
                       const std::set<base::upstream_name>& tried,
                       const base::failure_domain& own_domain,
                       bool may_repeat,
                       base::time_point now) {
    const auto open = eligible(candidates, tried, may_repeat, now);
    const instance* best = nullptr;
    double best_cost = 0;
    for (const auto* each : open) {
        const double each_cost = cost(*each, own_domain, now);
        if (best == nullptr || each_cost < best_cost) {
            best = each;
            best_cost = each_cost;
        }
    }
    return best;
}

void replica_picker::started(const base::upstream_name& id) {
    ++records_[id].in_flight_;
}

void replica_picker::ended(const base::upstream_name& id,
                           call_result result,
                           base::milliseconds duration,
                           base::time_point now) {
    auto& stats = records_[id];
    stats.in_flight_ -= stats.in_flight_ > 0 ? 1 : 0;
    if (result == call_result::abandoned) {
        return;
    }
    stats.refusals_ = 0;
    if (result == call_result::rejected) {
        stats.full_until_ = now + full_backoff;
        return;
    }
    const double failed = result == call_result::failed ? 1 : 0;
    const double before = failure_score(id, now);
    stats.failures_ = before + newest_weight * (failed - before);
    stats.updated_ = now;
    if (stats.failures_ >= unhealthy_score && before < unhealthy_score) {
        stats.next_probe_ = now + probe_interval;
    }
    if (failed == 0) {
        const auto ms = static_cast<double>(duration.count());
        stats.mean_ms_ =
            stats.mean_ms_ == 0
                ? ms
                : stats.mean_ms_ + newest_weight * (ms - stats.mean_ms_);
    }
}

void replica_picker::retain(const std::set<base::upstream_name>& replicas) {
    std::erase_if(records_, [&replicas](const auto& entry) {
        return !replicas.contains(entry.first) && entry.second.in_flight_ == 0;
    });
}

} // namespace pimentoferry::routing
