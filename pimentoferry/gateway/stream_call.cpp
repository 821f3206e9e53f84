#include "pimentoferry/gateway/stream_call.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/gateway/crash_guard.hpp"
#include "pimentoferry/gateway/event_splitter.hpp"
#include "pimentoferry/gateway/limit_guard.hpp"
#include "pimentoferry/gateway/origin_exchange.hpp"
#include "pimentoferry/gateway/peer_relay.hpp"
#include "pimentoferry/gateway/upstream_check.hpp"
#include "pimentoferry/gateway/upstream_statements.hpp"
#include "pimentoferry/http/proxy.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <limits>

namespace pimentoferry::gateway {

namespace asio = boost::asio;

namespace {

// As for plain calls, an engine that does not accept a connection within this
// time is considered down.
constexpr base::milliseconds connect_timeout{250};
constexpr base::milliseconds release_timeout{500};
// Decode engines tried with one prefill result, which expires in about 500 ms.
constexpr std::uint32_t max_decode_sends = 3;
// Responses to prefills and releases have a few fields.
constexpr std::size_t control_body_limit_bytes = std::size_t{64} << 10;

stream_broken broken_by(const http::call_failure& failure, bool any_event) {
    return {std::string{to_string(failure.kind_)},
            failure.kind_ == http::failure_kind::too_large,
            failure.kind_ == http::failure_kind::broken && !any_event};
}

/// Logs the timing of a stream when it ends.
class stream_timing {
public:
    explicit stream_timing(const routed_call& call) : call_(call) {}
    stream_timing(const stream_timing&) = delete;
    stream_timing& operator=(const stream_timing&) = delete;
    ~stream_timing() {
        const auto text = [](base::time_point from, base::time_point to) {
            return std::to_string(
                std::chrono::duration_cast<base::milliseconds>(to - from)
                    .count());
        };
        const bool any = events_ > 0;
        log::log_info(
            "stream",
            {{"request", call_.request_.id_},
             {"events", std::to_string(events_)},
             {"complete", complete_ ? "yes" : "no"},
             {"first_event_ms", any ? text(call_.arrived_, first_) : "none"},
             {"span_ms", any ? text(first_, last_) : "none"},
             {"longest_gap_ms", std::to_string(longest_gap_.count())}});
    }

    void record_events(std::uint64_t events, base::time_point now) {
        if (events_ == 0) {
            first_ = now;
        } else {
            longest_gap_ = std::max(
                longest_gap_,
                std::chrono::duration_cast<base::milliseconds>(now - last_));
        }
        events_ = events;
        last_ = now;
    }

