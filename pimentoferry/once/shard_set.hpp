/// Decides which shards this entry takes over, keeps and releases.
///
///     shard_set shards{settings, self};
///     shards.review(ctx);   // after each change of the view, and on a timer
///
/// A shard without a live owner is taken over by the entry with the highest
/// rendezvous score among the live entries that do not drain. A live owner is
/// never replaced. The view may be wrong at any entry, so a shard may have two
/// owners at once; the compare-and-swap writes of `shard_log` let at most one
/// of them make records durable.
#ifndef PIMENTOFERRY_ONCE_SHARD_SET_HPP
#define PIMENTOFERRY_ONCE_SHARD_SET_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/context.hpp"
#include "pimentoferry/once/events.hpp"
#include "pimentoferry/once/messages.hpp"
#include "pimentoferry/once/shard_owner.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace pimentoferry::once::internal {

class shard_set {
public:
    shard_set(const settings& limits, base::instance_id self);

    void receive(const to_owner& message, context& ctx);
    void handle(const store::result& result, context& ctx);
    void handle_time(context& ctx);
    /// Compares every shard with the view.
    void review(context& ctx);
    /// Starts the writes that are due.
    void pump(context& ctx);
    void drain() { draining_ = true; }
    void set_window(base::milliseconds window);

    [[nodiscard]] std::optional<base::time_point>
    next_wakeup(const entry_view& view) const;
    [[nodiscard]] std::vector<shard_number> owned() const;
    [[nodiscard]] bool all_closed() const;
    [[nodiscard]] std::size_t record_count() const;

private:
    struct review_state {
        /// The head is not read before this time, whatever the view says.
        base::time_point not_before_{base::time_point::min()};
        /// Next read of the head of a shard with another live owner, or next
        /// announcement of a shard that this entry owns.
        base::time_point poll_at_{base::time_point::min()};
        /// Since when the head names an owner that no view ever listed.
        std::optional<base::time_point> unknown_since_;
    };

    void review_shard(shard_number shard, context& ctx);
    void review_open(shard_number shard, context& ctx);
    void review_closed(shard_number shard, context& ctx);
    void on_event(shard_number shard, const log_event& event, context& ctx);
    void on_head(shard_number shard, const head_read& head, context& ctx);
    bool
    is_dead(base::instance_id owner, review_state& state, const context& ctx);
    void announce(const shard_ownership& ownership, context& ctx);
    [[nodiscard]] bool may_take_over(shard_number shard,
                                     const entry_view& view) const;
    /// When the next read of the head of a closed shard is due.
    [[nodiscard]] base::time_point next_head_read(shard_number shard,
                                                  const entry_view& view) const;

    settings limits_;
    base::instance_id self_;
    std::vector<shard_owner> shards_;
    std::vector<review_state> review_states_;
    bool draining_{false};
};

} // namespace pimentoferry::once::internal

#endif
