/// Scheduler of one cell, run by the cell owner.
///
/// It holds the queue of the cell, grants prefills against promised decode
/// places and binds decode engines when prefills end. It has no sockets, no
/// threads and no clock.
///
///     placement::scheduler_settings settings;
///     settings.cell_ = base::cell_name{"verdicts"};
///     placement::cell_scheduler cell{settings};
///
///     // Membership made this entry the owner of the cell:
///     perform(cell.handle(placement::engines_changed{engines}, now));
///     perform(cell.handle(placement::became_owner{}, now));
///
///     // A frame of an entry, also of this one:
///     perform(cell.handle(placement::entry_message{sender, message}, now));
///     // Answers follow as `send_to_entry`, now or from a later call:
///     //   placement_request    -> placement_grant | placement_refusal
///     //                       | placement_queued, then one of the two
///     //   prefill_finished -> decode_bound | placement_refusal
///     //   engine_lost      -> decode_bound | placement_refusal (decode
///     engine)
///
///     // Polls of the engines of the cell, about once in 250 ms:
///     perform(cell.handle(placement::load_report{...}, now));
///     perform(cell.handle(placement::cache_events{...}, now));
///
///     // Timer, at next_wakeup() and at least once in 200 ms:
///     perform(cell.handle(placement::tick{}, now));
///
/// Times never run back. Messages are recognised by their attempt id: one for
/// an unknown or ended attempt, or from an instance that is not the one in
/// the attempt id, changes nothing and is not answered. Before `became_owner`,
/// place requests are refused with `not_owner`.
///
/// An entry that was reported dead counts as alive again from its next
/// `placement_request` or `attempt_announcement` on; what was cancelled stays
/// cancelled. A new owner is told of all dead instances that membership knows.
///
/// The first-token budget of a request may be longer than
/// `scheduler_settings::first_token_target_` (a patient deployment). Such a
/// request is served by its target as long as that can be met, and behind all
/// others afterwards, until its budget ends.
///
/// The policies other than `reserved` are baselines for measurements. They
/// keep no queue and make no promises.
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

/// What a cell holds now; for metrics and tests.
struct cell_usage {
    std::uint32_t queued_{0};
    std::uint32_t prefilling_{0}; ///< Granted, not yet finished.
    std::uint32_t unbound_{0};    ///< Finished prefills without an engine.
    std::uint32_t bound_{0};      ///< Transferring or decoding.
    std::uint32_t slots_{0};      ///< Of serving decode engines.
    std::uint32_t slots_held_{0}; ///< Of serving decode engines.
    std::uint32_t kv_blocks_{0};
    std::uint32_t kv_blocks_held_{0};
    std::uint32_t reserved_slots_{0}; ///< Of the decode pool, not bound yet.
    std::uint32_t reserved_kv_blocks_{0};
    std::uint32_t prefill_kv_blocks_held_{0}; ///< Of serving prefill engines.
    std::uint32_t attempts_{0}; ///< Records of attempts in any stage.
};

class cell_scheduler {
public:
    explicit cell_scheduler(const scheduler_settings& settings);
    ~cell_scheduler();
    cell_scheduler(cell_scheduler&&) noexcept;
    cell_scheduler& operator=(cell_scheduler&&) noexcept;
    cell_scheduler(const cell_scheduler&) = delete;
    cell_scheduler& operator=(const cell_scheduler&) = delete;

    /// Handles one event; the actions are to be performed in order.
    std::vector<action> handle(const event& e, base::time_point now);

    /// When `tick` is due next; none if nothing waits for time to pass.
    [[nodiscard]] std::optional<base::time_point> next_wakeup() const;

    /// Takes a changed policy or target from a ticket; the queue stays.
    void configure(const scheduler_settings& settings);

    [[nodiscard]] cell_usage usage() const;

private:
    std::unique_ptr<internal::cell_core> core_;
};

} // namespace pimentoferry::placement

#endif
