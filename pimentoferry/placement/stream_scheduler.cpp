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

// Retry delay after all decode engines rejected a stream.
constexpr base::milliseconds rejected_retry_after{3800};

// A stream whose end is not reported within this time is removed: the message
// of its gateway may have been lost.
constexpr base::milliseconds max_stream_duration{60'000};

// A gateway that has not reported the end of a prefill by then has reported it
// to another owner, or its message was lost.
constexpr base::milliseconds max_prefill_duration =
    prefill_time_limit + base::milliseconds{500};

// A refused caller returns in the last part of the time for which it may be
// told to wait, from this share of it on. It has missed the deadline of its
// first event in any case and mostly asks only once more; a later return meets
// a shorter queue, and the spread keeps callers that were refused together from
// returning together.
constexpr double earliest_return_share = 0.8;
constexpr double latest_return_share = 0.98;
// Retry delay of a caller that does not say how long it waits.
constexpr base::milliseconds usual_retry_window{4500};

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
        request.attempt_, stream, preferred_domain,
        {settings_.memory_share_, reserve, prefill == nullptr}, now);
    if (decode == nullptr) {
        return std::nullopt;
    }
    if (prefill != nullptr) {
        stream.prefill_ = prefill->engine_.id_;
        count_request(stream.prefill_, now);
    }
    stream.decode_ = decode->engine_.id_;
    count_request(stream.decode_, now);
    stream_grant grant{request.attempt_, stream.prefill_, stream.decode_};
    add_stream(request.attempt_, std::move(stream), now);
    account_use_.add(request, now);
    return grant;
}

std::size_t stream_scheduler::next_in(const stream_queue& queue,
                                      base::time_point now) const {
    constexpr std::uint64_t by_expiry_interval = 8;
    const bool by_expiry =
        queued_grants_ % by_expiry_interval == by_expiry_interval - 1;
    return by_expiry ? 0 : queue.next(account_use_, now);
}

// The room for the request and all requests in the queue by its deadline.
room_report stream_scheduler::room_in_time(const queued_request& queued,
                                           base::time_point now) const {
    const auto ahead = queue_.ahead_of(queued.request_.priority_);
    const auto tokens = static_cast<double>(queued.request_.prompt_tokens_ +
                                            ahead.prompt_tokens_ +
                                            resumed_queue_.prompt_tokens());
    const auto prompts =
        static_cast<double>(ahead.requests_ + resumed_queue_.size() + 1);
    return make_room_report(queued.request_, queued.expires_at_, tokens,
                            model_.cost().time_of(prompts, tokens), now);
}

// The room before the caller gives up for the request, both queues and the
// requests that arrive in the meantime, which go first.
room_report stream_scheduler::room_when_late(const queued_request& queued,
                                             base::time_point now) const {
    const fractional_ms time = std::max(queued.gives_up_at_, now) - now;
    const auto tokens = static_cast<double>(
        queued.request_.prompt_tokens_ + queue_.prompt_tokens() +
        late_queue_.prompt_tokens() + resumed_queue_.prompt_tokens());
    const auto prompts = static_cast<double>(
        queue_.size() + late_queue_.size() + resumed_queue_.size() + 1);
    return make_room_report(queued.request_, queued.gives_up_at_,
                            tokens + model_.arrival_rate(now) * time.count(),
                            model_.cost().time_of(prompts, tokens) +
                                model_.arriving_work(time, now),
                            now);
}

room_report stream_scheduler::make_room_report(const stream_request& request,
                                               base::time_point start,
                                               double needed_tokens,
                                               fractional_ms needed_prefill,
                                               base::time_point now) const {
    const auto whole_ms = [](fractional_ms time) {
        return std::chrono::duration_cast<base::milliseconds>(time);
    };
    room_report room;
    const double withheld_tokens = withheld_decode_tokens_at(start, now);
    room.withheld_decode_tokens_ = static_cast<std::int64_t>(withheld_tokens);
    room.free_decode_tokens_ = static_cast<std::int64_t>(
        free_decode_tokens_at(start, now) - withheld_tokens);
    room.needed_decode_tokens_ = static_cast<std::int64_t>(needed_tokens);
    const auto prefill =
        free_prefill_time_until(latest_prefill_end(request, start), now);
    room.free_prefill_ = whole_ms(prefill.free_);
    room.withheld_prefill_ = whole_ms(prefill.withheld_);
    room.needed_prefill_ = whole_ms(needed_prefill);
    room.queued_ = static_cast<std::uint32_t>(
        queue_.size() + late_queue_.size() + resumed_queue_.size());
    return room;
}

