/// State that the parts of `once_service` share while one event is handled.
#ifndef PIMENTOFERRY_ONCE_CONTEXT_HPP
#define PIMENTOFERRY_ONCE_CONTEXT_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/events.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

namespace pimentoferry::once::internal {

/// The last membership view, and the highest known ownership of each shard.
class entry_view {
public:
    entry_view(base::instance_id self, shard_number shards);

    void update(const view_changed& view);
    /// Keeps the ownership with the higher epoch; true if that is the new one.
    bool merge_ownership(const shard_ownership& ownership);

    [[nodiscard]] bool is_live(base::instance_id instance) const;
    /// True once the instance was listed in any view.
    [[nodiscard]] bool was_ever_listed(base::instance_id instance) const;
    [[nodiscard]] const shard_ownership& owner(shard_number shard) const;
    /// The entry that takes over the shard when it has no live owner: the
    /// highest rendezvous score among the live entries that do not drain.
    [[nodiscard]] base::instance_id candidate(shard_number shard) const;
    /// The entry to which messages for the shard are sent: the live owner or
    /// else the candidate; none if there is neither.
    [[nodiscard]] base::instance_id route(shard_number shard) const;
    /// Changes whenever `route` may return another entry.
    [[nodiscard]] std::uint64_t version() const { return version_; }

private:
    void choose_candidates();

    base::instance_id self_;
    std::unordered_map<base::instance_id, bool> draining_by_live_;
    std::unordered_set<base::instance_id> ever_listed_;
    std::vector<shard_ownership> owners_;
    std::vector<base::instance_id> candidates_;
    std::uint64_t version_{0};
};

/// Collects the actions that result from one event.
class outbox {
public:
    outbox(base::instance_id self) : self_(self) {}

    void push(action next) { actions_.push_back(std::move(next)); }
    void queue_for_owner(base::instance_id to, to_owner message);
    void queue_for_entry(base::instance_id to, to_entry message);
    /// The token contains the shard number, by which the result is dispatched.
    store::token use_store(shard_number shard, store::request request);
    static shard_number shard_of_token(store::token token);

    /// A message of this entry to itself, handled within the same event.
    using local_message = std::variant<to_owner, to_entry>;
    std::deque<local_message> take_local();
    std::vector<action> take_actions();

private:
    base::instance_id self_;
    std::vector<action> actions_;
    std::deque<local_message> local_;
    std::uint64_t operations_{0};
};

struct context {
    base::time_point now_;
    base::wall_time wall_;
    entry_view& view_;
    outbox& out_;
};

/// The earlier of two times, of which either may be absent.
std::optional<base::time_point>
earliest(std::optional<base::time_point> first,
         std::optional<base::time_point> second);

} // namespace pimentoferry::once::internal

#endif
