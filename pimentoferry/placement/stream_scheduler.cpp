// Requests, places and the two queues.

#include "pimentoferry/placement/stream_scheduler.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::placement {

namespace {

// A decode engine that is full is left out for this time.
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
    auto stream = model_.make_stream(wanted, now);
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

// Whether the memory that becomes free in time covers the request and all that
// wait before it.
bool stream_scheduler::on_time_expected(const queued_request& wanted,
                                        base::time_point now) const {
    const auto demand = static_cast<double>(wanted.request_.prompt_tokens_ +
                                            queue_.prompt_tokens());
    return room_at(wanted.expires_at_, now) >= demand;
}

// As above for a late place: requests that arrive in the meantime go first.
bool stream_scheduler::late_expected(const queued_request& wanted,
                                     base::time_point now) const {
    if (wanted.gives_up_at_ <= now) {
        return false;
    }
    const double arriving =
        model_.arrival_rate() * milliseconds_between(now, wanted.gives_up_at_);
    const auto waiting = static_cast<double>(queue_.prompt_tokens() +
                                             late_queue_.prompt_tokens());
    const double demand = wanted.request_.prompt_tokens_ + arriving + waiting;
    return room_at(wanted.gives_up_at_, now) >= demand;
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
        const auto complete =
            latest_start + wanted.time_left_ -
            model_.answer_time(model_.make_stream(wanted, now));
        entry.expires_at_ = std::min(entry.expires_at_, complete);
        entry.gives_up_at_ = std::min(entry.gives_up_at_, complete);
    }
    if (!can_ever_serve(wanted) || entry.gives_up_at_ < now) {
        return {refuse(wanted, now)};
    }
    if (refused_.contains(wanted.prompt_id_, now) || entry.expires_at_ < now) {
        return wait_late(entry, now);
    }
    model_.observe_arrival(wanted.prompt_tokens_, now);
    if (queue_.empty()) {
        if (auto grant = try_grant(wanted, entry.expires_at_, 0, now)) {
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
        const double reserve =
            settings_.late_reserve_ * model_.mean_prompt_tokens();
        if (auto grant =
                try_grant(wanted.request_, std::max(now, wanted.gives_up_at_),
                          reserve, now)) {
            return {*grant};
        }
    }
    if (!late_expected(wanted, now)) {
        return {refuse(wanted.request_, now)};
    }
    auto entry = wanted;
    entry.expires_at_ = wanted.gives_up_at_;
    late_queue_.insert(entry);
    return {};
}

void stream_scheduler::stream_announced(const stream_announcement& running,
                                        base::time_point now) {
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
    auto stream = model_.make_stream(as_request, now);
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
        reader->failures_ = 0;
        reader->prefill_.finish(stream.prompt_tokens_, now);
        if (!stream.prefill_.value_.empty()) {
            model_.observe_prefill(reader->prefill_.rate(now));
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
            engine->second.failures_ = 0;
        }
    }
}

stream_scheduler::decisions stream_scheduler::decode_rejected(
    base::attempt_id attempt, decode_rejection reason, base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return {stream_refusal{attempt, refusal_reason::no_room,
                               retry_after(attempt)}};
    }
    auto stream = found->second;
    forget(attempt, now);
    const auto rejecting = engines_.find(stream.decode_);
    if (reason == decode_rejection::unreachable) {
        engine_failed(stream.decode_, now);
    } else if (rejecting != engines_.end()) {
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
        model_.observe_answer(found->second, events, now);
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

stream_scheduler::decisions stream_scheduler::dispatch(base::time_point now) {
    decisions made;
    while (!queue_.empty()) {
        const auto first = queue_.front();
        if (first.expires_at_ < now) {
            queue_.pop_front();
            const auto decided = wait_late(first, now);
            made.insert(made.end(), decided.begin(), decided.end());
            continue;
        }
        const auto grant = try_grant(first.request_, first.expires_at_, 0, now);
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
    const double reserve =
        settings_.late_reserve_ * model_.mean_prompt_tokens();
    while (!late_queue_.empty()) {
        const auto& first = late_queue_.front();
        if (first.expires_at_ < now) {
            made.emplace_back(refuse(first.request_, now));
            late_queue_.pop_front();
            continue;
        }
        const auto grant =
            queue_.empty()
                ? try_grant(first.request_, first.expires_at_, reserve, now)
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

} // namespace pimentoferry::placement
