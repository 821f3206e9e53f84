/// The cells that this entry schedules, and which of their engines are due for
/// a poll.
///
/// Uses no sockets, threads or clock: the control thread polls the engines that
/// `take_due_polls` returns and passes their reports to `handle`.
#ifndef PIMENTOFERRY_ENTRY_CELL_SET_HPP
#define PIMENTOFERRY_ENTRY_CELL_SET_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/placement/cell_scheduler.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentoferry::entry {

/// An engine that is due for a poll.
struct due_poll {
    base::cell_name cell_;
    base::upstream_name engine_;
    base::endpoint address_;
    bool load_{false};
    /// The last sequence number received; nothing if no cache poll is due.
    std::optional<std::uint64_t> cache_after_;
};

class cell_set {
public:
    using is_leaving_function = std::function<bool(const base::upstream_name&)>;
    using actions = std::vector<placement::action>;

    bool schedules(const base::cell_name& cell) const {
        return cells_.contains(cell);
    }
    std::vector<base::cell_name> names() const;

    /// Begins to schedule a cell. `ended_instances` lists the instances that
    /// are dead or have left.
    actions open(const base::cell_name& cell,
                 const routing_table& routing,
                 const is_leaving_function& is_leaving,
                 const std::vector<base::instance_id>& ended_instances,
                 base::time_point now);

    /// Applies a changed routing table or changed leaving upstreams. Does
    /// nothing for a cell that is not scheduled here.
    actions refresh(const base::cell_name& cell,
                    const routing_table& routing,
                    const is_leaving_function& is_leaving,
                    base::time_point now);

    /// Stops scheduling a cell.
    actions close(const base::cell_name& cell, base::time_point now);

    /// Passes an event to the scheduler of a cell. Does nothing for a cell that
    /// is not scheduled here.
    actions handle(const base::cell_name& cell,
                   const placement::event& event,
                   base::time_point now);

    /// Returns the polls to start now. An engine is returned again only after
    /// `poll_finished`.
    std::vector<due_poll> take_due_polls(base::time_point now);
    void poll_finished(const due_poll& poll,
                       std::uint64_t last_sequence,
                       base::time_point now);

    /// When the last message of an entry to the cell arrived, or when the cell
    /// was opened if none has.
    base::time_point last_request(const base::cell_name& cell) const;

    std::optional<base::time_point> next_wakeup() const;

private:
    struct polled_engine {
        base::endpoint address_;
        bool prefill_{false};
        bool polling_{false};
        base::time_point next_load_;
        base::time_point next_cache_;
        std::uint64_t sequence_{0};
    };
    struct scheduled_cell {
        placement::cell_scheduler scheduler_;
        std::map<base::upstream_name, polled_engine> engines_;
        base::time_point last_request_;
    };

    static std::vector<placement::engine_description>
    update_engines(scheduled_cell& cell,
                   const base::cell_name& name,
                   const routing_table& routing,
                   const is_leaving_function& is_leaving);

    std::map<base::cell_name, scheduled_cell> cells_;
};

} // namespace pimentoferry::entry

#endif
