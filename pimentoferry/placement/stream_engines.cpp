// Engines: forecasts of their memory, the choice among them, failures, and the
// figures for the stage plan and for metrics.

#include "pimentoferry/placement/stream_scheduler.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>

namespace pimentoferry::placement {

namespace {

// The summed forecast of an engine is reused for this time, in which its
// streams grow by a fraction of an event.
constexpr base::milliseconds forecast_validity{20};

// Longest wait of a prompt at a prefill engine, in prompts of mean length: the
// engine has the next prompt when it completes one. Further requests wait in
// the queues of the scheduler, where they keep their order and hold no decode
// memory.
constexpr double max_waiting_prompts = 1.5;

// Stands for no limit, and is finite in a report.
constexpr fractional_ms unlimited_prefill_time{1e6};

// Backoff of an engine that rejected a prompt or did not respond. The engine's
// reports are up to a second old, so an earlier retry has no newer information.
constexpr base::milliseconds failure_backoff{1500};
// The backoff doubles up to 6 s. A crashed engine stays registered for some
// seconds. Without a backoff it would be preferred to all others, because it is
// empty.
constexpr int max_backoff_doublings = 2;

// Order of engines that are equal otherwise. It differs between attempts: when
// several gateways choose without knowing of one another's streams, they must
// not all choose the same engine.
std::uint64_t tie_rank_of(base::attempt_id attempt, std::uint64_t engine_hash) {
    return base::hash_combine(
        base::hash_combine(attempt.instance_.value_, attempt.sequence_),
        engine_hash);
}

} // namespace

const memory_forecast&
stream_scheduler::forecast_of(const engine_state& engine,
                              base::time_point now) const {
    const bool valid =
        engine.forecast_at_ && now - *engine.forecast_at_ < forecast_validity;
    if (!valid) {
        engine.forecast_ = {};
        for (const auto attempt : engine.streams_) {
            const auto forecast = model_.forecast_of(streams_.at(attempt), now);
            for (std::size_t i = 0; i < horizon_count; ++i) {
                engine.forecast_[i].mean_ += forecast[i].mean_;
                engine.forecast_[i].variance_ += forecast[i].variance_;
                engine.forecast_[i].most_ += forecast[i].most_;
            }
        }
        engine.forecast_at_ = now;
    }
    return engine.forecast_;
}

double stream_scheduler::unexplained_tokens(const engine_state& engine,
                                            base::time_point now) const {
    const fractional_ms age = now - engine.unexplained_at_;
    const double left = 1 - age / model_.mean_answer_time(now);
    return engine.unexplained_tokens_ * std::max(0.0, left);
}

double stream_scheduler::free_tokens(const engine_state& engine,
                                     const memory_forecast& added,
                                     double memory_share,
                                     base::time_point now) const {
    const double planned =
        static_cast<double>(engine.engine_.kv_tokens_) * memory_share -
        unexplained_tokens(engine, now);
    const auto& used = forecast_of(engine, now);
    double least = planned;
    for (std::size_t i = 0; i < horizon_count; ++i) {
        const double mean = used[i].mean_ + added[i].mean_;
        const double margin = settings_.reserved_deviations_ *
                              std::sqrt(used[i].variance_ + added[i].variance_);
        const double most = used[i].most_ + added[i].most_;
        least = std::min(least, planned - std::min(mean + margin, most));
    }
    return least;
}

// Chooses the prefill engine that is expected to finish the prompt first. Skips
// an engine with a long wait, and one that is busy and would finish too late. A
// slow engine is thus used only if it still finishes first.
stream_scheduler::engine_state*
stream_scheduler::choose_prefill(const stream_request& request,
                                 base::time_point expires_at,
                                 base::time_point now) {
    engine_state* best = nullptr;
    std::uint64_t best_tie_rank = 0;
    // A transfer between failure domains takes twice as long and is charged
    // for, so an engine in the same domain is preferred if it finishes at most
    // this much later.
    constexpr base::milliseconds other_domain_penalty{20};
    const auto& cost = model_.cost();
    const auto latest_end =
        latest_prefill_end(request, std::max(expires_at, now));
    const auto max_wait = cost.time_of(
        max_waiting_prompts, max_waiting_prompts * model_.mean_prompt_tokens());
    base::time_point best_end;
    for (auto& [id, state] : engines_) {
        if (!state.serves(engine_role::prefill, now) || !may_be_sent(id, now) ||
            std::ranges::count(request.excluded_, id) > 0) {
            continue;
        }
        const auto wait = state.prefill_.wait(cost, now);
        const auto end =
            now + wait +
            state.prefill_.prefill_time(request.prompt_tokens_, cost, now);
        if (wait > max_wait || (end > latest_end && wait.count() > 0)) {
            continue;
        }
        const bool same_domain =
            state.engine_.failure_domain_ == request.failure_domain_;
        const auto rank =
            end + (same_domain ? base::milliseconds{0} : other_domain_penalty);
        const auto tie_rank = tie_rank_of(request.attempt_, state.id_hash_);
        if (best == nullptr ||
            std::tie(rank, tie_rank) < std::tie(best_end, best_tie_rank)) {
            best = &state;
            best_end = rank;
            best_tie_rank = tie_rank;
        }
    }
    return best;
}

// Chooses the decode engine with the most free memory within `limit`, with a
// preference for one failure domain.
stream_scheduler::engine_state*
stream_scheduler::choose_decode(base::attempt_id attempt,
                                const placed_stream& stream,
                                const base::failure_domain& preferred_domain,
                                memory_limit limit,
                                base::time_point now) {
    engine_state* best = nullptr;
    double best_rank = 0;
    std::uint64_t best_tie_rank = 0;
    const auto needed = model_.forecast_of(stream, now);
    for (auto& [id, state] : engines_) {
        if (!state.serves(engine_role::decode, now) || !may_be_sent(id, now) ||
            state.streams_.size() >= state.engine_.slots_ ||
            std::ranges::count(stream.excluded_, id) > 0 ||
            (stream.software_version_ &&
             state.engine_.software_version_ != *stream.software_version_) ||
            (limit.no_prefills_running_ && state.prefill_.prompts() > 0)) {
            continue;
        }
        const double free = free_tokens(state, needed, limit.share_, now);
        if (free < limit.reserve_) {
            continue;
        }
        // A transfer between failure domains costs about as much as half a
        // prompt of free memory.
        const double bonus = state.engine_.failure_domain_ == preferred_domain
                                 ? stream.prompt_tokens_ / 2.0
                                 : 0;
        const double rank = free + bonus;
        const auto tie_rank = tie_rank_of(attempt, state.id_hash_);
        if (best == nullptr ||
            std::tie(rank, tie_rank) > std::tie(best_rank, best_tie_rank)) {
            best = &state;
            best_rank = rank;
            best_tie_rank = tie_rank;
        }
    }
    return best;
}

bool stream_scheduler::may_be_sent(const base::upstream_name& engine,
                                   base::time_point now) const {
    return allowances_ == nullptr || allowances_->available(engine, now);
}

void stream_scheduler::count_request(const base::upstream_name& engine,
                                     base::time_point now) {
    if (allowances_ != nullptr) {
        allowances_->take(engine, now);
    }
}

double stream_scheduler::requests_until(const base::upstream_name& engine,
                                        base::time_point until,
                                        base::time_point now) const {
    return allowances_ == nullptr
               ? std::numeric_limits<double>::infinity()
               : std::max(0.0, allowances_->expected(engine, until, now));
}

bool stream_scheduler::has_engine(engine_role role) const {
    return std::ranges::any_of(engines_, [role](const auto& entry) {
        return entry.second.engine_.role_ == role;
    });
}

bool stream_scheduler::has_decode_engine_for(
    const stream_request& request) const {
    return std::ranges::any_of(engines_, [&request](const auto& entry) {
        const auto& engine = entry.second.engine_;
        return engine.role_ == engine_role::decode &&
               (!request.software_version_ ||
                engine.software_version_ == *request.software_version_);
    });
}

bool stream_scheduler::excludes_all(const stream_request& request,
                                    engine_role role) const {
    return has_engine(role) &&
           std::ranges::all_of(engines_, [&](const auto& entry) {
               return entry.second.engine_.role_ != role ||
                      std::ranges::count(request.excluded_, entry.first) > 0;
           });
}

bool stream_scheduler::fits_any_engine(const stream_request& request) const {
    return std::ranges::any_of(engines_, [&](const auto& entry) {
        const auto& engine = entry.second.engine_;
        return engine.role_ == engine_role::decode &&
               engine.kv_tokens_ > request.prompt_tokens_;
    });
}

// The decode memory in tokens that is expected to be free at `at`.
double stream_scheduler::free_decode_tokens_at(base::time_point at,
                                               base::time_point now) const {
    double room = 0;
    for (const auto& [id, state] : engines_) {
        if (state.serves(engine_role::decode, at)) {
            room += static_cast<double>(state.engine_.kv_tokens_) *
                        settings_.memory_share_ -
                    unexplained_tokens(state, now);
        }
    }
    for (const auto& [id, stream] : streams_) {
        room -= model_.expected_tokens(stream, now, at).mean_;
    }
    return room;
}

double stream_scheduler::free_decode_tokens_of_version(
    const base::software_version& version,
    base::time_point at,
    base::time_point now) const {
    double room = 0;
    for (const auto& [id, state] : engines_) {
        if (!state.serves(engine_role::decode, at) ||
            state.engine_.software_version_ != version) {
            continue;
        }
        room += static_cast<double>(state.engine_.kv_tokens_) *
                    settings_.memory_share_ -
                unexplained_tokens(state, now);
        for (const auto attempt : state.streams_) {
            room -= model_.expected_tokens(streams_.at(attempt), now, at).mean_;
        }
    }
    return room;
}

double stream_scheduler::withheld_decode_tokens_at(base::time_point at,
                                                   base::time_point now) const {
    double withheld = 0;
    for (const auto& [id, state] : engines_) {
        const double requests = requests_until(id, at, now);
        if (!std::isfinite(requests) ||
            !state.serves(engine_role::decode, at)) {
            continue;
        }
        double free = static_cast<double>(state.engine_.kv_tokens_) *
                          settings_.memory_share_ -
                      unexplained_tokens(state, now);
        for (const auto attempt : state.streams_) {
            free -= model_.expected_tokens(streams_.at(attempt), now, at).mean_;
        }
        withheld +=
            std::max(0.0, free - requests * model_.mean_prompt_tokens());
    }
    return withheld;
}

base::time_point
stream_scheduler::latest_prefill_end(const stream_request& request,
                                     base::time_point latest_start) const {
    return latest_start + model_.prefill_time(request.prompt_tokens_);
}

stream_scheduler::prefill_time
stream_scheduler::free_prefill_time_until(base::time_point end,
                                          base::time_point now) const {
    if (!has_engine(engine_role::prefill)) {
        // The decode engines prefill, which their memory limits first.
        return {unlimited_prefill_time, {}};
    }
    prefill_time total;
    const auto prompt_time =
        model_.cost().time_of(1, model_.mean_prompt_tokens());
    for (const auto& [id, state] : engines_) {
        if (!state.serves(engine_role::prefill, end)) {
            continue;
        }
        const auto free_at =
            std::max({now + state.prefill_.wait(model_.cost(), now),
                      state.failed_until_, state.changing_until_});
        const fractional_ms free =
            (std::max(end, free_at) - free_at) * state.prefill_.speed(now);
        const fractional_ms usable =
            std::min(free, prompt_time * requests_until(id, end, now));
        total.free_ += usable;
        total.withheld_ += free - usable;
    }
    return total;
}

base::milliseconds
stream_scheduler::allowance_wait(const room_report& room) const {
    constexpr base::milliseconds longest_wait{30'000};
    double decodes_per_s = 0;
    double prefills_per_s = 0;
    for (const auto& [id, state] : engines_) {
        const double rate = allowances_->rate(id).value_or(0);
        (state.engine_.role_ == engine_role::decode ? decodes_per_s
                                                    : prefills_per_s) += rate;
    }
    const auto wait = [&](double missing, double per_request, double per_s) {
        constexpr double ms_per_s = 1000;
        const double requests = std::max(0.0, missing) / per_request;
        return base::milliseconds{static_cast<std::int64_t>(
            std::min(requests * ms_per_s / std::max(per_s, 0.001),
                     static_cast<double>(longest_wait.count())))};
    };
    const auto prompt_time =
        model_.cost().time_of(1, model_.mean_prompt_tokens());
    return std::max(
        wait(static_cast<double>(room.needed_decode_tokens_ -
                                 room.free_decode_tokens_),
             model_.mean_prompt_tokens(), decodes_per_s),
        wait(static_cast<double>(
                 (room.needed_prefill_ - room.free_prefill_).count()),
             prompt_time.count(), prefills_per_s));
}

void stream_scheduler::engine_failed(const base::upstream_name& engine,
                                     base::time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        auto& state = found->second;
        // Several requests may report the same failure.
        if (state.failed_until_ <= now) {
            const int doublings =
                std::min(state.failures_++, max_backoff_doublings);
            state.failed_until_ = now + failure_backoff * (1 << doublings);
        }
    }
}

stream_scheduler::engine_state*
stream_scheduler::prefilling_engine(const placed_stream& stream) {
    const auto found = engines_.find(
        stream.prefill_.value_.empty() ? stream.decode_ : stream.prefill_);
    return found != engines_.end() ? &found->second : nullptr;
}

stream_scheduler::decisions
stream_scheduler::set_engines(const std::vector<stream_engine>& engines,
                              base::time_point now) {
    std::set<base::upstream_name> present;
    for (const auto& engine : engines) {
        present.insert(engine.id_);
        const auto [entry, added] = engines_.try_emplace(engine.id_);
        entry->second.engine_ = engine;
        entry->second.id_hash_ = base::hash_bytes(engine.id_.value_);
        if (!added) {
            continue;
        }
        // Streams that were recorded before the engine was added.
        for (const auto& [attempt, stream] : streams_) {
            if (stream.decode_ == engine.id_) {
                entry->second.streams_.insert(attempt);
            }
        }
    }
    std::erase_if(engines_, [&present](const auto& entry) {
        return !present.contains(entry.first);
    });
    for (auto& [id, state] : engines_) {
        state.forecast_at_.reset();
    }
    return dispatch(now);
}

void stream_scheduler::begin_role_change(const base::upstream_name& engine,
                                         engine_role role,
                                         base::time_point until) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.next_role_ = role;
        found->second.changing_until_ = until;
    }
}

