#include "pimentoferry/placement/stream_scheduler.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace pimentoferry::placement {

namespace {

using fractional_ms = std::chrono::duration<double, std::milli>;

// Points in the near future at which the memory of an engine is estimated.
// Answers last some seconds; beyond that the estimate says little.
// How long the sum over the streams of an engine is used; streams grow by a
// fraction of an event in this time.
constexpr base::milliseconds outlook_validity{20};

constexpr std::array<base::milliseconds, 6> horizons{
    base::milliseconds{0},    base::milliseconds{500},
    base::milliseconds{1000}, base::milliseconds{1500},
    base::milliseconds{2000}, base::milliseconds{3000}};

// The median lies below the mean for such a distribution.
constexpr double median_of_mean = 0.9;

// From the end of a prefill to the first event: transfer and one step.
constexpr base::milliseconds first_event_overhead{80};
// Weight of the newest sample in the learned means.
constexpr double newest_weight = 0.05;

// Prompts wait here rather than at a prefill engine: here they keep their
// order, and hold no decode memory meanwhile.
constexpr base::milliseconds prefill_queue{150};

// An engine that rejected or did not answer is left out for this time; its
// reports are up to a second old, so asking earlier tells nothing new.
constexpr base::milliseconds failure_pause{1500};
constexpr base::milliseconds rejection_pause{200};

// While no engine serves, a caller returns when a crashed one may be back.
constexpr base::milliseconds no_engine_return{1500};

// A caller that was refused returns within a third of the time that it has
// left, which is at most some seconds.
constexpr base::milliseconds refusal_memory{15'000};
constexpr std::size_t remembered_refusals = 8192;

// The rate of arrivals is taken over about this time.
constexpr double arrival_window_ms = 1000;

// A stream without an end for this long is forgotten: its gateway may have
// lost the message.
constexpr base::milliseconds longest_stream{60'000};

/// Probability that an answer is longer than `events`. The log-logistic shape
/// with exponent 4 matches a log-normal error of the estimate of 0.45.
double survival(double events, double median) {
    const double ratio = events / median;
    const double squared = ratio * ratio;
    return 1 / (1 + squared * squared);
}

double milliseconds_between(base::time_point from, base::time_point to) {
    return fractional_ms{to - from}.count();
}

} // namespace

stream_scheduler::running_stream
stream_scheduler::describe(const stream_request& wanted,
                           base::time_point now) const {
    running_stream stream;
    stream.prompt_tokens_ = wanted.prompt_tokens_;
    const double per_event = std::max(settings_.tokens_per_event_, 1U);
    stream.max_events_ = std::max(1.0, wanted.max_output_tokens_ / per_event);
    stream.expected_events_ = wanted.expected_output_tokens_ > 0
                                  ? wanted.expected_output_tokens_ / per_event
                                  : mean_events_ * median_of_mean;
    stream.expected_events_ =
        std::clamp(stream.expected_events_, 1.0, stream.max_events_);
    stream.granted_ = now;
    return stream;
}

double stream_scheduler::events_at(const running_stream& stream,
                                   base::time_point at) const {
    const auto expected_start = stream.granted_ +
                                prefill_time(stream.prompt_tokens_) +
                                first_event_overhead;
    const auto start = stream.started_.value_or(expected_start);
    return std::max(0.0, milliseconds_between(start, at) / event_interval_ms_);
}

// Tokens in memory at a later time, weighted with the probability that the
// stream still lasts.
stream_scheduler::estimate
stream_scheduler::expected_tokens(const running_stream& stream,
                                  base::time_point now,
                                  base::time_point at) const {
    const double events_now =
        std::min(events_at(stream, now), stream.max_events_);
    const double events_then = events_at(stream, at);
    if (events_then >= stream.max_events_ && at > now) {
        return {};
    }
    const double events = std::min(events_then, stream.max_events_);
    const double lasting = survival(events, stream.expected_events_) /
                           survival(events_now, stream.expected_events_);
    const double tokens =
        stream.prompt_tokens_ + settings_.tokens_per_event_ * events;
    return {lasting * tokens, lasting * (1 - lasting) * tokens * tokens};
}

stream_scheduler::outlook
stream_scheduler::outlook_of(const running_stream& stream,
                             base::time_point now) const {
    outlook result;
    std::ranges::transform(horizons, result.begin(), [&](auto horizon) {
        return expected_tokens(stream, now, now + horizon);
    });
    return result;
}

const stream_scheduler::outlook&
stream_scheduler::outlook_of(const engine_state& engine,
                             base::time_point now) const {
    const bool valid =
        engine.outlook_at_ && now - *engine.outlook_at_ < outlook_validity;
    if (!valid) {
        engine.outlook_ = {};
        for (const auto attempt : engine.streams_) {
            const auto each = outlook_of(streams_.at(attempt), now);
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
                                     const outlook& wanted,
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

base::milliseconds stream_scheduler::prefill_time(std::uint32_t tokens) const {
    return base::milliseconds{
        static_cast<std::int64_t>(tokens / prefill_rate_)};
}

base::milliseconds
stream_scheduler::answer_time(const running_stream& stream) const {
    return base::milliseconds{static_cast<std::int64_t>(
        stream.expected_events_ * event_interval_ms_)};
}

stream_scheduler::engine_state*
stream_scheduler::choose_prefill(const stream_request& wanted,
                                 base::time_point now) {
    engine_state* best = nullptr;
    // Moving memory between failure domains takes twice as long and is
    // priced, so a near engine may be a little later.
    constexpr base::milliseconds other_domain{20};
    base::time_point best_time;
    for (auto& [id, state] : engines_) {
        if (state.engine_.role_ != engine_role::prefill ||
            state.failed_until_ > now || state.changing_until_ > now) {
            continue;
        }
        const bool near =
            state.engine_.failure_domain_ == wanted.failure_domain_;
        const auto time = std::max(state.prefill_free_, now) +
                          (near ? base::milliseconds{0} : other_domain);
        if (best == nullptr || time < best_time) {
            best = &state;
            best_time = time;
        }
    }
    return best;
}

stream_scheduler::engine_state*
stream_scheduler::choose_decode(const running_stream& wanted,
                                const base::failure_domain& near,
                                memory_limit limit,
                                base::time_point now) {
    engine_state* best = nullptr;
    double best_free = 0;
    const auto needed = outlook_of(wanted, now);
    for (auto& [id, state] : engines_) {
        if (state.engine_.role_ != engine_role::decode ||
            state.failed_until_ > now || state.changing_until_ > now ||
            state.streams_.size() >= state.engine_.slots_) {
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

std::optional<stream_grant>
stream_scheduler::try_grant(const stream_request& wanted,
                            base::time_point expires,
                            double reserve,
                            base::time_point now) {
    auto* prefill = choose_prefill(wanted, now);
    if (prefill == nullptr) {
        // Reading at a decode engine delays all its streams, so a pause of the
        // prefill engines is waited for; without any there is no other way.
        if (has_prefill_engine()) {
            return std::nullopt;
        }
    } else if (prefill->prefill_free_ >
               std::min(expires, now + prefill_queue)) {
        return std::nullopt;
    }
    auto stream = describe(wanted, now);
    const auto& near = prefill != nullptr ? prefill->engine_.failure_domain_
                                          : wanted.failure_domain_;
    auto* decode =
        choose_decode(stream, near, {settings_.memory_share_, reserve}, now);
    if (decode == nullptr) {
        return std::nullopt;
    }
    if (prefill != nullptr) {
        stream.prefill_ = prefill->engine_.id_;
        prefill->prefill_free_ = std::max(prefill->prefill_free_, now) +
                                 prefill_time(wanted.prompt_tokens_);
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{wanted.attempt_, stream.prefill_, stream.decode_};
    add(wanted.attempt_, std::move(stream));
    return grant;
}

bool stream_scheduler::has_prefill_engine() const {
    return std::ranges::any_of(engines_, [](const auto& entry) {
        return entry.second.engine_.role_ == engine_role::prefill;
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
        if (state.engine_.role_ == engine_role::decode &&
            state.failed_until_ <= at && state.changing_until_ <= at) {
            room += static_cast<double>(state.engine_.kv_tokens_) *
                    settings_.memory_share_;
        }
    }
    for (const auto& [id, stream] : streams_) {
        room -= expected_tokens(stream, now, at).mean_;
    }
    return room;
}

// Whether the memory that becomes free in time covers the request and all that
// wait before it.
bool stream_scheduler::on_time_expected(const queued_request& wanted,
                                        base::time_point now) const {
    double demand = wanted.request_.prompt_tokens_;
    for (const auto& waiting : queue_) {
        demand += waiting.request_.prompt_tokens_;
    }
    return room_at(wanted.expires_, now) >= demand;
}

// As above for a late place: requests that arrive in the meantime go first.
bool stream_scheduler::late_expected(const queued_request& wanted,
                                     base::time_point now) const {
    if (wanted.gives_up_ <= now) {
        return false;
    }
    double demand = wanted.request_.prompt_tokens_ +
                    arrival_rate_ * milliseconds_between(now, wanted.gives_up_);
    for (const auto* queue : {&queue_, &late_queue_}) {
        for (const auto& waiting : *queue) {
            demand += waiting.request_.prompt_tokens_;
        }
    }
    return room_at(wanted.gives_up_, now) >= demand;
}

bool stream_scheduler::is_returning(const stream_request& wanted,
                                    base::time_point now) {
    std::erase_if(refused_,
                  [now](const auto& entry) { return entry.second <= now; });
    return wanted.prompt_id_ != 0 && refused_.contains(wanted.prompt_id_);
}

void stream_scheduler::note_arrival(const stream_request& wanted,
                                    base::time_point now) {
    mean_prompt_ += newest_weight * (wanted.prompt_tokens_ - mean_prompt_);
    // The rate decays over about a second, the length of a change of load.
    const double decay =
        std::exp(-milliseconds_between(last_arrival_, now) / arrival_window_ms);
    arrival_rate_ =
        arrival_rate_ * decay + wanted.prompt_tokens_ / arrival_window_ms;
    last_arrival_ = now;
}

base::milliseconds
stream_scheduler::retry_after(base::attempt_id attempt) const {
    const auto spread =
        base::hash_combine(attempt.instance_.value_, attempt.sequence_) %
        static_cast<std::uint64_t>(settings_.return_spread_.count());
    return settings_.earliest_return_ +
           base::milliseconds{static_cast<int>(spread)};
}

stream_refusal stream_scheduler::refuse(const stream_request& wanted,
                                        base::time_point now) {
    if (wanted.prompt_id_ != 0 && refused_.size() < remembered_refusals) {
        refused_[wanted.prompt_id_] = now + refusal_memory;
    }
    const bool any_decode =
        std::ranges::any_of(engines_, [](const auto& entry) {
            return entry.second.engine_.role_ == engine_role::decode;
        });
    if (!any_decode) {
        return {wanted.attempt_, refusal_reason::no_engine, no_engine_return};
    }
    if (!can_ever_serve(wanted)) {
        return {wanted.attempt_, refusal_reason::too_large, {}};
    }
    return {wanted.attempt_, refusal_reason::no_room,
            retry_after(wanted.attempt_)};
}

stream_scheduler::decisions
stream_scheduler::request(const stream_request& wanted, base::time_point now) {
    ++requests_;
    const auto latest_start =
        now - prefill_time(wanted.prompt_tokens_) - first_event_overhead;
    queued_request entry{wanted, latest_start + wanted.budget_,
                         latest_start +
                             std::max(wanted.budget_, wanted.patience_)};
    if (wanted.time_left_ > base::milliseconds{0}) {
        // An answer that would be cut off at its end is not begun.
        const auto complete = latest_start + wanted.time_left_ -
                              answer_time(describe(wanted, now));
        entry.expires_ = std::min(entry.expires_, complete);
        entry.gives_up_ = std::min(entry.gives_up_, complete);
    }
    if (!can_ever_serve(wanted) || entry.gives_up_ < now) {
        return {refuse(wanted, now)};
    }
    if (is_returning(wanted, now) || entry.expires_ < now) {
        return wait_late(entry, now);
    }
    note_arrival(wanted, now);
    if (queue_.empty()) {
        if (auto grant = try_grant(wanted, entry.expires_, 0, now)) {
            return {*grant};
        }
    }
    if (!on_time_expected(entry, now)) {
        return wait_late(entry, now);
    }
    enqueue(queue_, entry);
    return {};
}

// A request that is late anyway: a place now if nobody else needs it, a place
// later if one is expected, or a refusal.
stream_scheduler::decisions
stream_scheduler::wait_late(const queued_request& wanted,
                            base::time_point now) {
    if (queue_.empty() && late_queue_.empty()) {
        const double reserve = settings_.late_reserve_ * mean_prompt_;
        if (auto grant =
                try_grant(wanted.request_, std::max(now, wanted.gives_up_),
                          reserve, now)) {
            return {*grant};
        }
    }
    if (!late_expected(wanted, now)) {
        return {refuse(wanted.request_, now)};
    }
    auto entry = wanted;
    entry.expires_ = wanted.gives_up_;
    enqueue(late_queue_, entry);
    return {};
}

void stream_scheduler::hold(const stream_hold& running, base::time_point now) {
    const auto known = streams_.find(running.attempt_);
    if (known != streams_.end()) {
        auto stream = known->second;
        if (stream.decode_ != running.decode_) {
            stream.decode_ = running.decode_;
            add(running.attempt_, std::move(stream));
        }
        return;
    }
    const stream_request as_request{running.attempt_,
                                    {},
                                    running.prompt_tokens_,
                                    running.max_output_tokens_,
                                    running.expected_output_tokens_,
                                    {}};
    auto stream = describe(as_request, now);
    stream.prefill_ = running.prefill_;
    stream.decode_ = running.decode_;
    stream.prefilling_ = !running.prefilled_;
    if (running.started_) {
        stream.started_ = now - running.running_for_;
    }
    add(running.attempt_, std::move(stream));
}

void stream_scheduler::prefill_finished(base::attempt_id attempt,
                                        base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end() || !found->second.prefilling_) {
        return;
    }
    auto& stream = found->second;
    stream.prefilling_ = false;
    const auto engine = engines_.find(stream.prefill_);
    if (engine == engines_.end()) {
        return;
    }
    auto& state = engine->second;
    // The engine reads one prompt after the other.
    const double took = milliseconds_between(
        std::max(stream.granted_, state.last_prefill_), now);
    state.last_prefill_ = now;
    if (took >= 1) {
        const double rate = stream.prompt_tokens_ / took;
        prefill_rate_ += newest_weight * (rate - prefill_rate_);
    }
}

void stream_scheduler::decode_started(base::attempt_id attempt,
                                      base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end() && !found->second.started_) {
        found->second.started_ = now;
        const auto engine = engines_.find(found->second.decode_);
        if (engine != engines_.end()) {
            engine->second.outlook_at_.reset();
        }
    }
}

stream_scheduler::decisions
stream_scheduler::decode_rejected(base::attempt_id attempt,
                                  base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return {stream_refusal{attempt, refusal_reason::no_room,
                               retry_after(attempt)}};
    }
    auto stream = found->second;
    forget(attempt);
    const auto rejecting = engines_.find(stream.decode_);
    if (rejecting != engines_.end()) {
        auto& pause = rejecting->second.failed_until_;
        pause = std::max(pause, now + rejection_pause);
    }
    const auto prefill = engines_.find(stream.prefill_);
    const auto near = prefill != engines_.end()
                          ? prefill->second.engine_.failure_domain_
                          : base::failure_domain{};
    // The prompt has been read, so the reserve may be used.
    constexpr double whole_memory = 1;
    auto* decode = choose_decode(stream, near, {whole_memory, 0}, now);
    if (decode == nullptr) {
        return {stream_refusal{attempt, refusal_reason::no_room,
                               retry_after(attempt)}};
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{attempt, stream.prefill_, stream.decode_};
    add(attempt, std::move(stream));
    return {grant};
}

void stream_scheduler::engine_failed(const base::upstream_name& engine,
                                     base::time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.failed_until_ = now + failure_pause;
    }
}

void stream_scheduler::add(base::attempt_id attempt, running_stream stream) {
    forget(attempt);
    const auto engine = engines_.find(stream.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.insert(attempt);
        engine->second.outlook_at_.reset();
    }
    streams_.emplace(attempt, std::move(stream));
}

void stream_scheduler::forget(base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return;
    }
    const auto engine = engines_.find(found->second.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.erase(attempt);
        engine->second.outlook_at_.reset();
    }
    streams_.erase(found);
}

// The queue is in the order in which the requests expire. A large prompt takes
// longer to read, so it expires earlier and stands further ahead; it also needs
// more memory of one engine, which takes longer to come free.
void stream_scheduler::enqueue(std::deque<queued_request>& queue,
                               const queued_request& wanted) {
    const auto place = std::ranges::upper_bound(queue, wanted.expires_, {},
                                                &queued_request::expires_);
    queue.insert(place, wanted);
}

stream_scheduler::decisions stream_scheduler::ended(base::attempt_id attempt,
                                                    std::uint32_t events,
                                                    base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end() && events > 1 && found->second.started_) {
        const double interval =
            milliseconds_between(*found->second.started_, now) / events;
        event_interval_ms_ += newest_weight * (interval - event_interval_ms_);
        mean_events_ += newest_weight * (events - mean_events_);
    }
    forget(attempt);
    for (auto* queue : {&queue_, &late_queue_}) {
        std::erase_if(*queue, [attempt](const queued_request& waiting) {
            return waiting.request_.attempt_ == attempt;
        });
    }
    return dispatch(now);
}

stream_scheduler::decisions
stream_scheduler::gateway_lost(base::instance_id gateway,
                               base::time_point now) {
    std::vector<base::attempt_id> lost;
    for (const auto& [attempt, stream] : streams_) {
        if (attempt.instance_ == gateway) {
            lost.push_back(attempt);
        }
    }
    std::ranges::for_each(lost, [this](auto attempt) { forget(attempt); });
    for (auto* queue : {&queue_, &late_queue_}) {
        std::erase_if(*queue, [gateway](const queued_request& waiting) {
            return waiting.request_.attempt_.instance_ == gateway;
        });
    }
    return dispatch(now);
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

stream_scheduler::decisions stream_scheduler::dispatch(base::time_point now) {
    decisions made;
    while (!queue_.empty()) {
        const auto first = queue_.front();
        if (first.expires_ < now) {
            queue_.pop_front();
            const auto decided = wait_late(first, now);
            made.insert(made.end(), decided.begin(), decided.end());
            continue;
        }
        const auto grant = try_grant(first.request_, first.expires_, 0, now);
        if (!grant) {
            break;
        }
        made.emplace_back(*grant);
        queue_.pop_front();
    }
    dispatch_late(made, now);
    return made;
}

void stream_scheduler::dispatch_late(decisions& made, base::time_point now) {
    const double reserve = settings_.late_reserve_ * mean_prompt_;
    while (!late_queue_.empty()) {
        const auto& first = late_queue_.front();
        if (first.expires_ < now) {
            made.emplace_back(refuse(first.request_, now));
            late_queue_.pop_front();
            continue;
        }
        const auto grant =
            queue_.empty()
                ? try_grant(first.request_, first.expires_, reserve, now)
                : std::nullopt;
        if (!grant) {
            break;
        }
        made.emplace_back(*grant);
        late_queue_.pop_front();
    }
}

stream_scheduler::decisions stream_scheduler::tick(base::time_point now) {
    std::vector<base::attempt_id> overdue;
    for (const auto& [attempt, stream] : streams_) {
        if (stream.granted_ + longest_stream < now) {
            overdue.push_back(attempt);
        }
    }
    std::ranges::for_each(overdue, [this](auto attempt) { forget(attempt); });
    return dispatch(now);
}

std::optional<base::time_point> stream_scheduler::next_wakeup() const {
    std::optional<base::time_point> next;
    for (const auto* queue : {&queue_, &late_queue_}) {
        if (!queue->empty()) {
            const auto at = queue->front().expires_;
            next = next ? std::min(*next, at) : at;
        }
    }
    return next;
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

stream_demand stream_scheduler::demand() const {
    stream_demand result;
    result.prompt_tokens_ = mean_prompt_;
    result.prefill_rate_ = prefill_rate_;
    const double mean_tokens =
        mean_prompt_ + settings_.tokens_per_event_ * mean_events_ / 2;
    result.token_ms_ = mean_tokens * mean_events_ * event_interval_ms_;
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
            const auto reading =
                std::max(state.prefill_free_ - now, base::clock::duration{0});
            const auto prompts =
                std::chrono::duration_cast<base::milliseconds>(reading);
            return planned_engine{
                entry.first, changing ? state.next_role_ : state.engine_.role_,
                state.engine_.failure_domain_,
                static_cast<std::uint32_t>(state.streams_.size()) +
                    static_cast<std::uint32_t>(prompts.count())};
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
        total.decode_tokens_ +=
            static_cast<std::uint64_t>(expected_tokens(stream, now, now).mean_);
    }
    return total;
}

} // namespace pimentoferry::placement