    bool complete_{false};

private:
    const routed_call& call_;
    std::uint64_t events_{0};
    base::time_point first_;
    base::time_point last_;
    base::milliseconds longest_gap_{0};
};

} // namespace

bool stream_call::caller_disconnected() const {
    return call_.exchange_.caller_gone()->requested();
}

http::call_options stream_call::options_until(base::time_point limit) const {
    http::call_options options;
    options.deadline_ = std::min(limit, call_.deadline_);
    options.connect_timeout_ = connect_timeout;
    options.cancel_ = call_.exchange_.caller_gone();
    options.is_answer_ = [this](const http::response_head& head) {
        return shared_.protocol_.is_answer_to_(call_.request_, head);
    };
    return options;
}

send_options
stream_call::send_options_for(const base::upstream_name& engine) const {
    return {engine, time_left(call_, base::clock::now()), last_event_sent_,
            call_.account_name()};
}

std::optional<routing::instance>
stream_call::find_engine(const base::upstream_name& engine) const {
    const auto* found =
        shared_.registry_.instances().find_usable(engine, base::clock::now());
    return found != nullptr ? std::optional{*found} : std::nullopt;
}

bool stream_call::is_paused(const routing::instance& engine) const {
    return shared_.pauses_.paused(engine, base::clock::now());
}

bool stream_call::awaits_record(const routing::instance& engine) const {
    return !resumed() && engine.stage_ != routing::engine_stage::prefill &&
           !shared_.origins_->may_begin(call_.service_,
                                        engine.software_version_);
}

http::awaitable<std::variant<prefill_result, stream_outcome>>
stream_call::prefill(const routing::instance& engine) {
    const auto began = base::clock::now();
    auto request = shared_.protocol_.prefill_call_(
        call_.exchange_.call(), send_options_for(engine.id_));
    auto options = options_until(began + placement::prefill_time_limit);
    options.body_limit_bytes_ = control_body_limit_bytes;
    const bool fresh = call_.needs_fresh_connection(engine.address_);
    options.fresh_connection_ = fresh;
    shared_.statements_->observe(options, call_.request_, engine);
    auto received = co_await shared_.client_.call(
        engine.address_, std::move(request), std::move(options));
    std::variant<prefill_result, stream_outcome> outcome =
        stream_outcome{stream_not_run{"the prefill failed"}};
    std::string text = "failed";
    if (const auto* failure = std::get_if<http::call_failure>(&received)) {
        text = to_string(failure->kind_);
        shared_.relay_->send_failed(engine, *failure);
        unreached_ = true;
        if (failure->kind_ == http::failure_kind::cancelled) {
            outcome = stream_outcome{caller_disconnect{}};
        }
    } else {
        const auto& answer = std::get<http::response>(received);
        const auto result = shared_.protocol_.read_prefill_(answer.body_);
        // An answer that does not name the request may be one to another.
        const bool named = shared_.protocol_.is_of_instance_(
            call_.request_, {answer.status_, answer.fields_});
        if (answer.status_ == 200 && result && named) {
            outcome = *result;
            text = "success";
        } else {
            text = std::to_string(answer.status_);
        }
    }
    shared_.metrics_.count_send("prefill", text);
    log::log_info(
        "prefill",
        {{"request", call_.request_.id_},
         {"instance", engine.id_.value_},
         {"address", base::to_string(engine.address_)},
         {"fresh_connection", fresh ? "yes" : "no"},
         {"outcome", text},
         {"view_ms", shared_.view_age(began)},
         {"limit", shared_.limits_->limit_text(engine.id_)},
         {"ms", std::to_string(std::chrono::duration_cast<base::milliseconds>(
                                   base::clock::now() - began)
                                   .count())}});
    co_return outcome;
}

// Frees a prefill result that no decode engine is going to fetch; it would
// occupy engine memory until it expires.
void stream_call::release_prefill_result(const kv_source& source,
                                         const base::upstream_name& engine) {
    log::log_info("release", {{"request", call_.request_.id_},
                              {"instance", engine.value_}});
    http::call_options options;
    options.deadline_ = base::clock::now() + release_timeout;
    options.connect_timeout_ = connect_timeout;
    options.body_limit_bytes_ = control_body_limit_bytes;
    // An answer that names a request is not the answer to a release.
    options.is_answer_ = [is_answer_to = shared_.protocol_.is_answer_to_](
                             const http::response_head& head) {
        return is_answer_to({}, head);
    };
    asio::co_spawn(
        shared_.io_,
        [&shared = shared_, source,
         options]() mutable -> http::awaitable<void> {
            auto request = shared.protocol_.release_call_(source.handle_);
            const auto answer = co_await shared.client_.call(
                source.address_, std::move(request), std::move(options));
            const auto* failure = std::get_if<http::call_failure>(&answer);
            shared.metrics_.count_send(
                "release",
                failure != nullptr ? to_string(failure->kind_) : "answered");
        },
        asio::detached);
}

http::awaitable<stream_outcome>
stream_call::relay_events(http::open_answer& answer,
                          base::attempt_id attempt,
                          placement_guard& guard) {
    event_splitter events;
    stream_timing timing{call_};
    bool first = true;
    while (true) {
        auto chunk = co_await answer.read_until_deadline();
        if (const auto* failure = std::get_if<http::call_failure>(&chunk)) {
            if (failure->kind_ == http::failure_kind::cancelled) {
                co_return caller_disconnect{};
            }
            co_return broken_by(*failure, !first);
        }
        if (std::holds_alternative<http::body_end>(chunk)) {
            if (events.incomplete_bytes() != 0) {
                co_return stream_broken{"the last event is incomplete", false,
                                        events.events() == 0};
            }
            // An answer that ends with its connection looks like this when the
            // engine crashes as it begins. One that is resumed may have nothing
            // left to send, but has to say so.
            if (events.events() == 0 &&
                (!last_event_sent_ || !answer.end_is_marked())) {
                co_return stream_broken{"the answer has no event", false, true};
            }
            guard.complete(static_cast<std::uint32_t>(events.events()));
            timing.complete_ = true;
            co_return stream_completed{};
        }
        events.append(std::get<std::string>(chunk));
        const auto complete_events = events.take_complete();
        if (events.overflowed()) {
            co_return stream_broken{"an event of the engine does not end",
                                    true};
        }
        if (complete_events.empty()) {
            continue;
        }
        if (std::exchange(first, false)) {
            shared_.streams_->decode_started(attempt);
            shared_.crashes_->answer_began(call_.request_.id_,
                                           parts_of(call_.request_));
            if (!resumed()) {
                origin_ = decode_engine_.software_version_;
                shared_.origins_->began(call_.service_, call_.request_.id_,
                                        *origin_);
            }
            if (!any_event_sent_) {
                shared_.metrics_.observe_first_event(
                    std::chrono::duration_cast<base::milliseconds>(
                        base::clock::now() - call_.arrived_));
            }
        }
        any_event_sent_ = true;
        timing.record_events(events.events(), base::clock::now());
        const auto written = co_await call_.exchange_.write(complete_events);
        if (written == http::write_result::gone) {
            co_return caller_disconnect{};
        }
        last_event_sent_ =
            events.last_id() ? events.last_id() : last_event_sent_;
    }
}

http::awaitable<stream_outcome>
stream_call::send_decode(const routing::instance& engine,
                         std::optional<kv_source> source,
                         base::attempt_id attempt,
                         placement_guard& guard) {
    const auto began = base::clock::now();
    decode_engine_ = engine;
    decode_sent_at_ = began;
    const auto options = send_options_for(engine.id_);
    auto request =
        source ? shared_.protocol_.decode_call_(call_.exchange_.call(), *source,
                                                options)
               : shared_.protocol_.plain_call_(call_.exchange_.call(), options);
    auto limits = options_until(call_.deadline_);
    // The body is relayed event by event, so its total size is not bounded.
    limits.body_limit_bytes_ = std::numeric_limits<std::size_t>::max();
    const bool fresh = call_.needs_fresh_connection(engine.address_);
    limits.fresh_connection_ = fresh;
    shared_.statements_->observe(limits, call_.request_, engine);
    auto opened = co_await shared_.client_.open(
        engine.address_, std::move(request), std::move(limits));
    const auto log_outcome = [&](const std::string& outcome) {
        shared_.metrics_.count_send("decode", outcome);
        log::log_info(
            "decode",
            {{"request", call_.request_.id_},
             {"instance", engine.id_.value_},
             {"address", base::to_string(engine.address_)},
             {"fresh_connection", fresh ? "yes" : "no"},
             {"software_version", engine.software_version_.value_},
             {"after_event",
              last_event_sent_ ? std::to_string(*last_event_sent_) : "none"},
             {"outcome", outcome},
             {"view_ms", shared_.view_age(began)},
             {"limit", shared_.limits_->limit_text(engine.id_)},
             {"ms",
              std::to_string(std::chrono::duration_cast<base::milliseconds>(
                                 base::clock::now() - began)
                                 .count())}});
    };
    if (const auto* failure = std::get_if<http::call_failure>(&opened)) {
        log_outcome(std::string{to_string(failure->kind_)});
        shared_.relay_->send_failed(engine, *failure);
        unreached_ = unreached_ || !failure->sent_;
        if (failure->kind_ == http::failure_kind::cancelled) {
            co_return caller_disconnect{};
        }
        if (!failure->sent_) {
            co_return stream_not_run{"the decode engine is not reachable",
                                     placement::decode_rejection::unreachable};
        }
        decode_sent_ = true;
        ++possible_runs_;
        co_return broken_by(*failure, false);
    }
    decode_sent_ = true;
    auto& answer = std::get<http::open_answer>(opened);
    const auto meaning =
        shared_.protocol_.meaning_of_(call_.request_, answer.head());
    log_outcome(std::to_string(answer.head().status_));
    if (meaning == answer_meaning::rejected ||
        meaning == answer_meaning::misrouted) {
        // Reading the rest of the response lets the connection be reused.
        (void)co_await answer.read_all();
        if (meaning == answer_meaning::misrouted) {
            co_return stream_not_run{"the decode engine is another one",
                                     placement::decode_rejection::unreachable};
        }
        co_return stream_not_run{"the decode engine is full"};
    }
    ++possible_runs_;
    if (meaning == answer_meaning::foreign) {
        co_return stream_broken{"the answer belongs to another request"};
    }
    if (meaning == answer_meaning::failure) {
        auto body = co_await answer.read_all();
        if (auto* complete = std::get_if<http::response>(&body)) {
            co_return engine_error_response{std::move(*complete)};
        }
        co_return stream_broken{
            "the error response of the engine is incomplete"};
    }
    if (!call_.exchange_.begun()) {
        http::response received{
            answer.head().status_, answer.head().fields_, {}};
        auto forwarded = http::forwarded_response(std::move(received));
        const http::response_head head{forwarded.status_,
                                       std::move(forwarded.fields_)};
        const auto begun = co_await call_.exchange_.begin_stream(head);
        if (begun == http::write_result::gone) {
            co_return caller_disconnect{};
        }
    }
    co_return co_await relay_events(answer, attempt, guard);
}

http::awaitable<stream_outcome>
stream_call::decode(placement::stream_grant grant,
                    std::optional<kv_source> source,
                    placement_guard& guard) {
    stream_outcome outcome = stream_not_run{};
    for (std::uint32_t i = 0; i < max_decode_sends; ++i) {
        const auto engine = find_engine(grant.decode_);
        const bool paused = engine && is_paused(*engine);
        // Other crashes may have been reported while the prompt was read.
        if (quarantined_for()) {
            co_return stream_not_run{
                "a part of the prompt has crashed engines"};
        }
        if (!is_authorized(shared_, call_)) {
            co_return stream_not_run{"the key was taken away"};
        }
        // The owner may have another view of the engines.
        if (paused) {
            outcome = stream_not_run{"the decode engine has asked for a pause",
                                     placement::decode_rejection::excluded};
        } else if (engine && awaits_record(*engine)) {
            outcome = stream_not_run{
                "the version of the decode engine is not recorded yet",
                placement::decode_rejection::excluded};
        } else if (engine && resumed() &&
                   engine->software_version_ != origin_) {
            outcome =
                stream_not_run{"the decode engine has another software version",
                               placement::decode_rejection::other_version};
        } else if (engine) {
            outcome =
                co_await send_decode(*engine, source, grant.attempt_, guard);
        } else {
            outcome = missing_engine(grant.decode_);
        }
        if (!std::holds_alternative<stream_not_run>(outcome) ||
            caller_disconnected()) {
            break;
        }
        auto& budget = shared_.retries(call_.service_);
        if (i + 1 == max_decode_sends || !budget.take(base::clock::now())) {
            break;
        }
        auto reason = std::get<stream_not_run>(outcome).reason_;
        if (engine && is_paused(*engine)) {
            reason = placement::decode_rejection::excluded;
        }
        const auto decision =
            co_await shared_.streams_->replace_decode(grant.attempt_, reason);
        const auto* next_grant =
            std::get_if<placement::stream_grant>(&decision);
        if (next_grant == nullptr) {
            break;
        }
        log::log_info("replace_decode",
                      {{"request", call_.request_.id_},
                       {"rejected_by", grant.decode_.value_},
                       {"decode", next_grant->decode_.value_}});
        grant = *next_grant;
    }
    co_return outcome;
}

// The owner and this gateway hear of engines at different times. Of one that
// was removed the owner must not choose again; one that is new here serves
// others.
stream_not_run stream_call::missing_engine(const base::upstream_name& engine) {
    if (shared_.registry_.instances().is_unknown(engine)) {
        unknown_engines_.push_back(engine);
        return {"the engine is not known here yet",
                placement::decode_rejection::excluded};
    }
    return {"the engine is gone", placement::decode_rejection::unreachable};
}

http::awaitable<stream_outcome>
stream_call::run_attempt(placement::stream_grant grant,
                         placement_guard& guard) {
    std::optional<kv_source> source;
    const auto prefill_engine = find_engine(grant.prefill_);
    if (!grant.prefill_.value_.empty()) {
        if (!prefill_engine) {
            auto missing = missing_engine(grant.prefill_);
            if (missing.reason_ == placement::decode_rejection::unreachable) {
                shared_.streams_->engine_failed(call_.service_, grant.prefill_);
            }
            co_return missing;
        }
        if (is_paused(*prefill_engine)) {
            co_return stream_not_run{"the prefill engine has asked for a pause",
                                     placement::decode_rejection::excluded};
        }
        auto prefill_outcome = co_await prefill(*prefill_engine);
        if (auto* failed = std::get_if<stream_outcome>(&prefill_outcome)) {
            // A pause concerns this gateway only, and no other one.
            if (!std::holds_alternative<caller_disconnect>(*failed) &&
                !is_paused(*prefill_engine) && !shared_.relay_->isolated()) {
                shared_.streams_->engine_failed(call_.service_, grant.prefill_);
            }
            co_return std::move(*failed);
        }
        source = kv_source{prefill_engine->address_,
                           std::get<prefill_result>(prefill_outcome).handle_};
        shared_.streams_->prefill_finished(grant.attempt_);
    }
    const auto possible_runs_before = possible_runs_;
    auto outcome = co_await decode(grant, source, guard);
    if (const auto* broken = std::get_if<stream_broken>(&outcome);
        broken != nullptr && broken->engine_faulty_) {
        shared_.streams_->engine_failed(call_.service_, grant.decode_);
    } else if (broken != nullptr && broken->before_first_event_) {
        co_await examine_lost_answer(decode_engine_);
    }
    if (source && possible_runs_ == possible_runs_before) {
        release_prefill_result(*source, grant.prefill_);
    }
    co_return outcome;
}

// A decode engine closed the connection before the first event: it crashed, or
// broke off this answer alone.
http::awaitable<void>
stream_call::examine_lost_answer(routing::instance engine) {
    const auto state = co_await check_upstream(shared_, engine);
    const auto parts = parts_of(call_.request_);
    log::log_warn("answer_lost", {{"request", call_.request_.id_},
                                  {"instance", engine.id_.value_},
                                  {"upstream", std::string{to_string(state)}},
                                  {"shared_parts", shared_parts_text(parts)},
                                  {"own_part", base::to_hex(parts.own_)}});
    if (state == upstream_state::gone || state == upstream_state::left) {
        shared_.streams_->engine_failed(call_.service_, engine.id_);
    }
    if (state == upstream_state::gone) {
        shared_.crashes_->upstream_crashed(call_.request_.id_, parts,
                                           engine.id_, decode_sent_at_);
    }
}

std::optional<base::milliseconds> stream_call::quarantined_for() const {
    return shared_.crashes_->refused_for(parts_of(call_.request_),
                                         base::clock::now());
}

} // namespace pimentoferry::gateway