base::milliseconds
stream_scheduler::retry_after(const stream_request& request) const {
    constexpr std::uint64_t steps = 1000;
    const auto step = base::hash_combine(request.attempt_.instance_.value_,
                                         request.attempt_.sequence_) %
                      steps;
    const double share =
        earliest_return_share + (latest_return_share - earliest_return_share) *
                                    static_cast<double>(step) / steps;
    const auto window = request.retry_window_ > base::milliseconds{0}
                            ? request.retry_window_
                            : usual_retry_window;
    return std::chrono::duration_cast<base::milliseconds>(window * share);
}

stream_refusal stream_scheduler::refuse(const stream_request& request,
                                        const room_report& room,
                                        base::time_point now) {
    refused_.add(request.prompt_id_, now);
    if (!has_engine(engine_role::decode)) {
        return {request.attempt_,
                refusal_reason::no_engine,
                no_engine_retry_after,
                {}};
    }
    if (!has_decode_engine_for(request)) {
        return {request.attempt_,
                refusal_reason::no_version,
                no_engine_retry_after,
                {}};
    }
    if (!fits_any_engine(request)) {
        return {request.attempt_, refusal_reason::too_large, {}, {}};
    }
    if (excludes_all(request, engine_role::decode) ||
        excludes_all(request, engine_role::prefill)) {
        return {request.attempt_, refusal_reason::excluded, {}, {}};
    }
    if (room.limits_bind()) {
        return {request.attempt_, refusal_reason::limited,
                std::max(retry_after(request), allowance_wait(room)), room};
    }
    return {request.attempt_, refusal_reason::no_room, retry_after(request),
            room};
}

stream_scheduler::decisions
stream_scheduler::request(const stream_request& request, base::time_point now) {
    const auto latest_start =
        now - model_.first_event_time(request.prompt_tokens_);
    queued_request queued{request, latest_start + request.budget_,
                          latest_start +
                              std::max(request.budget_, request.patience_)};
    // What is left of a resumed answer is not known, only that it is less.
    if (request.time_left_ > base::milliseconds{0} && !request.resumed_) {
        // A request whose answer would be cut off by its time limit is not
        // started.
        const auto complete =
            latest_start + request.time_left_ -
            model_.answer_time(model_.make_stream(request, now));
        queued.expires_at_ = std::min(queued.expires_at_, complete);
        queued.gives_up_at_ = std::min(queued.gives_up_at_, complete);
    }
    if (!fits_any_engine(request) || !has_decode_engine_for(request) ||
        excludes_all(request, engine_role::decode) ||
        excludes_all(request, engine_role::prefill) ||
        queued.gives_up_at_ < now) {
        return {refuse(request, room_in_time(queued, now), now)};
    }
    if (request.resumed_) {
        return handle_resumed_request(queued, now);
    }
    if (refused_.contains(request.prompt_id_, now) ||
        queued.expires_at_ < now) {
        return handle_late_request(queued, now);
    }
    model_.observe_arrival(request, now);
    if (queue_.empty()) {
        if (auto grant = try_grant(request, queued.expires_at_, 0, now)) {
            return {*grant};
        }
    }
    if (!room_in_time(queued, now).sufficient()) {
        return handle_late_request(queued, now);
    }
    queue_.insert(queued);
    return {};
}

bool stream_scheduler::expects_room(const queued_request& queued,
                                    base::time_point now) const {
    const auto& request = queued.request_;
    const auto at = queued.gives_up_at_;
    const double free =
        request.software_version_
            ? free_decode_tokens_of_version(*request.software_version_, at, now)
            : free_decode_tokens_at(at, now);
    const auto tokens = static_cast<double>(request.prompt_tokens_ +
                                            resumed_queue_.prompt_tokens());
    const auto prompts = static_cast<double>(resumed_queue_.size() + 1);
    return at > now && has_decode_engine_for(request) && free >= tokens &&
           free_prefill_time_until(latest_prefill_end(request, at), now)
                   .free_ >= model_.cost().time_of(prompts, tokens);
}

