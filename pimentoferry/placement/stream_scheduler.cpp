// Requests, streams and the two queues.

#include "pimentoferry/placement/stream_scheduler.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <set>

namespace pimentoferry::placement {

namespace {

// A decode engine that rejected a stream because it is full receives no other
// stream for this time.
constexpr base::milliseconds rejection_backoff{200};

// Retry delay while there is no decode engine: a crashed one may have restarted
// by then.
constexpr base::milliseconds no_engine_retry_after{1500};

// A stream whose end is not reported within this time is removed: the message
// of its gateway may have been lost.
constexpr base::milliseconds max_stream_duration{60'000};

double milliseconds_between(base::time_point from, base::time_point to) {
    return std::chrono::duration<double, std::milli>(to - from).count();
}

} // namespace

void stream_scheduler::configure(const stream_settings& settings) {
    settings_ = settings;
    model_.set_tokens_per_event(settings.tokens_per_event_);
}

std::optional<stream_grant>
stream_scheduler::try_grant(const stream_request& request,
                            base::time_point expires_at,
                            double reserve,
                            base::time_point now) {
    auto* prefill = choose_prefill(request, expires_at, now);
    // A prefill at a decode engine delays all streams of that engine, so a
    // request waits for a busy prefill engine. Decode engines run prefills only
    // if there is no prefill engine.
    if (prefill == nullptr && has_engine(engine_role::prefill)) {
        return std::nullopt;
    }
    auto stream = model_.make_stream(request, now);
    const auto& preferred_domain = prefill != nullptr
                                       ? prefill->engine_.failure_domain_
                                       : request.failure_domain_;
    auto* decode = choose_decode(
        stream, preferred_domain,
        {settings_.memory_share_, reserve, prefill == nullptr}, now);
    if (decode == nullptr) {
        return std::nullopt;
    }
    if (prefill != nullptr) {
        stream.prefill_ = prefill->engine_.id_;
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{request.attempt_, stream.prefill_, stream.decode_};
    add_stream(request.attempt_, std::move(stream), now);
    return grant;
}

// Whether the decode memory that is expected to be free at the deadline covers
// the request and all requests in the queue.
bool stream_scheduler::can_meet_deadline(const queued_request& queued,
                                         base::time_point now) const {
    const auto demand = static_cast<double>(queued.request_.prompt_tokens_ +
                                            queue_.prompt_tokens());
    return free_decode_tokens_at(queued.expires_at_, now) >= demand;
}

// Whether the decode memory that is expected to be free when the caller gives
// up covers the request, both queues and the requests that arrive in the
// meantime, which go first.
bool stream_scheduler::can_serve_late(const queued_request& queued,
                                      base::time_point now) const {
    if (queued.gives_up_at_ <= now) {
        return false;
    }
    const double arriving =
        model_.arrival_rate() * milliseconds_between(now, queued.gives_up_at_);
    const auto waiting = static_cast<double>(queue_.prompt_tokens() +
                                             late_queue_.prompt_tokens());
    const double demand = queued.request_.prompt_tokens_ + arriving + waiting;
    return free_decode_tokens_at(queued.gives_up_at_, now) >= demand;
}

base::milliseconds
stream_scheduler::retry_after(base::attempt_id attempt) const {
    const auto spread =
        base::hash_combine(attempt.instance_.value_, attempt.sequence_) %
        static_cast<std::uint64_t>(settings_.retry_after_spread_.count());
    return settings_.min_retry_after_ +
           base::milliseconds{static_cast<int>(spread)};
}

stream_refusal stream_scheduler::refuse(const stream_request& request,
                                        base::time_point now) {
    refused_.add(request.prompt_id_, now);
    if (!has_engine(engine_role::decode)) {
        return {request.attempt_, refusal_reason::no_engine,
                no_engine_retry_after};
    }
    if (!fits_any_engine(request)) {
        return {request.attempt_, refusal_reason::too_large, {}};
    }
    return {request.attempt_, refusal_reason::no_room,
            retry_after(request.attempt_)};
}

stream_scheduler::decisions
stream_scheduler::request(const stream_request& request, base::time_point now) {
    ++requests_;
    const auto latest_start =
        now - model_.first_event_time(request.prompt_tokens_);
    queued_request queued{request, latest_start + request.budget_,
                          latest_start +
                              std::max(request.budget_, request.patience_)};
    if (request.time_left_ > base::milliseconds{0}) {
        // A request whose answer would be cut off by its time limit is not
        // started.
        const auto complete =
            latest_start + request.time_left_ -
            model_.answer_time(model_.make_stream(request, now));
        queued.expires_at_ = std::min(queued.expires_at_, complete);
        queued.gives_up_at_ = std::min(queued.gives_up_at_, complete);
    }
    if (!fits_any_engine(request) || queued.gives_up_at_ < now) {
        return {refuse(request, now)};
    }
    if (refused_.contains(request.prompt_id_, now) ||
        queued.expires_at_ < now) {
        return handle_late_request(queued, now);
    }
    model_.observe_arrival(request.prompt_tokens_, now);
    if (queue_.empty()) {
        if (auto grant = try_grant(request, queued.expires_at_, 0, now)) {
            return {*grant};
        }
    }
    if (!can_meet_deadline(queued, now)) {
        return handle_late_request(queued, now);
    }
    queue_.insert(queued);
    return {};
}

// Decides on a request that will miss its first-event deadline: grants it if no
// other request waits and memory is free, queues it if memory is expected to
// become free in time, and refuses it otherwise.
stream_scheduler::decisions
stream_scheduler::handle_late_request(const queued_request& queued,
                                      base::time_point now) {
    if (queue_.empty() && late_queue_.empty()) {
        const double reserve =
            settings_.late_reserve_prompts_ * model_.mean_prompt_tokens();
        if (auto grant =
                try_grant(queued.request_, std::max(now, queued.gives_up_at_),
                          reserve, now)) {
            return {*grant};
        }
    }
    if (!can_serve_late(queued, now)) {
        return {refuse(queued.request_, now)};
    }
    auto late = queued;
    late.expires_at_ = queued.gives_up_at_;
    late_queue_.insert(late);
    return {};
}

void stream_scheduler::stream_announced(const stream_announcement& announcement,
                                        base::time_point now) {
    const auto recorded = streams_.find(announcement.attempt_);
    if (recorded != streams_.end()) {
        auto stream = recorded->second;
        if (stream.decode_ != announcement.decode_) {
            stream.decode_ = announcement.decode_;
            add_stream(announcement.attempt_, std::move(stream), now);
        }
        return;
    }
    const stream_request request{announcement.attempt_,
                                 {},
                                 announcement.prompt_tokens_,
                                 announcement.max_output_tokens_,
                                 announcement.expected_output_tokens_,
                                 {}};
    auto stream = model_.make_stream(request, now);
    stream.prefill_ = announcement.prefill_;
    stream.decode_ = announcement.decode_;
    stream.prefilling_ = !announcement.prefilled_;
    if (announcement.started_) {
        stream.started_ = now - announcement.running_for_;
    }

    add_stream(announcement.attempt_, std::move(stream), now);
}

void stream_scheduler::prefill_finished(base::attempt_id attempt,
                                        base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end() || !found->second.prefilling_) {
        return;
    }
    auto& stream = found->second;
    stream.prefilling_ = false;
    if (auto* prefilling = prefilling_engine(stream)) {
        prefilling->failures_ = 0;
        prefilling->prefill_.finish(stream.prompt_tokens_, now);
        if (!stream.prefill_.value_.empty()) {
            model_.observe_prefill(prefilling->prefill_.rate(now));
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
            engine->second.forecast_at_.reset();
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
    remove_stream(attempt, now);
    const auto rejecting = engines_.find(stream.decode_);
    if (reason == decode_rejection::unreachable) {
        engine_failed(stream.decode_, now);
    } else if (rejecting != engines_.end()) {
        auto& excluded_until = rejecting->second.failed_until_;
        excluded_until = std::max(excluded_until, now + rejection_backoff);
    }
    const auto prefill = engines_.find(stream.prefill_);
    const auto preferred_domain = prefill != engines_.end()
                                      ? prefill->second.engine_.failure_domain_
                                      : base::failure_domain{};
    // The prefill has been done, so the memory that grants keep free may be
    // used.
    constexpr double whole_memory = 1;
    auto* decode =
        choose_decode(stream, preferred_domain,
                      {whole_memory, 0, stream.prefill_.value_.empty()}, now);
    if (decode == nullptr) {
        return {stream_refusal{attempt, refusal_reason::no_room,
                               retry_after(attempt)}};
    }
    stream.decode_ = decode->engine_.id_;
    stream_grant grant{attempt, stream.prefill_, stream.decode_};
    add_stream(attempt, std::move(stream), now);
    return {grant};
}

void stream_scheduler::add_stream(base::attempt_id attempt,
                                  placed_stream stream,
                                  base::time_point now) {
    remove_stream(attempt, now);
    const auto engine = engines_.find(stream.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.insert(attempt);
        engine->second.forecast_at_.reset();
    }
    auto* prefilling = prefilling_engine(stream);
    if (stream.prefilling_ && prefilling != nullptr) {
        prefilling->prefill_.begin(stream.prompt_tokens_, now);
    }
    streams_.emplace(attempt, std::move(stream));
}

void stream_scheduler::remove_stream(base::attempt_id attempt,
                                     base::time_point now) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return;
    }
    const auto engine = engines_.find(found->second.decode_);
    if (engine != engines_.end()) {
        engine->second.streams_.erase(attempt);
        engine->second.forecast_at_.reset();
    }
    auto* prefilling = prefilling_engine(found->second);
    if (found->second.prefilling_ && prefilling != nullptr) {
        prefilling->prefill_.abandon(found->second.prompt_tokens_, now);
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
    remove_stream(attempt, now);
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
    std::ranges::for_each(
        lost, [this, now](auto attempt) { remove_stream(attempt, now); });
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
            const auto decided = handle_late_request(first, now);
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
        settings_.late_reserve_prompts_ * model_.mean_prompt_tokens();
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
        if (stream.granted_ + max_stream_duration < now) {
            overdue.push_back(attempt);
        }
    }
    std::ranges::for_each(
        overdue, [this, now](auto attempt) { remove_stream(attempt, now); });
    return dispatch(now);
}

} // namespace pimentoferry::placement
