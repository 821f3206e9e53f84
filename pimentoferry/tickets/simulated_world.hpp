/// Simulates several `ticket_log` instances in virtual time, with a store, a
/// network and a membership view that can fail, and checks the guarantees of
/// section 6 of docs/design.md. Used by tests only.
#ifndef PIMENTOFERRY_TICKETS_SIMULATED_WORLD_HPP
#define PIMENTOFERRY_TICKETS_SIMULATED_WORLD_HPP

#include "pimentoferry/tickets/memory_store.hpp"
#include "pimentoferry/tickets/ticket_log.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace pimentoferry::tickets::testing {

using base::milliseconds;
using base::time_point;

enum class store_mode : std::uint8_t { up, down, lose_answers, slow };

/// One step of a test. `slot_` and `value_` are reduced modulo the range that
/// the kind allows.
struct command {
    enum class kind : std::uint8_t {
        advance,
        apply,
        race,   ///< Two operators submit different tickets of one number.
        repeat, ///< Submits the last ticket again at another entry.
        pause,
        restart,
        change_store,
        cut_store, ///< Disconnects one entry from the store.
        partition,
        lose_messages,
        jump_clock,
        count,
    };
    kind kind_{kind::advance};
    std::uint32_t slot_{0};
    std::uint32_t value_{0};
};

std::string to_string(const command& value);

class simulated_world {
public:
    static constexpr std::size_t slot_count = 5;

    explicit simulated_world(std::uint64_t seed);

    void run(const command& step);

    /// Ends all faults, waits 12 s, and checks that all entries have converged.
    void settle();

    /// Descriptions of violated guarantees; empty if there are none.
    const std::vector<std::string>& violations() const { return violations_; }

    std::uint64_t accepted_count() const { return accepted_at_.size(); }

private:
    /// One entry of the fleet; each restart makes it a new instance.
    struct slot {
        std::unique_ptr<ticket_log> log_;
        base::instance_id instance_;
        bool running_{false};
        time_point paused_until_;
        time_point restart_at_;
        time_point store_cut_until_;
        std::uint64_t applied_{0}; ///< Number in the last `applied`.
        std::map<std::size_t, time_point> last_reached_;
        std::map<std::size_t, std::uint64_t> gossip_;
    };

    struct delivery {
        std::size_t slot_{0};
        base::instance_id instance_;
        event event_;
    };

    /// A store operation in flight.
    struct store_arrival {
        std::size_t slot_{0};
        base::instance_id instance_;
        store::operation operation_;
        time_point sent_;
        bool answer_lost_{false};
    };

    struct submitted {
        std::string nonce_;
        std::string text_;
        std::uint64_t number_{0};
    };

    time_point at(milliseconds offset) const { return now_ + offset; }
    std::uint32_t random_below(std::uint32_t below);
    std::string name(std::size_t index) const;
    bool paused(std::size_t index) const;
    bool connected(std::size_t from, std::size_t to) const;
    bool reaches_store(std::size_t index) const;
    void advance(milliseconds duration);
    void step();
    void start_entry(std::size_t index);
    void deliver(std::size_t index, const event& occurred);
    void run_action(std::size_t index, const action& next_action);
    void send_to_store(std::size_t index, const store::operation& operation);
    void execute_at_store(const store_arrival& operation);
    void send_to_peer(std::size_t from, const send_message& outgoing);
    void update_membership(std::size_t index);
    void submit(std::size_t index,
                std::uint64_t number,
                std::string nonce,
                std::string text);
    void submit_new(std::size_t index, std::uint64_t number);
    void check_answer(const operator_answer& reply);
    void check_head(const std::string& value);
    void check_serving(std::size_t index);
    void postpone_unreadable();
    void check_converged();
    void add_violation(const std::string& text);

    std::mt19937_64 random_;
    time_point now_{milliseconds{1000000}};
    std::vector<slot> slots_;
    std::multimap<time_point, delivery> deliveries_;
    std::multimap<time_point, store_arrival> store_arrivals_;
    memory_store store_;
    store_mode store_mode_{store_mode::up};
    time_point store_fault_until_;
    std::uint32_t far_side_{0}; ///< Slots cut off from the rest and the store.
    time_point partition_until_;
    time_point loss_until_;
    std::uint64_t last_instance_{0};
    std::uint64_t last_request_{0};
    std::uint64_t last_nonce_{0};
    std::map<std::uint64_t, submitted> submitted_; ///< By request.
    std::uint64_t accepted_number_{0};
    /// When each number was accepted or could first be read by any entry.
    std::map<std::uint64_t, time_point> accepted_at_;
    std::uint64_t highest_applied_{0}; ///< At any entry.
    std::map<std::uint64_t, std::string> accepted_text_;
    std::vector<std::string> violations_;
};

} // namespace pimentoferry::tickets::testing

#endif
