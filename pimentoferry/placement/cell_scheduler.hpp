/// Scheduler of one cell, run by the entry that owns the cell.
///
/// The scheduler holds the queue of the cell. It grants a prefill only while
/// it can reserve a decode slot for the result, and binds the decode engine
/// when the prefill ends. It is a state machine without sockets, threads or a
/// clock: the caller passes events with their times and performs the returned
/// actions.
///
///     placement::scheduler_settings settings;
///     settings.cell_ = base::cell_name{"verdicts"};
///     placement::cell_scheduler cell{settings};
///
///     // Membership made this entry the owner of the cell:
///     perform(cell.handle(placement::engines_changed{engines}, now));
///     perform(cell.handle(placement::became_owner{}, now));
///
///     // A message from any entry, including this one:
///     perform(cell.handle(placement::entry_message{sender, message}, now));
///     // Replies are `send_to_entry` actions of this or a later call:
///     //   placement_request -> placement_grant | placement_refusal
///     //                        | placement_queued, then one of the two
///     //   prefill_finished  -> decode_bound | placement_refusal
///     //   engine_lost       -> decode_bound | placement_refusal
///     //                        (for a decode engine)
///
///     // Polls of the cell's engines, about every 250 ms:
///     perform(cell.handle(placement::load_report{...}, now));
///     perform(cell.handle(placement::cache_events{...}, now));
///
///     // Timer, at next_wakeup() and at least every 200 ms:
///     perform(cell.handle(placement::tick{}, now));
///
/// Times must not decrease. Messages are matched by attempt id: a message for
/// an unknown or ended attempt, or from an instance other than the one in the
/// attempt id, is ignored. Before `became_owner`, placement requests are
/// refused with `not_owner`.
///
/// An entry that was reported dead counts as alive again from its next
/// `placement_request` or `attempt_announcement` on; its cancelled attempts
/// stay cancelled. The caller reports every instance that membership considers
/// dead to a new owner.
///
/// The first-token budget of a request may be longer than
/// `scheduler_settings::first_token_target_` (a patient deployment). Such a
/// request is scheduled by its target while the target can be met. Afterwards
/// it is late: it is scheduled behind all requests that are not late, until
/// its budget ends.
///
/// The policies other than `reserved` are baselines for benchmarks. They keep
/// no queue and reserve no decode slots.
#ifndef PIMENTOFERRY_PLACEMENT_CELL_SCHEDULER_HPP
#define PIMENTOFERRY_PLACEMENT_CELL_SCHEDULER_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/placement/events.hpp"
#include "pimentoferry/placement/settings.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace pimentoferry::placement {

namespace internal {
class cell_core;
}

/// Current resource use of a cell; for metrics and tests.
struct cell_usage {
    std::uint32_t queued_{0};
    std::uint32_t prefilling_{0}; ///< Prefill granted, not finished.
    std::uint32_t unbound_{0};    ///< Prefill results without a decode engine.
    std::uint32_t bound_{0};      ///< Transferring or decoding.
    std::uint32_t slots_{0};      ///< Of serving decode engines.
    std::uint32_t slots_held_{0}; ///< Of serving decode engines.
    std::uint32_t kv_blocks_{0};
    std::uint32_t kv_blocks_held_{0};
    std::uint32_t reserved_slots_{0}; ///< Of the decode pool, not bound yet.
    std::uint32_t reserved_kv_blocks_{0};
    std::uint32_t prefill_kv_blocks_held_{0}; ///< Of serving prefill engines.
    std::uint32_t attempts_{0};               ///< In any stage.
};

class cell_scheduler {
public:
    explicit cell_scheduler(const scheduler_settings& settings);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;
    cell_scheduler(const cell_scheduler&) = delete;
    cell_scheduler& operator=(const cell_scheduler&) = delete;

    /// Handles one event. The caller performs the actions in order.
    std::vector<action> handle(const event& e, base::time_point now);

    /// When the next `tick` is due; none if no timer is pending.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

    /// Applies a policy or target that a ticket changed; keeps the queue.
    void configure(const scheduler_settings& settings);

    [[nodiscard]] cell_usage usage() const;

private:
    std::unique_ptr<internal::cell_core> core_;
};

} // namespace pimentoferry::placement

#endif
