/// The life of each model request at the entry that accepted it.
///
/// The table decides and does nothing else: it has no sockets, no threads and
/// no clock. The control thread passes it one event at a time and executes
/// the actions it returns, in their order.
///
///     table_settings settings;
///     settings.instance_ = my_instance;
///     settings.failure_domain_ = base::failure_domain{"hawassa"};
///     settings.seed_ = random_seed;
///     request_table table{settings};
///
///     for (const action& a : table.handle(event{arrived_request}, now)) {
///         execute(a); // send_to_owner, start_prefill, ...
///     }
///     arm_timer(table.next_deadline()); // then: handle(tick{}, now)
///
/// What the daemon owes the table:
///
/// * Each `start_prefill` and `start_import` is answered by one `..._done` or
///   `..._failed` event; missing, late and repeated ones are tolerated. The
///   answers of an import name the engine; those of another engine than the
///   current one are dropped.
/// * Each `start_decode` is answered by exactly one `stream_ended` or
///   `stream_broken`, and by `first_token` before it when a token was
///   received, also one that is not relayed again. The traffic thread counts
///   the tokens it relayed: `stream_broken` carries that count, and the table
///   opens no other stream of the request before it knows it. A stream that
///   yields nothing for some seconds is reported as `timed_out`.
/// * `not_sent` is reported only when no byte of the call left. The table
///   derives `not_run` from it.
/// * `cancel_attempts` also closes the open calls of these attempts to that
///   engine, so that none of them reaches a later instance of the engine. A
///   decode stream closed in this way is reported as `stream_broken`. A
///   cancel whose connection is refused is reported as `engine_crashed`; any
///   other failed cancel is not reported, and the table repeats it.
/// * `refuse` and `complete_response` end the answer of the caller: no token is
/// relayed
///   after them.
/// * The calls that were open to an engine when it crashed are reported as
///   failed within 250 ms of `engine_crashed`, before or after it. One that
///   is reported as `not_sent` takes no blame for the crash.
/// * From the detection of a crash until `engine_crashed` was handled, calls
///   to that engine fail as `not_sent`: the table forgets what the old
///   instance held, so nothing may reach the next one before.
/// * `send_to_owner` is sent once and not repeated by the daemon.
/// * `engines_updated` is passed whenever the engines of a cell or what is
///   known of their headroom change.
/// * `tick` is passed when `next_deadline` has come, after the events that
///   already wait; a late tick only delays.
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

/// Limits of the table. The defaults are the constants of the design page;
/// where the page gives none, the reason stands beside the value.
struct table_settings {
    base::instance_id instance_;
    base::failure_domain failure_domain_;
    std::uint64_t seed_{1}; ///< Of the choices of autonomous placement.

    base::milliseconds placement_timeout_{300};
    /// Asked in turn before the entry places on its own.
    std::uint8_t max_owners_{2};
    /// Added to the first token budget while the owner queues a request:
    /// the owner refuses in time, this deadline only covers its silence.
    base::milliseconds queue_margin_{1'000};

    /// A prefill is lost after this plus one ms per prompt token, several
    /// times what a loaded engine needs.
    base::milliseconds prefill_timeout_base_{2'000};
    base::milliseconds import_timeout_base_{300};
    /// Expected transfer rate; the deadline allows twice the expected time.
    std::uint32_t transfer_tokens_per_ms_{100};
    /// A prefill result is used for another import for this long; engines
    /// evict it in under a second.
    base::milliseconds prefill_result_ttl_{1'000};
    /// Between opening a decode stream and its first token.
    base::milliseconds first_token_timeout_{5'000};
    /// Longest wait for the position of a stream that is being closed. The
    /// answer comes from the same process, so its lack is a fault.
    base::milliseconds close_timeout_{1'000};
    base::milliseconds request_timeout_{300'000};
    /// Longest hold of an engine without renewal, with 5 s for a cancel or
    /// call that is still on its way.
    base::milliseconds max_engine_hold_{35'000};
    /// Told to callers where the owner gave no better time.
    base::milliseconds retry_after_{1'000};

    /// A resume is tried this often per attempt, this long after the break.
    /// All tries lie within the 5 s that an engine keeps a broken stream.
    std::uint8_t max_resumes_{3};
    base::milliseconds resume_delay_{100};
    std::uint8_t max_reruns_{2};
    /// Longest wait for news of an engine whose connection broke before the
    /// request runs elsewhere. A crash is then known before the next run, so
    /// that a crashing request is blamed after its second engine.
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
    std::uint64_t cancelled_{0}; ///< The caller was gone.
    std::uint64_t reruns_{0};
    std::uint64_t resumes_{0};
    std::uint64_t budget_denied_{0};
    std::uint64_t autonomous_{0};     ///< Placed without the owner.
    std::uint64_t dropped_events_{0}; ///< Of attempts that are not current.
    std::uint64_t quarantined_{0};    ///< Refused for their crash marks.
};

/// An engine at which an attempt may hold memory.
struct memory_hold {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    bool cancelling_{false}; ///< A cancel is sent until it is resolved.
};

/// All model requests that one entry accepted.
class request_table {
public:
    explicit request_table(const table_settings& settings);
    request_table(request_table&&) noexcept;
    request_table& operator=(request_table&&) noexcept;
    ~request_table();

    /// Decides what follows from one event. `now` never goes back. An event
    /// that concerns no current attempt or request yields no action, except
    /// that the place of a late grant is given back.
    std::vector<action> handle(const event& e, base::time_point now);

    /// When the next `tick` is due; nothing when no wait is open.
    std::optional<base::time_point> next_deadline() const;

    /// Whether no request runs and no cancel is open, so that a draining
    /// entry may exit.
    bool idle() const;

    /// Every engine at which an attempt of this entry may hold memory. An
    /// attempt leaves the list only when it completed or was refused there,
    /// a cancel was confirmed, the engine instance is gone, or the engine's
    /// own hold has ended.
    std::vector<memory_hold> memory_holds() const;

    table_counts counts() const;

private:
    std::unique_ptr<internal::table_core> core_;
};

} // namespace pimentoferry::requests

#endif
