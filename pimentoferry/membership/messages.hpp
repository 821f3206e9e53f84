/// Messages of the failure detector and the gossip items that they carry.
///
/// Members and alternatives are encoded by position, see `wire/codec.hpp`.
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

/// Record of one entry in the view of all entries. The higher incarnation wins;
/// at the same incarnation the worse state wins.
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
    /// Requests of callers; determines the weight in the address list.
    std::uint32_t in_flight_{0};
    /// Increases with each change of the three members above.
    std::uint32_t version_{0};
    /// Processor share in 1/1000 of a core, and bandwidth of the machine in
    /// Mbit/s; 0: unknown. Constant for an instance.
    std::uint32_t millicores_{0};
    std::uint32_t link_mbps_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.instance_, self.name_, self.peer_address_,
                        self.traffic_address_, self.failure_domain_,
                        self.region_, self.incarnation_, self.state_,
                        self.draining_, self.applied_ticket_, self.in_flight_,
                        self.version_, self.millicores_, self.link_mbps_);
    }
};

/// The owner of an at-most-once shard; the higher epoch wins.
struct shard_owner {
    std::uint32_t shard_{0};
    std::uint64_t epoch_{0};
    base::instance_id owner_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.shard_, self.epoch_, self.owner_);
    }
};

/// Free decode slots of a cell, from its owner; the higher version wins.
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

/// The crash mark of a request, see the `requests` library.
struct crash_mark {
    std::uint64_t fingerprint_{0};
    std::uint8_t crashes_{0};
    base::milliseconds remaining_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.fingerprint_, self.crashes_, self.remaining_);
    }
};

/// An upstream that is leaving, as read from the platform's instance list,
/// which is updated with a delay.
struct leaving_upstream {
    base::upstream_name upstream_;
    base::endpoint address_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.upstream_, self.address_);
    }
};

/// The variable part of a member record, without the addresses and names that
/// make up most of its size: with whole records, the state changes of a
/// partition and the ticket numbers after each ticket would not fit into the
/// messages at 330 entries.
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

/// One item of gossip; each entry sends it a bounded number of times.
using gossip_item = std::variant<member,
                                 shard_owner,
                                 cell_headroom,
                                 crash_mark,
                                 leaving_upstream,
                                 member_update>;

/// Probes the receiver, which replies with an `ack`.
struct ping {
    std::uint64_t sequence_{0};
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.gossip_);
    }
};

/// Reply to the `ping` or `ping_request` with the same sequence number.
struct ack {
    std::uint64_t sequence_{0};
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.gossip_);
    }
};

/// Requests that the receiver pings `target_` and relays its ack.
struct ping_request {
    std::uint64_t sequence_{0};
    base::instance_id target_;
    std::vector<gossip_item> gossip_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.sequence_, self.target_, self.gossip_);
    }
};

/// Requests the whole view of the receiver, at the first contact with an
/// address and for periodic exchanges.
struct join {
    member self_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.self_);
    }
};

/// Reply to a `join`: the receiver's own record and its view.
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
