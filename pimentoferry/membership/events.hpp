/// Events and actions of `swim`.
#ifndef PIMENTOFERRY_MEMBERSHIP_EVENTS_HPP
#define PIMENTOFERRY_MEMBERSHIP_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace pimentoferry::membership {

/// The process begins; the first event.
struct start {};

/// Time passed. Send it about every 50 ms; timeouts are as exact as this.
struct tick {};

struct peer_message {
    base::instance_id from_;
    message message_;
};

/// Peer addresses of entries, from the settings, the platform's list and the
/// store. Replaces the earlier ones; the own address may be among them.
struct seeds_updated {
    std::vector<base::endpoint> addresses_;
};

/// What this entry tells of itself. Draining and the ticket number are passed
/// on at once, the load only when it changed much.
struct self_changed {
    bool draining_{false};
    std::uint64_t applied_ticket_{0};
    std::uint32_t in_flight_{0};
};

/// Passes on a shard owner, headroom, crash mark or leaving upstream. A newer
/// one for the same object replaces it.
struct publish {
    gossip_item item_;
};

/// The process ends in order; no event may follow.
struct leave {};

using event = std::variant<start,
                           tick,
                           peer_message,
                           seeds_updated,
                           self_changed,
                           publish,
                           leave>;

/// Send the message over the peer link. `to_` is none at first contact, when
/// only the address is known; the address is empty for an answer to an entry
/// that is not in the view, which goes back over its own link.
struct send_message {
    base::instance_id to_;
    base::endpoint address_;
    message message_;
};

/// A member is new, or its record changed.
struct member_changed {
    member member_;
};

/// Gossip other than of members that was not known before.
struct gossip_received {
    gossip_item item_;
};

using action = std::variant<send_message, member_changed, gossip_received>;

} // namespace pimentoferry::membership

#endif
