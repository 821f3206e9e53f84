/// Input events and output actions of `swim`.
#ifndef PIMENTOFERRY_MEMBERSHIP_EVENTS_HPP
#define PIMENTOFERRY_MEMBERSHIP_EVENTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/membership/messages.hpp"

#include <cstdint>
#include <variant>
#include <vector>

namespace pimentoferry::membership {

/// The process starts. Must be the first event.
struct start {};

/// Advances the timers. To be passed about every 50 ms, which is the precision
/// of all timeouts.
struct tick {};

/// A message from another entry was received.
struct peer_message {
    base::instance_id from_;
    message message_;
};

/// Peer addresses of entries for the first contact, from the settings, the
/// platform's instance list and the store. Replaces the earlier addresses; may
/// contain the address of this entry.
struct seeds_updated {
    std::vector<base::endpoint> addresses_;
};

/// The state that this entry publishes of itself. Changes of `draining_` and
/// `applied_ticket_` are published at once, the load only when it changed by a
/// quarter and by 2 requests at least, and at a limited rate.
struct self_changed {
    bool draining_{false};
    std::uint64_t applied_ticket_{0};
    std::uint32_t in_flight_{0};
};

/// Adds a shard owner, cell headroom, crash mark or leaving upstream to the
/// gossip. A newer item for the same object replaces it.
struct publish {
    gossip_item item_;
};

/// The process shuts down in order. Must be the last event; later ones are
/// ignored.
struct leave {};

using event = std::variant<start,
                           tick,
                           peer_message,
                           seeds_updated,
                           self_changed,
                           publish,
                           leave>;

/// Sends the message over a peer link. `to_` is none at the first contact, when
/// only the address is known. The address is empty for a reply to an entry that
/// is not in the view; the driver has the reply address of its message.
struct send_message {
    base::instance_id to_;
    base::endpoint address_;
    message message_;
};

/// A member was added to the view, or its record changed.
struct member_changed {
    member member_;
};

/// A gossip item other than a member record that is new or newer than the
/// stored one, from a peer or from `publish`.
struct gossip_received {
    gossip_item item_;
};

using action = std::variant<send_message, member_changed, gossip_received>;

} // namespace pimentoferry::membership

#endif
