#include "pimentoferry/placement/stream_scheduler.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

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

// An engine that rejected or did not answer is left out for this time; its
// reports are up to a second old, so asking earlier tells nothing new.
constexpr base::milliseconds failure_pause{1500};
constexpr base::milliseconds rejection_pause{200};

// While no engine serves, a caller returns when a crashed one may be back.
constexpr base::milliseconds no_engine_return{1500};

// A stream without an end for this long is forgotten: its gateway may have
// lost the message.
constexpr base::milliseconds longest_stream{60'000};

double milliseconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void stream_scheduler::configure(const stream_settings& settings) {
    settings_ = settings;
    model_.set_tokens_per_event(settings.tokens_per_event_);
}

const memory_outlook& stream_scheduler::outlook_of(const engine_state& engine,
                                                   base::time_point now) const {
    const bool valid =
        engine.outlook_at_ && now - *engine.outlook_at_ < outlook_validity;
    if (!valid) {
        engine.outlook_ = {};
        for (const auto attempt : engine.streams_) {
            const auto each = model_.outlook_of(streams_.at(attempt), now);
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
                                     const memory_outlook& wanted,
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
            now + wait + state.prefill_.read_time(wanted.prompt_tokens_, now);
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
    const auto needed = model_.outlook_of(wanted, now);
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

std::optional<stream_grant>
stream_scheduler::try_grant(const stream_request& wanted,
                            base::time_point expires,
                            double reserve,
                            base::time_point now) {
    auto* prefill = choose_prefill(wanted, expires, now);
    // Reading at a decode engine delays all its streams, so prefill engines
    // that are busy are waited for; without any there is no other way.
    if (prefill == nullptr && has_engine(engine_role::prefill)) {
        return std::nullopt;
    }
    auto stream = model_.describe(wanted, now);
    const auto& near = prefill != nullptr ? prefill->engine_.failure_domain_
                                          : wanted.failure_domain_;
    auto* decode = choose_decode(
        stream, near, {settings_.memory_share_, reserve, prefill == nullptr},
        now);
    if (decode == nullptr) {
        return std::nullopt;
    }
    if (prefill != nullptr) {
        stream.prefill_ = prefill->engine_.id_;
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{wanted.attempt_, stream.prefill_, stream.decode_};
    add(wanted.attempt_, std::move(stream), now);
    return grant;
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

// Whether the memory that becomes free in time covers the request and all that
// wait before it.
bool stream_scheduler::on_time_expected(const queued_request& wanted,
                                        base::time_point now) const {
    const auto demand = static_cast<double>(wanted.request_.prompt_tokens_ +
                                            queue_.prompt_tokens());
    return room_at(wanted.expires_, now) >= demand;
}

// As above for a late place: requests that arrive in the meantime go first.
bool stream_scheduler::late_expected(const queued_request& wanted,
                                     base::time_point now) const {
    if (wanted.gives_up_ <= now) {
        return false;
    }
    const double arriving =
        model_.arrival_rate() * milliseconds_between(now, wanted.gives_up_);
    const auto waiting = static_cast<double>(queue_.prompt_tokens() +
                                             late_queue_.prompt_tokens());
    const double demand = wanted.request_.prompt_tokens_ + arriving + waiting;
    return room_at(wanted.gives_up_, now) >= demand;
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
    refused_.add(wanted.prompt_id_, now);
    if (!has_engine(engine_role::decode)) {
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
        now - model_.first_event_time(wanted.prompt_tokens_);
    queued_request entry{wanted, latest_start + wanted.budget_,
                         latest_start +
                             std::max(wanted.budget_, wanted.patience_)};
    if (wanted.time_left_ > base::milliseconds{0}) {
        // An answer that would be cut off at its end is not begun.
        const auto complete = latest_start + wanted.time_left_ -
                              model_.answer_time(model_.describe(wanted, now));
        entry.expires_ = std::min(entry.expires_, complete);
        entry.gives_up_ = std::min(entry.gives_up_, complete);
    }
    if (!can_ever_serve(wanted) || entry.gives_up_ < now) {
        return {refuse(wanted, now)};
    }
    if (refused_.contains(wanted.prompt_id_, now) || entry.expires_ < now) {
        return wait_late(entry, now);
    }
    model_.note_arrival(wanted.prompt_tokens_, now);
    if (queue_.empty()) {
        if (auto grant = try_grant(wanted, entry.expires_, 0, now)) {
            return {*grant};
        }
    }
    if (!on_time_expected(entry, now)) {
        return wait_late(entry, now);
    }
    queue_.insert(entry);
    return {};
}

// A request that is late anyway: a place now if nobody else needs it, a place
// later if one is expected, or a refusal.
stream_scheduler::decisions
stream_scheduler::wait_late(const queued_request& wanted,
                            base::time_point now) {
    if (queue_.empty() && late_queue_.empty()) {
        const double reserve = settings_.late_reserve_ * model_.mean_prompt();
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
    late_queue_.insert(entry);
    return {};
}

void stream_scheduler::hold(const stream_hold& running, base::time_point now) {
    const auto known = streams_.find(running.attempt_);
    if (known != streams_.end()) {
        auto stream = known->second;
        if (stream.decode_ != running.decode_) {
            stream.decode_ = running.decode_;
            add(running.attempt_, std::move(stream), now);
        }
        return;
    }
    const stream_request as_request{running.attempt_,
                                    {},
                                    running.prompt_tokens_,
                                    running.max_output_tokens_,
                                    running.expected_output_tokens_,
                                    {}};
    auto stream = model_.describe(as_request, now);
    stream.prefill_ = running.prefill_;
    stream.decode_ = running.decode_;
    stream.prefilling_ = !running.prefilled_;
    if (running.started_) {
        stream.started_ = now - running.running_for_;
    }

    add(running.attempt_, std::move(stream), now);
}

void stream_scheduler::prefill_finished(base::attempt_id attempt,
                                        base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end() || !found->second.prefilling_) {
        return;
    }
    auto& stream = found->second;
    stream.prefilling_ = false;
    if (auto* reader = reader_of(stream)) {
        reader->prefill_.finish(stream.prompt_tokens_, now);
        if (!stream.prefill_.value_.empty()) {
            model_.note_prefill(reader->prefill_.rate(now));
        }
    }
}

void stream_scheduler::decode_started(base::attempt_id attempt,
                                      base::time_point now) {
    prefill_finished(attempt, now);
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
    forget(attempt, now);
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
    auto* decode = choose_decode(
        stream, near, {whole_memory, 0, stream.prefill_.value_.empty()}, now);
    if (decode == nullptr) {
        return {stream_refusal{attempt, refusal_reason::no_room,
                               retry_after(attempt)}};
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{attempt, stream.prefill_, stream.decode_};
    add(attempt, std::move(stream), now);
    return {grant};
}

void stream_scheduler::engine_failed(const base::upstream_name& engine,
                                     base::time_point now) {
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.failed_until_ = now + failure_pause;
    }
}

stream_scheduler::engine_state*
stream_scheduler::reader_of(const placed_stream& stream) {
    const auto found = engines_.find(
        stream.prefill_.value_.empty() ? stream.decode_ : stream.prefill_);
    return found != engines_.end() ? &found->second : nullptr;
}

void stream_scheduler::add(base::attempt_id attempt,
                           placed_stream stream,
                           base::time_point now) {
    forget(attempt, now);
    const auto engine = engines_.find(stream.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.insert(attempt);
        engine->second.outlook_at_.reset();
    }
    auto* reader = reader_of(stream);
    if (stream.prefilling_ && reader != nullptr) {
        reader->prefill_.begin(stream.prompt_tokens_, now);
    }
    streams_.emplace(attempt, std::move(stream));
}

void stream_scheduler::forget(base::attempt_id attempt, base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return;
    }
    const auto engine = engines_.find(found->second.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.erase(attempt);
        engine->second.outlook_at_.reset();
    }
    auto* reader = reader_of(found->second);
    if (found->second.prefilling_ && reader != nullptr) {
        reader->prefill_.abandon(found->second.prompt_tokens_, now);
    }
    streams_.erase(found);
}

stream_scheduler::decisions stream_scheduler::ended(base::attempt_id attempt,
                                                    std::uint32_t events,
                                                    base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        model_.note_answer(found->second, events, now);
    }
    forget(attempt, now);
    for (auto* queue : {&queue_, &late_queue_}) {
        queue->erase_if([attempt](const stream_request& waiting) {
            return waiting.attempt_ == attempt;
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
    std::ranges::for_each(lost,
                          [this, now](auto attempt) { forget(attempt, now); });
    for (auto* queue : {&queue_, &late_queue_}) {
        queue->erase_if([gateway](const stream_request& waiting) {
            return waiting.attempt_.instance_ == gateway;
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
    const double reserve = settings_.late_reserve_ * model_.mean_prompt();
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
    std::ranges::for_each(overdue,
                          [this, now](auto attempt) { forget(attempt, now); });
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
        demand.missing_prefill_ += 1 - rate / demand.prefill_rate_;
    }
}

stream_demand stream_scheduler::demand(base::time_point now) const {
    stream_demand result;
    result.prompt_tokens_ = model_.mean_prompt();
    result.token_ms_ = model_.token_ms();
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
