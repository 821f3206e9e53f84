/// View of the other entries of the fleet, merged from gossip.
///
/// For each instance the higher incarnation wins, and at the same incarnation
/// the worse state. Draining, ticket number and load have a version of their
/// own, because they change without a change of state.
#ifndef PIMENTOFERRY_MEMBERSHIP_MEMBER_VIEW_HPP
#define PIMENTOFERRY_MEMBERSHIP_MEMBER_VIEW_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <map>
#include <set>
#include <vector>

namespace pimentoferry::membership {

/// Time in which a suspected member can refute the suspicion.
inline constexpr base::milliseconds suspicion_limit{1500};
/// Dead and left members are kept for this long, so that late gossip does not
/// revive them and the other side of a partition is contacted again. A split of
/// a region lasts an hour.
inline constexpr base::milliseconds ended_member_retention{2 * 3600 * 1000};

/// The record of a member in the view.
struct known_member {
    member member_;
    base::time_point since_; ///< When the state was entered.
};

/// The change that a merge made.
enum class merge_result : std::uint8_t {
    nothing,
    details, ///< Draining, ticket number or load.
    state,   ///< New member, state or incarnation.
};

class member_view {
public:
    /// Merges the record of a member other than this entry.
    merge_result merge(const member& received, base::time_point now);
    /// As above; an update of an instance that is not in the view is ignored.
    merge_result merge(const member_update& received, base::time_point now);

    const known_member* find(base::instance_id instance) const;
    /// All members, including dead and left ones.
    const std::map<base::instance_id, known_member>& all() const {
        return members_;
    }

    /// Members that are alive or suspected; these are probed.
    std::vector<base::instance_id> live_instances() const;

    /// Suspected members that did not refute within `suspicion_limit`.
    std::vector<base::instance_id> overdue_suspects(base::time_point now) const;

    /// Restarts the suspicion time of every suspect, after this process was
    /// paused and could not receive refutations.
    void restart_suspicions(base::time_point now);

    /// Removes members that ended more than `ended_member_retention` ago.
    void remove_ended(base::time_point now);

private:
    /// Updates `suspects_` after a change of state.
    void update_suspects(const member& current);

    std::map<base::instance_id, known_member> members_;
    /// Avoids a scan of all members at each tick.
    std::set<base::instance_id> suspects_;
};

/// The variable part of a member record.
member_update update_of(const member& value);

/// Whether an entry in this state is used. A suspect is, as it may refute.
constexpr bool is_live(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace pimentoferry::membership

#endif
