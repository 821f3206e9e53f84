/// What one entry knows of the others, merged from gossip.
///
/// For an instance the higher incarnation wins, and at the same incarnation
/// the worse state. Draining, ticket number and load follow their own version,
/// because they change without a change of state.
#ifndef PIMENTOFERRY_MEMBERSHIP_MEMBER_VIEW_HPP
#define PIMENTOFERRY_MEMBERSHIP_MEMBER_VIEW_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <map>
#include <set>
#include <vector>

namespace pimentoferry::membership {

/// How long a suspected member has to refute.
inline constexpr base::milliseconds suspicion_limit{1500};
/// Ended members are remembered, so that late gossip does not revive them and
/// the other side of a partition is found again. A region split lasts an hour.
inline constexpr base::milliseconds ended_memory{2 * 3600 * 1000};

struct known_member {
    member member_;
    base::time_point since_; ///< Of the state.
};

/// What a merge changed.
enum class merge_result : std::uint8_t {
    nothing,
    details, ///< Draining, number or load.
    state,   ///< New member, state or incarnation.
};

class member_view {
public:
    /// Merges what is known of a member other than this entry.
    merge_result merge(const member& told, base::time_point now);
    /// As above; an update of an unknown instance changes nothing.
    merge_result merge(const member_update& told, base::time_point now);

    const known_member* find(base::instance_id instance) const;
    /// Every member, also ended ones.
    const std::map<base::instance_id, known_member>& all() const {
        return members_;
    }

    /// Members that are alive or only suspected.
    std::vector<base::instance_id> probed() const;

    /// Suspected members whose time to refute is over.
    std::vector<base::instance_id> overdue_suspects(base::time_point now) const;

    /// Gives every suspect its full time again, after this process was paused
    /// and could not hear a refutation.
    void restart_suspicions(base::time_point now);

    /// Forgets members that ended long ago.
    void forget_ended(base::time_point now);

private:
    void note_state(const member& known);

    std::map<base::instance_id, known_member> members_;
    /// Saves a search of all members at each tick.
    std::set<base::instance_id> suspects_;
};

/// The part of a member that changes.
member_update update_of(const member& value);

/// Whether an entry in this state is used: a suspect may still refute.
constexpr bool is_live(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

} // namespace pimentoferry::membership

#endif
