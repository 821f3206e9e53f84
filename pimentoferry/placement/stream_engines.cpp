// The engines: what they hold, which one is chosen, and what is told of them.

#include "pimentoferry/placement/stream_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace pimentoferry::placement {

namespace {

// How long the sum over the streams of an engine is used; streams grow by a
// fraction of an event in this time.
constexpr base::milliseconds outlook_validity{20};

// Prompts wait here rather than at a prefill engine: here they keep their
// order, and hold no decode memory meanwhile.
constexpr base::milliseconds prefill_queue{150};

// An engine that rejected a prompt or did not answer is left out for this
// time; its reports are up to a second old, so asking earlier tells nothing
// new.
constexpr base::milliseconds failure_pause{1500};
// The pause doubles up to 6 s. An engine that crashed stays registered for some
// seconds; it is empty, so without a pause it would be chosen before all
// others.
constexpr int longest_pause_doublings = 2;

} // namespace

const memory_forecast&
stream_scheduler::outlook_of(const engine_state& engine,
                             base::time_point now) const {
    const bool valid =
        engine.outlook_at_ && now - *engine.outlook_at_ < outlook_validity;
    if (!valid) {
        engine.outlook_ = {};
        for (const auto attempt : engine.streams_) {
            const auto each = model_.forecast_of(streams_.at(attempt), now);
            for (std::size_t i = 0; i < horizon_count; ++i) {
                engine.outlook_[i].mean_ += each[i].mean_;
                engine.outlook_[i].variance_ += each[i].variance_;
            }
        }
        engine.outlook_at_ = now;
    }
    return engine.outlook_;
}

double stream_scheduler::free_tokens(const engine_state& engine,
                                     const memory_forecast& wanted,
                                     double memory_share,
                                     base::time_point now) const {
    const double planned =
        static_cast<double>(engine.engine_.kv_tokens_) * memory_share;
    const auto& used = outlook_of(engine, now);
    double least = planned;
    for (std::size_t i = 0; i < horizon_count; ++i) {
        const double mean = used[i].mean_ + wanted[i].mean_;
        const double reserve =
            settings_.deviations_ *
            std::sqrt(used[i].variance_ + wanted[i].variance_);
        least = std::min(least, planned - mean - reserve);
    }
    return least;
}

// The engine that has read the prompt first, if it begins soon and ends in
// time; a slow engine is used only when it is still the earliest.
stream_scheduler::engine_state*
stream_scheduler::choose_prefill(const stream_request& wanted,
                                 base::time_point expires,
                                 base::time_point now) {
    engine_state* best = nullptr;
    // Moving memory between failure domains takes twice as long and is
    // priced, so a near engine may be a little later.
    constexpr base::milliseconds other_domain{20};
    const auto latest_end =
        std::max(expires, now) + model_.prefill_time(wanted.prompt_tokens_);
    base::time_point best_end;
    for (auto& [id, state] : engines_) {
        if (!state.serves(engine_role::prefill, now)) {
            continue;
        }
        const auto wait = state.prefill_.wait(now);
        const auto end =
            now + wait +
            state.prefill_.prefill_time(wanted.prompt_tokens_, now);
        if (wait > prefill_queue || (end > latest_end && wait.count() > 0)) {
            continue;
        }
        const bool near =
            state.engine_.failure_domain_ == wanted.failure_domain_;
        const auto rank = end + (near ? base::milliseconds{0} : other_domain);
        if (best == nullptr || rank < best_end) {
            best = &state;
            best_end = rank;
        }
    }
    return best;
}

stream_scheduler::engine_state*
stream_scheduler::choose_decode(const placed_stream& wanted,
                                const base::failure_domain& near,
                                memory_limit limit,
                                base::time_point now) {
    engine_state* best = nullptr;
    double best_free = 0;
    const auto needed = model_.forecast_of(wanted, now);
    for (auto& [id, state] : engines_) {
        if (!state.serves(engine_role::decode, now) ||
            state.streams_.size() >= state.engine_.slots_ ||
            (limit.not_reading_ && state.prefill_.prompts() > 0)) {
            continue;
        }
        const double free = free_tokens(state, needed, limit.share_, now);
        if (free < limit.reserve_) {
            continue;
        }
        // A move between failure domains costs about as much as half a prompt
        // less of room.
        const double bonus = state.engine_.failure_domain_ == near
                                 ? wanted.prompt_tokens_ / 2.0
                                 : 0;
        if (best == nullptr || free + bonus > best_free) {
            best = &state;
            best_free = free + bonus;
        }
    }
    return best;
}