// Grants a stream that its caller continues, or queues it before all new ones.
stream_scheduler::decisions
stream_scheduler::handle_resumed_request(const queued_request& queued,
                                         base::time_point now) {
    if (const auto grant =
            try_grant(queued.request_, queued.gives_up_at_, 0, now)) {
        return {*grant};
    }
    if (!expects_room(queued, now)) {
        return {refuse(queued.request_, room_when_late(queued, now), now)};
    }
    auto resumed = queued;
    resumed.expires_at_ = queued.gives_up_at_;
    resumed_queue_.insert(resumed);
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
    const auto room = room_when_late(queued, now);
    if (queued.gives_up_at_ <= now || !room.sufficient()) {
        return {refuse(queued.request_, room, now)};
    }
    auto late = queued;
    late.expires_at_ = queued.gives_up_at_;
    late_queue_.insert(late);
    return {};
}

void stream_scheduler::stream_announced(const stream_announcement& announcement,
                                        base::time_point now) {
    // Its gateway did not wait for the decision on a queued request.
    for (auto* queue : queues()) {
        queue->erase_if([&](const stream_request& waiting) {
            return waiting.attempt_ == announcement.attempt_;
        });
    }
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
    stream.software_version_ = announcement.software_version_;
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
    stream.prefilled_ = now;
    if (auto* prefilling = prefilling_engine(stream)) {
        prefilling->failures_ = 0;
        // A decode engine prefills more slowly than a prefill engine.
        const auto time = prefilling->prefill_.in_progress(now);
        if (time && !stream.prefill_.value_.empty()) {
            model_.observe_prefill(stream.prompt_tokens_, *time);
        }
        prefilling->prefill_.finish(stream.prompt_tokens_, model_.cost(), now);
    }
}

