/// Several `ticket_log` instances in virtual time, with a store, a network and
/// a membership view that can fail, and an oracle for the promises of section
/// 6 of docs/design.md. Used by tests only.
#ifndef PIMENTOFERRY_TICKETS_WORLD_TEST_HPP
#define PIMENTOFERRY_TICKETS_WORLD_TEST_HPP

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

/// One step of a test; `slot_` and `value_` are reduced to what is allowed.
struct command {
    enum class kind : std::uint8_t {
        advance,
        apply,
        race,   ///< Two operators, one number.
        repeat, ///< The last ticket again, elsewhere.
        pause,
        restart,
        change_store,
        cut_store, ///< From one entry.
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

class world {
public:
    static constexpr std::size_t slot_count = 5;

    explicit world(std::uint64_t seed);

    void run(const command& step);

    /// Ends all faults, waits, and checks that every entry agrees.
    void settle();

    /// Promises that were broken; empty when none was.
    const std::vector<std::string>& violations() const { return violations_; }

    std::uint64_t accepted_count() const { return accepted_at_.size(); }

private:
    /// One entry of the fleet, which may be restarted as a new instance.
    struct slot {
        std::unique_ptr<ticket_log> log_;
        base::instance_id instance_;
        bool running_{false};
        time_point paused_until_;
        time_point restart_at_;
        time_point store_cut_until_;
        std::uint64_t applied_{0}; ///< By the last `applied` action.
        std::map<std::size_t, time_point> last_reached_;
        std::map<std::size_t, std::uint64_t> gossip_;
    };

    struct delivery {
        std::size_t slot_{0};
        base::instance_id instance_;
        event event_;
    };

    /// A store operation on its way.
    struct arrival {
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
    std::uint32_t draw(std::uint32_t below);
    std::string name(std::size_t index) const;
    bool paused(std::size_t index) const;
    bool connected(std::size_t from, std::size_t to) const;
    bool reaches_store(std::size_t index) const;
    void advance(milliseconds duration);
    void step();
    void begin(std::size_t index);
    void deliver(std::size_t index, const event& occurred);
    void run_action(std::size_t index, const action& wanted);
    void send_to_store(std::size_t index, const store::operation& operation);
    void arrive(const arrival& operation);
    void send_to_peer(std::size_t from, const send_message& wanted);
    void update_membership(std::size_t index);
    void submit(std::size_t index,
                std::uint64_t number,
                std::string nonce,
                std::string text);
    void submit_new(std::size_t index, std::uint64_t number);
    void note_answer(const operator_answer& reply);
    void note_write(const std::string& value);
    void check_serving(std::size_t index);
    void postpone_unknown();
    void check_end();
    void violate(const std::string& text);

    std::mt19937_64 random_;
    time_point now_{milliseconds{1000000}};
    std::vector<slot> slots_;
    std::multimap<time_point, delivery> deliveries_;
    std::multimap<time_point, arrival> arrivals_;
    memory_store store_;
    store_mode store_mode_{store_mode::up};
    time_point store_fault_until_;
    std::uint32_t far_side_{0}; ///< Slots cut off from the store and others.
    time_point partition_until_;
    time_point loss_until_;
    std::uint64_t last_instance_{0};
    std::uint64_t last_request_{0};
    std::uint64_t last_nonce_{0};
    std::map<std::uint64_t, submitted> submitted_; ///< By request.
    std::uint64_t accepted_number_{0};
    /// When each number was accepted, or could first be known.
    std::map<std::uint64_t, time_point> accepted_at_;
    std::uint64_t highest_applied_{0}; ///< At any entry.
    std::map<std::uint64_t, std::string> accepted_text_;
    std::vector<std::string> violations_;
};

} // namespace pimentoferry::tickets::testing

#endif
