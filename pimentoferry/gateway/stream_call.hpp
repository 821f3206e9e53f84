/// A streamed request in progress: its placements and sends, and the state that
/// they share. Internal to `relay_stream`.
///
/// `stream_call.cpp` talks to the engines (prefill, decode, the events of the
/// answer); `stream_relay.cpp` decides about placements and ends.
#ifndef PIMENTOFERRY_GATEWAY_STREAM_CALL_HPP
#define PIMENTOFERRY_GATEWAY_STREAM_CALL_HPP

#include "pimentoferry/gateway/runtime.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::gateway {

struct stream_completed {};
/// The request was rejected before it ran.
struct stream_not_run {
    std::string detail_;
    placement::decode_rejection reason_{placement::decode_rejection::full};
};
/// The response of an engine was lost, incomplete or to another request.
struct stream_broken {
    std::string detail_;
    /// The engine sent bytes without end, so further streams would not get an
    /// answer either.
    bool engine_faulty_{false};
    /// The engine closed the connection before the first event.
    bool before_first_event_{false};
};
struct caller_disconnect {};
/// The engine responded with an error instead of a stream of events.
struct engine_error_response {
    http::response response_;
};

using stream_outcome = std::variant<stream_completed,
                                    stream_not_run,
                                    stream_broken,
                                    caller_disconnect,
                                    engine_error_response>;

/// Reports the end of a stream to the scheduler, which then frees the engine
/// capacity granted to it.
class placement_guard {
public:
    placement_guard(stream_placement& placement, base::attempt_id attempt)
        : placement_(placement), attempt_(attempt) {}
    placement_guard(const placement_guard&) = delete;
    placement_guard& operator=(const placement_guard&) = delete;
    ~placement_guard() { placement_.ended(attempt_, events_); }

    /// The answer was complete; `events` is its number of events.
    void complete(std::uint32_t events) { events_ = events; }

private:
    stream_placement& placement_;
    base::attempt_id attempt_;
    std::uint32_t events_{0};
};

class stream_call {
public:
    stream_call(runtime& shared, routed_call& call)
        : shared_(shared), call_(call) {}

    http::awaitable<void> run();

    /// Whether an engine may have run the request.
    bool may_have_run() const { return possible_runs_ > 0; }

private:
    http::awaitable<placement::stream_decision>
    request_placement(base::attempt_id attempt);
    /// Logs the figures on which a refusal rests.
    void log_no_room(const placement::stream_refusal& refused) const;
    void count_limited(const placement::stream_decision& decision) const;
    http::awaitable<stream_outcome> run_attempt(placement::stream_grant grant,
                                                placement_guard& guard);
    http::awaitable<std::variant<prefill_result, stream_outcome>>
    prefill(const routing::instance& engine);
    http::awaitable<stream_outcome> decode(placement::stream_grant grant,
                                           std::optional<kv_source> source,
                                           placement_guard& guard);
    http::awaitable<stream_outcome> send_decode(const routing::instance& engine,
                                                std::optional<kv_source> source,
                                                base::attempt_id attempt,
                                                placement_guard& guard);
    http::awaitable<stream_outcome> relay_events(http::open_answer& answer,
                                                 base::attempt_id attempt,
                                                 placement_guard& guard);
    void release_prefill_result(const kv_source& source,
                                const base::upstream_name& engine);
    http::awaitable<void> finish(stream_outcome outcome);
    http::awaitable<void>
    refuse_placement(const placement::stream_refusal& refused);
    /// Whether the caller has events of the stream.
    bool resumed() const {
        return any_event_sent_ || call_.request_.last_event_;
    }
    /// Time until an engine of each role may be used.
    base::milliseconds wait_for_pauses() const;
    /// Whether an instance of that version is registered.
    bool is_in_service(const base::software_version& version) const;
    http::awaitable<void> examine_lost_answer(routing::instance engine);
    bool may_continue(const stream_outcome& outcome) const;
    /// How long requests like this one are refused; unset if they are not.
    std::optional<base::milliseconds> quarantined_for() const;
    http::call_options options_until(base::time_point limit) const;
    send_options send_options_for(const base::upstream_name& engine) const;
    std::optional<routing::instance>
    find_engine(const base::upstream_name& engine) const;
    /// Why a stream cannot run at an engine that is not usable.
    stream_not_run missing_engine(const base::upstream_name& engine);
    /// Whether the engine has asked this gateway for a pause that lasts.
    bool is_paused(const routing::instance& engine) const;
    /// Whether the engine may not begin streams until its version is recorded.
    bool awaits_record(const routing::instance& engine) const;
    /// Whether that holds for every engine that could decode.
    bool all_engines_await_record() const;
    /// Waits for the record of a version, if no other is in service.
    http::awaitable<void> await_record();
    bool caller_disconnected() const;
    /// The sends that the next placement repeats: its prefill, and its decode
    /// if one has been sent before.
    std::uint32_t repeated_sends() const { return decode_sent_ ? 2 : 1; }

    runtime& shared_;
    routed_call& call_;
    /// Decodes that may have run.
    std::uint32_t possible_runs_{0};
    /// Whether a decode has reached an engine, which may have rejected it.
    /// An engine could not be reached; another gateway may reach it.
    bool unreached_{false};
    bool decode_sent_{false};
    /// Id of the last event sent to the caller.
    std::optional<std::uint64_t> last_event_sent_;
    /// The version that began the stream. Unset before the first event of a
    /// new one.
    std::optional<base::software_version> origin_;
    /// Whether this request has sent any event to the caller.
    bool any_event_sent_{false};
    /// Engines that were granted and are not registered here yet.
    std::vector<base::upstream_name> unknown_engines_;
    /// Where the last decode was sent.
    routing::instance decode_engine_;
    base::time_point decode_sent_at_;
};

} // namespace pimentoferry::gateway

#endif
