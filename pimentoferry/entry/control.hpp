/// The control thread of an entry: owns all decision objects and executes their
/// actions.
///
/// Every input becomes an event in one queue. An action that raises another
/// event appends it to the queue, so all actions of one event are executed
/// before the next event is handled. Unless noted otherwise, members may be
/// called only on the control thread or before `run`.
#ifndef PIMENTOFERRY_ENTRY_CONTROL_HPP
#define PIMENTOFERRY_ENTRY_CONTROL_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/entry/cell_set.hpp"
#include "pimentoferry/entry/drain.hpp"
#include "pimentoferry/entry/metrics.hpp"
#include "pimentoferry/entry/peer_net.hpp"
#include "pimentoferry/entry/platform_list.hpp"
#include "pimentoferry/entry/registration.hpp"
#include "pimentoferry/entry/reports.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/entry/traffic_thread.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/membership/swim.hpp"
#include "pimentoferry/once/once_service.hpp"
#include "pimentoferry/requests/request_table.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/tickets/ticket_log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::entry {

/// A message from an entry, possibly this one, to a cell that this entry may
/// own.
struct cell_request {
    base::instance_id from_;
    cell_message message_;
};

using control_event = std::variant<requests::event,
                                   once::event,
                                   tickets::event,
                                   membership::event,
                                   cell_request>;

class control {
public:
    control(const config::settings& settings,
            base::instance_id instance,
            metrics& counters);
    control(const control&) = delete;
    control& operator=(const control&) = delete;
    ~control();

    /// Opens the channel to the peer entries. Returns the reason if that fails.
    std::optional<peer_net_failure> open_peers();

    /// Adds a traffic thread that executes actions; it must outlive `run`. May
    /// be called only before `run`.
    void attach(traffic_thread& traffic) { traffic_.push_back(&traffic); }

    /// Runs an event or a function on the control thread. Callable from any
    /// thread.
    void post(report event);
    void post(std::function<void()> work);

    /// Runs the event loop until the drain ends and returns the exit code of
    /// the process.
    int run();

    /// Begins the drain; a second call ends it at the next tick. Control thread
    /// only.
    void signal();

    /// Receives the answer to an operator, during the call or later. Control
    /// thread only.
    using admin_reply = std::function<void(admin::admin_answer)>;
    void apply_ticket(std::string ticket, admin_reply reply);
    void find_ticket(std::uint64_t number, admin_reply reply);
    admin::admin_answer status() const;
    admin::admin_answer begin_drain();
    /// The status of ticket `number`, or of the ticket in force here if there
    /// is no number.
    admin::admin_answer
    in_force_status(std::optional<std::uint64_t> number) const;
    std::shared_ptr<const routing_table> routing() const { return routing_; }
    admin::admin_answer state_in_force() const;

    const snapshot_ptr& current_snapshot() const { return snapshot_; }
    boost::asio::io_context& io() { return io_; }

private:
    // control.cpp
    void raise(control_event event) { queue_.push_back(std::move(event)); }
    void handle_queue();
    void handle(const requests::event& event);
    void handle(const once::event& event);
    void handle(const tickets::event& event);
    void handle(const membership::event& event);
    void handle(const cell_request& request);
    void tick();
    void arm_timer();
    void detect_clock_jump();
    std::size_t in_flight() const;

    // control_requests.cpp
    void perform(const requests::action& action);
    void perform(const requests::send_to_owner& action);
    void perform(const requests::cancel_attempts& action);
    void perform(const requests::log_decision& action);
    template <class Command>
    void send_to_traffic(const Command& command);

    // control_once.cpp
    void perform(const once::action& action);
    template <class Command>
    void send_call_to_traffic(const Command& command);

    // control_tickets.cpp
    void perform(const tickets::action& action);
    void perform(const tickets::applied& action);
    void perform(const tickets::operator_answer& action);
    void perform(const tickets::serving_status& action);
    void submit(store::operation operation,
                std::function<control_event(const store::result&)> wrap);