// Sets the prefill time at the engines that are not slow, and the shortfall of
// the slow ones. Slow are those below half of the median speed; the highest
// speed of many engines is an outlier of its measurement.
void stream_scheduler::measure_prefill_speeds(stream_demand& demand,
                                              base::time_point now) const {
    std::vector<double> speeds;
    for (const auto& [id, state] : engines_) {
        if (state.engine_.role_ == engine_role::prefill) {
            speeds.push_back(state.prefill_.speed(now));
        }
    }
    demand.prefill_time_ =
        model_.cost().time_of(1, model_.mean_prompt_tokens());
    if (speeds.empty()) {
        return;
    }
    const auto middle = std::next(
        speeds.begin(), static_cast<std::ptrdiff_t>(speeds.size() / 2));
    std::ranges::nth_element(speeds, middle);
    const double slow_limit = *middle / 2;
    const auto slow = std::ranges::partition(
        speeds, [slow_limit](double speed) { return speed >= slow_limit; });
    const auto usual_count = static_cast<double>(speeds.size() - slow.size());
    const double usual_speed =
        std::accumulate(speeds.begin(), slow.begin(), 0.0) / usual_count;
    demand.prefill_time_ /= usual_speed;
    for (const double speed : slow) {
        demand.prefill_shortfall_ += 1 - speed / usual_speed;
    }
}

