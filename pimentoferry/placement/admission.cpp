#include "pimentoferry/placement/admission.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace pimentoferry::placement {

namespace {

// Half of the weight is on the last 140 decodes, which is the last 7 s at about
// 20 requests a second.
constexpr double decode_decay = 0.995;
// Half of the weight is on the last 70 arrivals.
constexpr double arrival_gain = 0.01;
constexpr double max_gap_ms = 5'000;
constexpr double min_spare_share = 0.02;
constexpr double min_deviations = 0.5;
constexpr double deviations_per_weight = 2.5;
constexpr std::chrono::seconds usage_half_life{8};
// Fair shares are enforced while the spare share of the cell is at most this.
constexpr double contended_share = 0.05;
// Lower bound, so that engines stay busy while no other caller is waiting.
constexpr double min_wait_share = 0.35;
constexpr double min_retry_ms = 100;
constexpr double max_retry_ms = 30'000;

} // namespace

void admission::record_decode_time(double running, double elapsed_ms) {
    decode_time_ms_ += running * elapsed_ms;
}

void admission::record_decode_end() {
    decode_ends_ = decode_ends_ * decode_decay + 1;
    decode_time_ms_ *= decode_decay;
}

double admission::mean_decode_ms() const {
    return std::max(decode_time_ms_ / decode_ends_, 1.0);
}

std::uint32_t admission::freed_slots_lower_bound(double running,
                                                 double horizon_ms,
                                                 double weight) const {
    if (weight >= 1 || horizon_ms <= 0) {
        return 0;
    }
    const double mean = running * horizon_ms / mean_decode_ms();
    const double deviations = min_deviations + deviations_per_weight * weight;
    const double bound = mean - deviations * std::sqrt(mean);
    return static_cast<std::uint32_t>(std::clamp(bound, 0.0, running));
}

void admission::record_arrival(double tokens, base::time_point now) {
    const std::chrono::duration<double, std::milli> gap = now - last_arrival_;
    last_arrival_ = now;
    const double limited = std::min(gap.count(), max_gap_ms);
    arrival_gap_ms_ += arrival_gain * (limited - arrival_gap_ms_);
    arrival_tokens_ += arrival_gain * (tokens - arrival_tokens_);
}

double admission::spare_share(const cell_capacity& capacity) const {
    const double slots = std::max<double>(capacity.decode_slots_, 1);
    const double engines = std::max<double>(capacity.prefill_engines_, 1);
    const double decode_ms = mean_decode_ms() / slots;
    const double prefill_ms =
        arrival_tokens_ * capacity.prefill_token_ms_ / engines;
    const double used =
        std::max(decode_ms, prefill_ms) / std::max(arrival_gap_ms_, 0.01);
    return std::clamp(1 - used, min_spare_share, 1.0);
}

double admission::queue_wait_ms(const work_ahead& ahead,
                                const cell_capacity& capacity) const {
    const double engines = std::max<double>(capacity.prefill_engines_, 1);
    const double prefill_wait =
        capacity.prefill_backlog_ms_ +
        ahead.tokens_ * capacity.prefill_token_ms_ / engines;
    const double missing_slots =
        ahead.requests_ + 1 - capacity.free_decode_slots_;
    const double slots = std::max<double>(capacity.decode_slots_, 1);
    const double decode_wait =
        std::max(missing_slots, 0.0) * mean_decode_ms() / slots;
    return std::max(prefill_wait, decode_wait);
}

double admission::decayed(const decayed_tokens& r, base::time_point now) {
    const std::chrono::duration<double> age = now - r.as_of_;
    return r.tokens_ * std::exp2(-age / usage_half_life);
}

void admission::add(decayed_tokens& r, double tokens, base::time_point now) {
    r.tokens_ = decayed(r, now) + tokens;
    r.as_of_ = now;
}

void admission::record_grant(const base::caller_name& caller,
                             double tokens,
                             base::time_point now) {
    if (now >= next_cleanup_) {
        next_cleanup_ = now + usage_half_life;
        std::erase_if(usage_, [now](const auto& entry) {
            return entry.second.as_of_ + 4 * usage_half_life < now;
        });
    }
    add(usage_[caller], tokens, now);
    add(total_usage_, tokens, now);
}

double admission::wait_share(const base::caller_name& caller,
                             const cell_capacity& capacity,
                             base::time_point now) const {
    const auto found = usage_.find(caller);
    if (found == usage_.end() || spare_share(capacity) > contended_share) {
        return 1;
    }
    const double equal =
        decayed(total_usage_, now) / static_cast<double>(usage_.size());
    const double own = decayed(found->second, now);
    return own <= equal ? 1 : std::max(equal / own, min_wait_share);
}

base::milliseconds admission::retry_after(double excess_ms) {
    const double wait = std::clamp(excess_ms, min_retry_ms, max_retry_ms);
    return base::milliseconds{static_cast<std::int64_t>(wait)};
}

} // namespace pimentoferry::placement