    // control_members.cpp
    void perform(const membership::action& action);
    void update_ended_instances(const membership::member& member);
    void apply_gossip(const membership::gossip_item& item);
    void receive(envelope received);
    void send_to(base::instance_id to, peer_message message);
    void refresh_view();
    void refresh_topology();
    void raise_once_view();
    void publish_self();
    void set_seeds();
    void step_registration(base::time_point now);

    // control_cells.cpp
    std::vector<base::instance_id>
    cell_candidates(const base::cell_name& cell) const;
    cell_set::is_leaving_function leaving_predicate() const;
    void locate_cells();
    void refresh_cells();
    void refresh_leaving();
    void open_cell(const base::cell_name& cell);
    void handle_cell_message(base::instance_id from,
                             const cell_message& message);
    void notify_scheduler(const base::cell_name& cell,
                          const placement::event& event);
    void notify_all_schedulers(const placement::event& event);
    void perform_cell(const base::cell_name& cell,
                      const cell_set::actions& actions);
    void perform_cell(const base::cell_name& cell,
                      const placement::send_to_entry& action);
    void perform_cell(const base::cell_name& cell,
                      const placement::cancel_attempts& action);
    void perform_cell(const base::cell_name& cell,
                      const placement::publish_headroom& action);
    void perform_cell(const base::cell_name& cell,
                      const placement::decision_record& record);
    void perform_cell(const base::cell_name& cell,
                      const placement::propose_role_change& proposal);
    void step_cells();
    void raise_engines_updated();

    // control_polls.cpp
    void start_poll(const due_poll& poll);
    http::awaitable<void> poll_engine(due_poll poll);
    http::awaitable<void> poll_load(due_poll poll);
    http::awaitable<std::uint64_t> poll_cache(due_poll poll);
    void report_engine_crash(const base::upstream_name& engine);

    // control_snapshot.cpp
    void publish();
    std::optional<base::refusal> refusal_of_new_work() const;

    // control_platform.cpp
    void start_platform_poll();
    http::awaitable<void> poll_platform();
    void use_platform_list(const std::vector<platform_instance>& list);

    // control_drain.cpp
    void step_drain(base::time_point now);
    void finish(int exit_code);

    const config::settings settings_;
    const base::instance_id instance_;
    metrics& metrics_;
    boost::asio::io_context io_{1};
    boost::asio::steady_timer timer_;
    http::client client_;
    std::vector<traffic_thread*> traffic_;
    std::deque<control_event> queue_;

    requests::request_table table_;
    once::once_service once_;
    tickets::ticket_log tickets_;
    membership::swim swim_;
    cell_set cells_;
    store::http_store store_;
    std::unique_ptr<peer_net> peers_;
    registration registration_;
    drain drain_;

    std::shared_ptr<const routing_table> routing_;
    snapshot_ptr snapshot_;
    tickets::serving_status serving_;
    bool view_changed_{true};
    bool snapshot_changed_{true};
    std::uint64_t topology_hash_{0}; ///< Of the inputs of cell ownership.
    std::vector<membership::cell_location> cell_locations_;
    std::map<base::cell_name, base::instance_id> owners_;
    std::uint64_t headroom_version_{0};
    std::set<base::instance_id> ended_instances_; ///< Dead or left.
    /// An engine is in the set until its next valid load report.
    std::set<base::upstream_name> crashed_engines_;
    std::map<base::upstream_name, std::string> engine_instances_;
    std::map<base::instance_id, base::endpoint> reply_addresses_;
    std::vector<base::endpoint> store_seeds_;
    std::vector<base::endpoint> platform_seeds_;
    std::map<std::uint64_t, admin_reply> operator_replies_;
    std::uint64_t next_operator_request_{1};
    base::time_point last_steady_;
    base::wall_time last_wall_;
    std::size_t published_in_flight_{0};
    bool timer_armed_{false};
    bool finished_{false};
    int exit_code_{0};
};

} // namespace pimentoferry::entry

#endif
