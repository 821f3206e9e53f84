/// State machine of the model requests that one entry accepted.
///
/// For each request the table decides where it runs, when it is retried or
/// resumed, and how it ends. It has no sockets, no threads and no clock: the
/// control thread passes it one event at a time and executes the returned
/// actions in order.
///
///     table_settings settings;
///     settings.instance_ = my_instance;
///     settings.failure_domain_ = base::failure_domain{"hawassa"};
///     settings.seed_ = random_seed;
///     request_table table{settings};
///
///     for (const action& a : table.handle(event{request}, now)) {
///         execute(a); // send_to_owner, start_prefill, ...
///     }
///     arm_timer(table.next_deadline()); // then: handle(tick{}, now)
///
/// The table requires the following of the daemon:
///
/// * Each `start_prefill` and `start_import` is followed by one `..._done` or
///   `..._failed` event; missing, late and repeated events are tolerated. The
///   events of an import name the engine; those of any engine but the current
///   one are dropped.
/// * Each `start_decode` is followed by exactly one `stream_ended` or
///   `stream_broken`, and by `first_token` before it when a token was received,
///   even if that token is not relayed again. The traffic thread counts the
///   tokens that it relayed: `stream_broken` carries that count, and the table
///   opens no other stream of the request until it has received it. A stream
///   that yields nothing for some seconds is reported as `timed_out`.
/// * `not_sent` is reported only when no byte of the call was sent. The table
///   derives `not_run` from it.
/// * `cancel_attempts` also closes the open calls of these attempts to that
///   engine, so that none of them reaches a later instance of the engine. A
///   decode stream closed in this way is reported as `stream_broken`. A cancel
///   whose connection is refused is reported as `engine_crashed`; any other
///   failed cancel is not reported, and the table repeats it.
/// * `refuse` and `complete_response` end the response to the caller: no token
///   is relayed after them.
/// * The calls that were open to an engine when it crashed are reported as
///   failed within 250 ms of `engine_crashed`, before or after it. The crash is
///   not attributed to a call that is reported as `not_sent`.
/// * From the detection of a crash until `engine_crashed` was handled, calls to
///   that engine fail as `not_sent`: the table drops what it recorded about the
///   old instance, so no call may reach the next instance earlier.
/// * `send_to_owner` is sent once; the daemon does not repeat it.
/// * `engines_updated` is passed whenever the engines of a cell or their
///   reported headroom change.
/// * `tick` is passed when `next_deadline` has passed, after the events that
///   are already queued; a late tick only delays.
#ifndef PIMENTOFERRY_REQUESTS_REQUEST_TABLE_HPP
#define PIMENTOFERRY_REQUESTS_REQUEST_TABLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/requests/cancel_tracker.hpp"
#include "pimentoferry/requests/events.hpp"
#include "pimentoferry/requests/quarantine.hpp"
#include "pimentoferry/requests/retry_budget.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoferry::requests {

namespace internal {
class table_core;
}

/// Limits of the table. The defaults are the constants of the design page; a
/// value that the page does not give has its reason beside it.
struct table_settings {
    base::instance_id instance_;
    base::failure_domain failure_domain_;
    std::uint64_t seed_{1}; ///< For the random choices of autonomous placement.

    base::milliseconds placement_timeout_{300};
    /// Owners to which a placement request is sent, in turn, before the entry
    /// places the request autonomously.
    std::uint8_t max_owners_{2};
    /// Added to the first-token budget while the owner queues a request. The
    /// owner itself refuses a request that misses its first-token deadline;
    /// this margin only covers an unresponsive owner.
    base::milliseconds queue_margin_{1'000};

    /// A prefill times out after this plus 1 ms per prompt token, several times
    /// what a loaded engine needs.
    base::milliseconds prefill_timeout_base_{2'000};
    base::milliseconds import_timeout_base_{300};
    /// Expected transfer rate; an import times out after `import_timeout_base_`
    /// plus twice the expected transfer time.
    std::uint32_t transfer_tokens_per_ms_{100};
    /// A prefill result may be imported again for this long after the prefill;
    /// engines evict it in under a second.
    base::milliseconds prefill_result_ttl_{1'000};
    /// From opening a decode stream to its first token.
    base::milliseconds first_token_timeout_{5'000};
    /// Longest wait for the final position of a stream that is being closed.
    /// The position is reported within the same process, so a missing report is
    /// a fault.
    base::milliseconds close_timeout_{1'000};
    base::milliseconds request_timeout_{300'000};
    /// Longest time for which an engine holds memory without a renewal, and 5 s
    /// more for a cancel or call that is still in transit.
    base::milliseconds max_engine_hold_{35'000};
    /// Sent to callers when the owner gave no better estimate.
    base::milliseconds retry_after_{1'000};

    /// Most resumes of an attempt without a newly relayed token. The first
    /// starts `resume_delay_` after the break, and the delay doubles with each
    /// further one; all lie within the 5 s for which an engine keeps a broken
    /// stream.
    std::uint8_t max_resumes_{3};
    base::milliseconds resume_delay_{100};
    std::uint8_t max_reruns_{2};
    /// Longest wait for a crash report of an engine whose connection broke
    /// before the request is run elsewhere. A crash is then known before the
    /// next run, so that a request that crashes engines is identified after its
    /// second engine.
    base::milliseconds crash_report_wait_{250};

    retry_limits retries_;
    quarantine_limits quarantine_;
    cancel_limits cancels_;
};

/// Counters for metrics and tests; all but the first two only grow.
struct table_counts {
    std::size_t running_{0};         ///< Requests without an outcome.
    std::size_t cancels_pending_{0}; ///< (engine, attempt) pairs.
    std::uint64_t completed_{0};
    std::uint64_t refused_{0};
    std::uint64_t cancelled_{0}; ///< The caller disconnected.
    std::uint64_t reruns_{0};
    std::uint64_t resumes_{0};
    std::uint64_t budget_denied_{0};
    std::uint64_t autonomous_{0}; ///< Placements without the owner.
    /// Events that matched no current attempt or request.
    std::uint64_t dropped_events_{0};
    std::uint64_t quarantined_{0}; ///< Refused because of their crash marks.
};

/// An engine that may hold memory for an attempt.
struct memory_hold {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    bool cancelling_{false}; ///< A cancel is repeated until it is resolved.
};

/// All model requests that one entry accepted.
class request_table {
public:
    explicit request_table(const table_settings& settings);
    request_table(request_table&&) noexcept;
    request_table& operator=(request_table&&) noexcept;
    ~request_table();

    /// Applies one event and returns the resulting actions. `now` never goes
    /// back. An event that concerns no current attempt or request yields no
    /// action, except that a late grant is released to the owner that sent it.
    std::vector<action> handle(const event& e, base::time_point now);

    /// When the next `tick` is due; empty when no timer is armed.
    std::optional<base::time_point> next_deadline() const;

    /// Whether no request runs and no cancel is open, so that a draining entry
    /// may exit.
    bool idle() const;

    /// Every engine that may hold memory for an attempt of this entry. An
    /// attempt leaves the list only when it completed or was refused there, a
    /// cancel was confirmed, the engine instance crashed, or the longest time
    /// for which the engine holds memory has passed.
    std::vector<memory_hold> memory_holds() const;

    table_counts counts() const;

private:
    std::unique_ptr<internal::table_core> core_;
};

} // namespace pimentoferry::requests

#endif
