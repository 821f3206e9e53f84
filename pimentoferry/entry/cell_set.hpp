/// The cells that this entry schedules, and which of their engines are due to
/// be polled.
///
/// No sockets, no threads and no clock: the control thread polls the engines
/// that `due` names and passes what they report to `handle`.
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
    std::optional<std::uint64_t> cache_after_; ///< Last sequence seen.
};

class cell_set {
public:
    using is_leaving_function = std::function<bool(const base::upstream_name&)>;
    using actions = std::vector<placement::action>;

    bool owns(const base::cell_name& cell) const {
        return cells_.contains(cell);
    }
    std::vector<base::cell_name> names() const;

    /// Begins to schedule a cell.
    actions open(const base::cell_name& cell,
                 const routing_table& routing,
                 const is_leaving_function& is_leaving,
                 const std::vector<base::instance_id>& dead,
                 base::time_point now);

    /// Takes changed tickets or leaving upstreams.
    actions refresh(const base::cell_name& cell,
                    const routing_table& routing,
                    const is_leaving_function& is_leaving,
                    base::time_point now);

    actions close(const base::cell_name& cell, base::time_point now);

    /// Nothing happens for a cell that is not scheduled here.
    actions handle(const base::cell_name& cell,
                   const placement::event& event,
                   base::time_point now);

    /// Polls to start now; an engine is named again after `polled`.
    std::vector<due_poll> due(base::time_point now);
    void polled(const due_poll& poll,
                std::uint64_t last_sequence,
                base::time_point now);

    /// When the last place was asked for in the cell.
    base::time_point last_request(const base::cell_name& cell) const;

    std::optional<base::time_point> next_wakeup() const;

private:
    struct followed_engine {
        base::endpoint address_;
        bool prefill_{false};
        bool polling_{false};
        base::time_point next_load_;
        base::time_point next_cache_;
        std::uint64_t sequence_{0};
    };
    struct owned_cell {
        placement::cell_scheduler scheduler_;
        std::map<base::upstream_name, followed_engine> engines_;
        base::time_point last_request_;
    };

    static std::vector<placement::engine_description>
    follow(owned_cell& cell,
           const base::cell_name& name,
           const routing_table& routing,
           const is_leaving_function& is_leaving);

    std::map<base::cell_name, owned_cell> cells_;
};

} // namespace pimentoferry::entry

#endif