stream_demand stream_scheduler::demand(base::time_point now) const {
    stream_demand result;
    result.memory_token_ms_ = model_.memory_token_ms(now);
    result.answer_time_ = model_.mean_answer_time(now);
    measure_prefill_speeds(result, now);
    for (const auto& [id, state] : engines_) {
        result.kv_tokens_ = std::max(
            result.kv_tokens_, static_cast<double>(state.engine_.kv_tokens_));
        result.slots_ = std::max(result.slots_, state.engine_.slots_);
    }
    return result;
}

std::vector<planned_engine>
stream_scheduler::planned_engines(base::time_point now) const {
    std::vector<planned_engine> planned;
    std::ranges::transform(
        engines_, std::back_inserter(planned), [this, now](const auto& entry) {
            const auto& state = entry.second;
            const bool changing = state.changing_until_ > now;
            return planned_engine{
                entry.first,
                changing ? state.next_role_ : state.engine_.role_,
                state.engine_.failure_domain_,
                static_cast<std::uint32_t>(state.streams_.size()) +
                    state.prefill_.prompts(),
                state.failed_until_ <= now,
                allowances_ != nullptr ? allowances_->rate(entry.first)
                                       : std::nullopt};
        });
    return planned;
}

stream_usage stream_scheduler::usage(base::time_point now) const {
    stream_usage total;
    total.queued_ = static_cast<std::uint32_t>(
        queue_.size() + late_queue_.size() + resumed_queue_.size());
    total.running_ = static_cast<std::uint32_t>(streams_.size());
    for (const auto& [id, state] : engines_) {
        if (state.engine_.role_ == engine_role::decode) {
            ++total.decode_engines_;
            total.decode_capacity_ += state.engine_.kv_tokens_;
        } else {
            ++total.prefill_engines_;
        }
    }
    for (const auto& [attempt, stream] : streams_) {
        total.decode_tokens_ += static_cast<std::uint64_t>(
            model_.expected_tokens(stream, now, now).mean_);
    }
    return total;
}

} // namespace pimentoferry::placement
