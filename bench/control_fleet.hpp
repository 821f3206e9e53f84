/// Simulates a fleet of entries with membership and tickets in one process and
/// on virtual time, and measures the cost of the control plane.
#ifndef PIMENTOFERRY_BENCH_CONTROL_FLEET_HPP
#define PIMENTOFERRY_BENCH_CONTROL_FLEET_HPP

#include "pimentoferry/membership/swim.hpp"
#include "pimentoferry/tickets/memory_store.hpp"
#include "pimentoferry/tickets/ticket_log.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentoferry::bench {

using base::milliseconds;
using base::time_point;

struct fleet_settings {
    std::size_t entries_{9};
    double push_loss_{0};       ///< Probability of loss of each `number_push`.
    bool gossip_numbers_{true}; ///< Membership gossip carries ticket numbers.
    std::size_t callers_{100};  ///< Caller objects in the state.
    std::size_t engines_{30};
};

struct fleet_cost {
    std::uint64_t membership_messages_{0};
    std::uint64_t membership_bytes_{0}; ///< Sent.
    std::uint64_t ticket_messages_{0};
    std::uint64_t ticket_bytes_{0}; ///< Sent.
    std::uint64_t store_calls_{0};
    std::uint64_t store_bytes_{0}; ///< Values read and written.
    std::chrono::nanoseconds membership_time_{0};
    std::chrono::nanoseconds ticket_time_{0};
};

class control_fleet {
public:
    explicit control_fleet(const fleet_settings& settings);

    void run(milliseconds duration);

    /// Applies a ticket of about 2 KB at an entry; returns its number.
    std::uint64_t apply_ticket(std::size_t entry);

    /// Sorted times from the acceptance of the last ticket until each entry
    /// applied it, without the entries that have not applied it.
    std::vector<milliseconds> in_force_times() const;

    /// Partitions the entries from this index on from all other entries and
    /// from the store.
    void partition_from(std::size_t first) { first_partitioned_ = first; }

    /// Number of entries from this index on that refuse work, as `partitioned`
    /// or for another reason.
    std::size_t refusing_from(std::size_t first) const;

    /// Whether each entry sees all others alive, serves and has applied the
    /// last ticket.
    bool settled() const;

    const fleet_cost& cost() const { return cost_; }
    void reset_cost() { cost_ = fleet_cost{}; }

private:
    struct entry {
        std::unique_ptr<membership::swim> swim_;
        std::unique_ptr<tickets::ticket_log> log_;
        bool view_changed_{true};
        time_point applied_at_;
    };

    struct task {
        time_point at_;
        std::uint64_t sequence_{0};
        std::function<void()> callback_;
        friend bool operator>(const task& a, const task& b) {
            return std::tie(a.at_, a.sequence_) > std::tie(b.at_, b.sequence_);
        }
    };

    void at(time_point when, std::function<void()> callback);
    void every(milliseconds period,
               milliseconds first,
               const std::function<void()>& callback);
    void swim_event(std::size_t index, const membership::event& event);
    void ticket_event(std::size_t index, const tickets::event& event);
    void run_action(std::size_t from, membership::send_message& action);
    void run_action(std::size_t from, const tickets::action& action);
    void call_store(std::size_t from, const store::operation& operation);
    void update_peer_view(std::size_t index);
    void load_state();
    void submit(std::size_t index, const std::string& objects);
    bool connected(std::size_t a, std::size_t b) const;
    std::size_t index_of(base::instance_id to,
                         const base::endpoint& address) const;

    fleet_settings settings_;
    std::mt19937_64 random_{20251204};
    time_point now_{milliseconds{1000000}};
    std::priority_queue<task, std::vector<task>, std::greater<>> tasks_;
    std::uint64_t last_sequence_{0};
    std::vector<entry> entries_;
    std::unordered_map<base::instance_id, std::size_t> by_instance_;
    std::map<base::endpoint, std::size_t> by_address_;
    tickets::testing::memory_store store_;
    std::size_t first_partitioned_;
    std::uint64_t number_{0}; ///< Of the last accepted ticket.
    time_point accepted_at_;
    fleet_cost cost_;
};

} // namespace pimentoferry::bench

#endif