void stream_scheduler::decode_started(base::attempt_id attempt,
                                      base::time_point now) {
    prefill_finished(attempt, now);
    const auto found = streams_.find(attempt);
    if (found != streams_.end() && !found->second.started_) {
        found->second.started_ = now;
        if (found->second.prefilled_ &&
            !found->second.prefill_.value_.empty()) {
            model_.observe_first_event(
                std::chrono::duration_cast<base::milliseconds>(
                    now - *found->second.prefilled_),
                now);
        }
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
        return {stream_refusal{
            attempt, refusal_reason::no_room, rejected_retry_after, {}}};
    }
    auto stream = found->second;
    remove_stream(attempt, now);
    const auto rejecting = engines_.find(stream.decode_);
    if (reason == decode_rejection::unreachable) {
        engine_failed(stream.decode_, now);
    } else if (reason == decode_rejection::excluded) {
        stream.excluded_.push_back(stream.decode_);
    } else if (rejecting != engines_.end()) {
        auto& engine = rejecting->second;
        engine.failed_until_ =
            std::max(engine.failed_until_, now + rejection_backoff);
        if (reason == decode_rejection::full) {
            // Streams that this scheduler does not know fill the engine, such
            // as those of a gateway that lost its power.
            const double believed_free =
                free_tokens(engine, {}, 1, now) - stream.prompt_tokens_;
            engine.unexplained_tokens_ =
                unexplained_tokens(engine, now) + std::max(0.0, believed_free);
            engine.unexplained_at_ = now;
        }
    }
    const auto prefill = engines_.find(stream.prefill_);
    const auto preferred_domain = prefill != engines_.end()
                                      ? prefill->second.engine_.failure_domain_
                                      : base::failure_domain{};
    // The prefill has been done, so the memory that grants keep free may be
    // used.
    constexpr double whole_memory = 1;
    auto* decode =
        choose_decode(attempt, stream, preferred_domain,
                      {whole_memory, 0, stream.prefill_.value_.empty()}, now);
    if (decode == nullptr) {
        return {stream_refusal{
            attempt, refusal_reason::no_room, rejected_retry_after, {}}};
    }
    stream.decode_ = decode->engine_.id_;
    count_request(stream.decode_, now);
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
        prefilling->prefill_.abandon(found->second.prompt_tokens_,
                                     model_.cost(), now);
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
    for (auto* queue : queues()) {
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
    for (auto* queue : queues()) {
        queue->erase_if([gateway](const stream_request& waiting) {
            return waiting.attempt_.instance_ == gateway;
        });
    }
    return dispatch(now);
}

// A request whose version has no room does not keep the others waiting.
void stream_scheduler::dispatch_resumed(decisions& made, base::time_point now) {
    // Bounds the work of one call after the loss of many streams.
    constexpr int most_failures = 8;
    std::map<std::optional<base::software_version>, int> failures;
    for (std::size_t i = 0; i < resumed_queue_.size();) {
        const auto& waiting = resumed_queue_.at(i);
        if (waiting.expires_at_ < now) {
            made.emplace_back(
                refuse(waiting.request_, room_when_late(waiting, now), now));
            resumed_queue_.erase(i);
            continue;
        }
        auto& failed = failures[waiting.request_.software_version_];
        const auto grant =
            failed < most_failures
                ? try_grant(waiting.request_, waiting.expires_at_, 0, now)
                : std::nullopt;
        if (grant) {
            made.emplace_back(*grant);
            resumed_queue_.erase(i);
            continue;
        }
        ++failed;
        ++i;
    }
}

stream_scheduler::decisions stream_scheduler::dispatch(base::time_point now) {
    decisions made;
    dispatch_resumed(made, now);
    while (!queue_.empty()) {
        const auto expiring = queue_.front();
        if (expiring.expires_at_ < now) {
            queue_.pop_front();
            const auto decided = handle_late_request(expiring, now);
            made.insert(made.end(), decided.begin(), decided.end());
            continue;
        }
        const auto next = next_in(queue_, now);
        const auto first = queue_.at(next);
        const auto grant = try_grant(first.request_, first.expires_at_, 0, now);
        if (!grant) {
            break;
        }
        made.emplace_back(*grant);
        ++queued_grants_;
        queue_.erase(next);
    }
    dispatch_late(made, now);
    return made;
}

void stream_scheduler::dispatch_late(decisions& made, base::time_point now) {
    const double reserve =
        settings_.late_reserve_prompts_ * model_.mean_prompt_tokens();
    while (!late_queue_.empty()) {
        const auto expiring = late_queue_.front();
        if (expiring.expires_at_ < now) {
            made.emplace_back(
                refuse(expiring.request_, room_when_late(expiring, now), now));
            late_queue_.pop_front();
            continue;
        }
        const auto next = next_in(late_queue_, now);
        const auto first = late_queue_.at(next);
        const auto grant =
            queue_.empty()
                ? try_grant(first.request_, first.expires_at_, reserve, now)
                : std::nullopt;
        if (!grant) {
            break;
        }
        made.emplace_back(*grant);
        ++queued_grants_;
        late_queue_.erase(next);
    }
}

// While a prefill counts as outstanding, the engine never counts as idle, and
// the time between two prompts is taken for that of a prefill.
void stream_scheduler::forget_overdue_prefills(base::time_point now) {
    for (auto& [attempt, stream] : streams_) {
        const bool overdue = stream.prefilling_ &&
                             !stream.prefill_.value_.empty() &&
                             stream.granted_ + max_prefill_duration < now;
        if (!overdue) {
            continue;
        }
        stream.prefilling_ = false;
        if (auto* prefilling = prefilling_engine(stream)) {
            prefilling->prefill_.forget(stream.prompt_tokens_, now);
        }
    }
}

stream_scheduler::decisions stream_scheduler::tick(base::time_point now) {
    forget_overdue_prefills(now);
    std::vector<base::attempt_id> overdue;
    for (const auto& [attempt, stream] : streams_) {
        if (stream.granted_ + max_stream_duration < now) {
            overdue.push_back(attempt);
        }
    }
    std::ranges::for_each(
        overdue, [this, now](auto attempt) { remove_stream(attempt, now); });
    account_use_.remove_expired(now);
    return dispatch(now);
}

} // namespace pimentoferry::placement