bool stream_scheduler::has_engine(engine_role role) const {
    return std::ranges::any_of(engines_, [role](const auto& entry) {
        return entry.second.engine_.role_ == role;
    });
}

bool stream_scheduler::can_ever_serve(const stream_request& wanted) const {
    return std::ranges::any_of(engines_, [&](const auto& entry) {
        const auto& engine = entry.second.engine_;
        return engine.role_ == engine_role::decode &&
               engine.kv_tokens_ > wanted.prompt_tokens_;
    });
}

/// Decode memory that is expected to be free at a time.
double stream_scheduler::room_at(base::time_point at,
                                 base::time_point now) const {
    double room = 0;
    for (const auto& [id, state] : engines_) {
        if (state.serves(engine_role::decode, at)) {
            room += static_cast<double>(state.engine_.kv_tokens_) *
                    settings_.memory_share_;
        }
    }
    for (const auto& [id, stream] : streams_) {
        room -= model_.expected_tokens(stream, now, at).mean_;
    }
    return room;
}

void stream_scheduler::engine_failed(const base::upstream_name& engine,
                                     base::time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        auto& state = found->second;
        // Several requests may notice the same failure.
        if (state.failed_until_ <= now) {
            const int doublings =
                std::min(state.failures_++, longest_pause_doublings);
            state.failed_until_ = now + failure_pause * (1 << doublings);
        }
    }
}

stream_scheduler::engine_state*
stream_scheduler::reader_of(const placed_stream& stream) {
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
        if (!added) {
            continue;
        }
        // Streams that were placed before the engine was known here.
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
        state.outlook_at_.reset();
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

// Engines that read at less than half of the best speed count as slow.
void stream_scheduler::measure_prefill(stream_demand& demand,
                                       base::time_point now) const {
    std::vector<double> rates;
    for (const auto& [id, state] : engines_) {
        if (state.engine_.role_ == engine_role::prefill) {
            rates.push_back(state.prefill_.rate(now));
        }
    }
    demand.prefill_rate_ = model_.prefill_rate();
    if (rates.empty()) {
        return;
    }
    const double limit = std::ranges::max(rates) / 2;
    const auto slow = std::ranges::partition(
        rates, [limit](double rate) { return rate >= limit; });
    const auto usual = static_cast<double>(rates.size() - slow.size());
    demand.prefill_rate_ =
        std::accumulate(rates.begin(), slow.begin(), 0.0) / usual;
    for (const double rate : slow) {
        demand.prefill_shortfall_ += 1 - rate / demand.prefill_rate_;
    }
}

stream_demand stream_scheduler::demand(base::time_point now) const {
    stream_demand result;
    result.prompt_tokens_ = model_.mean_prompt_tokens();
    result.memory_token_ms_ = model_.memory_token_ms();
    measure_prefill(result, now);
    for (const auto& [id, state] : engines_) {
        result.kv_tokens_ = std::max(
            result.kv_tokens_, static_cast<double>(state.engine_.kv_tokens_));
    }
    return result;
}

std::vector<planned_engine>
stream_scheduler::planned_engines(base::time_point now) const {
    std::vector<planned_engine> planned;
    std::ranges::transform(
        engines_, std::back_inserter(planned), [now](const auto& entry) {
            const auto& state = entry.second;
            const bool changing = state.changing_until_ > now;
            return planned_engine{
                entry.first, changing ? state.next_role_ : state.engine_.role_,
                state.engine_.failure_domain_,
                static_cast<std::uint32_t>(state.streams_.size()) +
                    state.prefill_.prompts()};
        });
    return planned;
}

stream_usage stream_scheduler::usage(base::time_point now) const {
    stream_usage total;
    total.queued_ =
        static_cast<std::uint32_t>(queue_.size() + late_queue_.size());
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
