/// Messages of the failure detector and what gossip carries.
#ifndef PIMENTOFERRY_MEMBERSHIP_MESSAGES_HPP
#define PIMENTOFERRY_MEMBERSHIP_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::membership {

enum class member_state : std::uint8_t { alive, suspect, dead, left };

/// What everyone knows of one entry. A higher incarnation wins; at the same
/// incarnation the worse state wins.
struct member {
    base::instance_id instance_;
    std::string name_;
    base::endpoint peer_address_;
    base::endpoint traffic_address_;
    base::failure_domain failure_domain_;
    std::string region_;
    std::uint32_t incarnation_{0};
    member_state state_{member_state::alive};
    bool draining_{false};
    std::uint64_t applied_ticket_{0};
    std::uint32_t in_flight_{0}; ///< Requests of callers; sets the weight.
    std::uint32_t version_{0};   ///< Grows with each change of the lines above.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.name_, self.peer_address_,
                        self.traffic_address_, self.failure_domain_,
                        self.region_, self.incarnation_, self.state_,
                        self.draining_, self.applied_ticket_, self.in_flight_,
                        self.version_);
    }
};

/// Who owns an at-most-once shard; the higher epoch wins.
struct shard_owner {
    std::uint32_t shard_{0};
    std::uint64_t epoch_{0};
    base::instance_id owner_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.shard_, self.epoch_, self.owner_);
    }
};

/// Free decode places of a cell, from its owner; the higher version wins.
struct cell_headroom {
    base::cell_name cell_;
    base::instance_id owner_;
    std::uint64_t version_{0};
    std::uint32_t free_decode_slots_{0};
    std::uint32_t queued_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.cell_, self.owner_, self.version_,
                        self.free_decode_slots_, self.queued_);
    }
};

/// A crash mark of a request, see the `requests` library.
struct crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.fingerprint_, self.crashes_, self.remaining_);
    }
};

/// An upstream that is leaving, learnt from the platform's lagging list.
struct leaving_upstream {
    base::upstream_name upstream_;
    base::endpoint address_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.upstream_, self.address_);
    }
};

/// What changes of a known member, without the addresses and names that make
/// up most of a `member`: at 330 entries the state changes of a partition and
/// the numbers after each ticket would not fit into the messages otherwise.
struct member_update {
    base::instance_id instance_;
    std::uint32_t incarnation_{0};
    member_state state_{member_state::alive};
    bool draining_{false};
    std::uint64_t applied_ticket_{0};
    std::uint32_t in_flight_{0};
    std::uint32_t version_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.incarnation_, self.state_,
                        self.draining_, self.applied_ticket_, self.in_flight_,
                        self.version_);
    }
};

/// One piece of gossip, retransmitted a bounded number of times.
using gossip_item = std::variant<member,
                                 shard_owner,
                                 cell_headroom,
                                 crash_mark,
                                 leaving_upstream,
                                 member_update>;

struct ping {
    std::uint64_t sequence_{0};
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.gossip_);
    }
};

struct ack {
    std::uint64_t sequence_{0};
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.gossip_);
    }
};

/// Asks a third entry to ping `target_` and to pass its ack on.
struct ping_request {
    std::uint64_t sequence_{0};
    base::instance_id target_;
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.target_, self.gossip_);
    }
};

/// First contact with an address whose instance is not known yet; the answer
/// is the whole view.
struct join {
    member self_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.self_);
    }
};

struct join_answer {
    std::vector<member> members_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.members_);
    }
};

using message = std::variant<ping, ack, ping_request, join, join_answer>;

} // namespace pimentoferry::membership

#endif
