/// Test support: simulates entries, network, store, upstream and membership in
/// virtual time, with fault injection for each of them.
///
///     simulated_world world{world_settings{}};
///     world.submit_call(0, key, body_hash);
///     world.kill(1);
///     world.advance(milliseconds{500});
///     world.heal();                        // ends faults; restarts no entry
///     world.oracle().violations();         // empty
///
/// All randomness is determined by `world_settings::seed_` and the order of the
/// calls. Entries are identified by their index; an entry that was killed or
/// has drained keeps its index and takes no further action.
#ifndef PIMENTOFERRY_ONCE_SIMULATED_WORLD_HPP
#define PIMENTOFERRY_ONCE_SIMULATED_WORLD_HPP

#include "pimentoferry/once/events.hpp"
#include "pimentoferry/once/execution_oracle.hpp"
#include "pimentoferry/once/once_service.hpp"
#include "pimentoferry/once/simulated_store.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace pimentoferry::once {

struct world_settings {
    std::size_t entries_{3};
    settings once_{};
    std::uint64_t seed_{1};
    base::microseconds message_delay_{1000};
    base::microseconds store_delay_{2000};
    base::milliseconds upstream_delay_{5};
    /// Time from the crash of an entry to its removal from every view.
    base::milliseconds death_detection_{2800};
};

enum class store_mode : std::uint8_t {
    up,
    down,
    slow,           ///< May take effect after the client's timeout.
    lose_responses, ///< Writes take effect; the responses are lost.
    flaky,          ///< A random one of the modes above per operation.
};

enum class upstream_mode : std::uint8_t {
    up,
    refused,       ///< The connection is refused; no byte is sent.
    response_lost, ///< The call runs; its response is lost.
    request_lost,  ///< The connection breaks; the call does not run.
    slow,
};

/// Faults applied to each message when it is sent.
struct network_faults {
    int drop_percent_{0};
    int duplicate_percent_{0};
    base::milliseconds extra_delay_{0}; ///< Maximum; reorders messages.
};

class simulated_world {
public:
    explicit simulated_world(const world_settings& settings);

    // Callers.
    base::request_id
    submit_call(std::size_t entry, const key_id& key, std::uint64_t body_hash);
    void disconnect_caller(base::request_id request);

    // Entries.
    std::size_t start_entry();
    void kill(std::size_t entry);
    void pause(std::size_t entry);
    void resume(std::size_t entry);
    void drain(std::size_t entry);
    void jump_wall_clock(std::size_t entry, base::milliseconds by);
    /// Adds the other entry to the entry's view, or removes it if it is listed.
    void flip_view(std::size_t entry, std::size_t other);

    // Network, store and upstream.
    void set_cut(std::size_t first, std::size_t second, bool cut);
    void set_store_cut(std::size_t entry, bool cut);
    void set_network(const network_faults& faults) { network_ = faults; }
    void set_store(store_mode mode) { store_mode_ = mode; }
    void set_upstream(upstream_mode mode) { upstream_mode_ = mode; }
    /// Ends every fault, resumes paused entries and corrects all views.
    void heal();

    void advance(base::microseconds time);
    /// Adds a violation to the oracle for each open call, for each shard
    /// without exactly one owner and for each call without a response, unless
    /// its caller disconnected or its entry was killed.
    void check_settled();

    [[nodiscard]] execution_oracle& oracle() { return oracle_; }
    [[nodiscard]] const execution_oracle& oracle() const { return oracle_; }
    [[nodiscard]] const simulated_store& store() const { return store_; }
    [[nodiscard]] base::time_point now() const { return now_; }
    [[nodiscard]] base::wall_time wall() const;
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    [[nodiscard]] std::size_t live_count() const;
    [[nodiscard]] bool is_live(std::size_t entry) const {
        return nodes_[entry].service_ != nullptr;
    }
    [[nodiscard]] bool was_killed(base::instance_id entry) const;
    /// Killed, or stopped after a drain.
    [[nodiscard]] bool has_ended(base::instance_id entry) const;
    [[nodiscard]] const once_service& service(std::size_t entry) const {
        return *nodes_[entry].service_;
    }

private:
    struct node {
        base::instance_id instance_;
        std::unique_ptr<once_service> service_; ///< Null if it has ended.
        bool paused_{false};
        bool draining_{false};
        bool killed_{false};
        bool store_cut_{false};
        std::vector<event> paused_events_; ///< Arrived while paused.
        std::set<std::size_t> live_view_;  ///< Entries that the view lists.
        std::set<std::size_t> draining_view_;
        std::vector<shard_ownership> owners_;
        base::milliseconds steady_offset_{0};
        base::milliseconds wall_offset_{0};
    };

    using task = std::function<void()>;

    void after(base::microseconds delay, task next);
    void deliver(std::size_t entry, const event& e);
    void run(std::size_t entry, const event& e);
    void perform(std::size_t entry, const action& next);
    void send(std::size_t from, base::instance_id to, const event& e);
    void use_store(std::size_t entry, const store::operation& operation);
    void deliver_store_result(std::size_t entry,
                              store::token token,
                              const store::outcome& outcome,
                              base::microseconds delay);
    store_mode draw_store_mode(std::size_t entry);
    void call_upstream(std::size_t entry, const send_call& call);
    void gossip(std::size_t from, const shard_ownership& ownership);
    void deliver_view(std::size_t entry);
    void set_listed(std::size_t entry, std::size_t other, bool live);
    void schedule_death_detection(std::size_t entry);
    void tick_entry(std::size_t entry);
    void stop_drained_entries();
    bool step(base::time_point end);
    [[nodiscard]] base::time_point next_wakeup(std::size_t entry) const;
    [[nodiscard]] std::size_t index_of(base::instance_id instance) const;
    [[nodiscard]] bool is_cut(std::size_t first, std::size_t second) const;
    std::uint64_t random(std::uint64_t below);

    world_settings settings_;
    base::time_point now_{std::chrono::hours{1}};
    std::multimap<base::time_point, task> tasks_;
    std::vector<node> nodes_;
    simulated_store store_;
    execution_oracle oracle_;
    network_faults network_;
    store_mode store_mode_{store_mode::up};
    upstream_mode upstream_mode_{upstream_mode::up};
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::map<base::request_id, std::size_t> entry_of_request_;
    std::uint64_t last_request_{0};
    std::uint64_t draws_{0};
};

} // namespace pimentoferry::once

#endif
