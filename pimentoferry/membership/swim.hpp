/// Failure detector and gossip of one entry, after the SWIM protocol.
///
///     membership::swim swim{{self, seed}};
///     for (auto& action : swim.handle(membership::start{}, now)) { ... }
///
/// A decision library: no sockets, no threads, no clock. The driver performs
/// the actions and passes in received messages and about 20 ticks a second.
///
/// Every 500 ms one member is pinged, in shuffled order. If it sends no ack
/// within 150 ms, three other members ping it too. Without any ack by the end
/// of the period it is suspected, and 1.5 s later it is declared dead unless it
/// refutes the suspicion with a higher incarnation. One dead member or missing
/// seed is contacted every 5 s, so that the halves of a healed partition
/// rejoin. See section 7 of docs/design.md.
#ifndef PIMENTOFERRY_MEMBERSHIP_SWIM_HPP
#define PIMENTOFERRY_MEMBERSHIP_SWIM_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/membership/events.hpp"
#include "pimentoferry/membership/gossip_queue.hpp"
#include "pimentoferry/membership/gossip_store.hpp"
#include "pimentoferry/membership/member_view.hpp"
#include "pimentoferry/membership/ownership.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace pimentoferry::membership {

inline constexpr base::milliseconds probe_period{500};
inline constexpr base::milliseconds ack_timeout{150};
inline constexpr std::size_t indirect_probes = 3;
/// Interval of joins to seeds until the first reply.
inline constexpr base::milliseconds join_interval{1000};
/// Interval of joins to one dead member or missing seed.
inline constexpr base::milliseconds reconnect_interval{5000};
/// Interval of exchanges of the whole view with one member, which deliver
/// member records that gossip messages missed. At 330 entries an exchange is
/// about 40 KB.
inline constexpr base::milliseconds exchange_interval{60000};
/// Minimum interval of own load updates, per member of the fleet.
inline constexpr base::milliseconds load_interval_per_member{100};
/// A longer gap between two events means that this process was paused, so that
/// missing acks are no evidence against other members.
inline constexpr base::milliseconds pause_threshold{1000};

struct swim_settings {
    /// Instance, name, addresses, failure domain and region; the rest is 0.
    member self_;
    std::uint64_t seed_{0}; ///< Random seed; different for each instance.
};

class swim {
public:
    explicit swim(const swim_settings& settings);

    /// Handles one event and returns the actions to perform, in order.
    std::vector<action> handle(const event& input, base::time_point now);

    const member& self() const { return self_; }

    /// Live members including this entry until it leaves, ordered by instance.
    /// Suspects are included unless `without_suspects` is set.
    std::vector<member> live(bool without_suspects = false) const;

    /// Names of entries that shut down in order and have no live successor.
    std::vector<std::string> left() const;

    /// All members in the view, without this entry.
    const member_view& view() const { return view_; }

    const known_member* find(base::instance_id instance) const {
        return view_.find(instance);
    }

    /// Gossip items other than member records.
    const gossip_store& gossip() const { return gossip_; }

    /// The owner of a cell among all `cells`; none when its region is empty.
    base::instance_id cell_owner(const base::cell_name& cell,
                                 const std::vector<cell_location>& cells) const;

    std::vector<base::instance_id> shard_candidates(std::uint32_t shard) const {
        return membership::shard_candidates(shard, live());
    }

    std::vector<weighted_address> address_list() const {
        return membership::address_list(live());
    }

private:
    struct probe {
        base::instance_id target_;
        std::uint64_t sequence_{0};
        base::time_point sent_;
        bool indirect_{false};
    };
    /// A ping that was sent for the `ping_request` of another entry.
    struct relayed_ping {
        base::instance_id requester_;
        std::uint64_t sequence_{0};
        base::time_point sent_;
    };

    void on(const start& event, base::time_point now);
    void on(const tick& event, base::time_point now);
    void on(const peer_message& event, base::time_point now);
    void on(const seeds_updated& event, base::time_point now);
    void on(const self_changed& event, base::time_point now);
    void on(const publish& event, base::time_point now);
    void on(const leave& event, base::time_point now);

    void on_message(base::instance_id from,
                    const ping& received,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const ack& received,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const ping_request& received,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const join& received,
                    base::time_point now);
    void on_message(base::instance_id from,
                    const join_answer& received,
                    base::time_point now);

    void advance_probe(base::time_point now);
    void begin_probe(base::time_point now);
    void request_indirect_probes(const probe& unacknowledged);
    std::optional<base::instance_id> next_target();
    void suspect(base::instance_id target, base::time_point now);
    void declare_overdue_dead(base::time_point now);
    void contact_seeds(base::time_point now);
    void reconnect(base::time_point now);

    void merge(const gossip_item& received, base::time_point now);
    void merge(const member& received, base::time_point now);
    void merge(const member_update& received, base::time_point now);
    void refute(const member_update& received);
    void replace_predecessor(const member& successor, base::time_point now);
    void after_merge(merge_result result, base::instance_id instance);
    void queue_own_update();

    std::vector<gossip_item> gossip_for(base::instance_id to);
    void send(base::instance_id to, message value);
    void send_join(base::instance_id to, const base::endpoint& address);
    std::vector<base::instance_id> sample(std::vector<base::instance_id> from,
                                          std::size_t count);

    member self_;
    std::mt19937_64 random_;
    member_view view_;
    gossip_queue gossip_queue_;
    gossip_store gossip_;
    std::vector<base::endpoint> seeds_;
    /// Members that are not yet probed in this round.
    std::vector<base::instance_id> round_targets_;
    std::optional<probe> probe_;
    std::map<std::uint64_t, relayed_ping> relayed_;
    std::uint64_t last_sequence_{0};
    bool started_{false};
    bool joined_{false};
    bool left_{false};
    base::time_point last_event_;
    base::time_point next_probe_;
    base::time_point next_join_;
    base::time_point next_reconnect_;
    base::time_point next_exchange_;
    base::time_point next_load_;
    std::uint32_t load_{0}; ///< Latest; `self_` has the published load.
    std::vector<action> out_;
};

} // namespace pimentoferry::membership

#endif
