/// The control thread: owns all decision objects and executes their actions.
#ifndef PIMENTOFERRY_ENTRY_CONTROL_HPP
#define PIMENTOFERRY_ENTRY_CONTROL_HPP

#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/entry/cell_standin.hpp"
#include "pimentoferry/entry/metrics.hpp"
#include "pimentoferry/entry/reports.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/entry/traffic_thread.hpp"
#include "pimentoferry/once/once_service.hpp"
#include "pimentoferry/requests/request_table.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <vector>

namespace pimentoferry::entry {

class control {
public:
    control(const config::settings& settings,
            base::instance_id instance,
            std::shared_ptr<const routing_table> routing,
            metrics& counters);

    boost::asio::io_context& io() { return io_; }

    /// Adds a traffic thread that executes actions. Before `run` only.
    void attach(traffic_thread& traffic) { traffic_.push_back(&traffic); }

    /// Passes a report to the control thread; callable from any thread.
    void post(report event);

    snapshot_ptr current_snapshot() const { return snapshot_; }

    /// Runs the loop until `stop`.
    void run();
    void stop() { io_.stop(); }

private:
    void handle(const requests::event& event);
    void handle(const once::event& event);
    void tick();
    void arm_timer();
    void publish();

    void perform(const requests::action& action);
    void perform(const requests::send_to_owner& action);
    void perform(const requests::cancel_attempts& action);
    void perform(const requests::spread_mark& action);
    void perform(const requests::log_decision& action);
    template <class Command>
    void to_traffic(const Command& command);

    void perform(const once::action& action);

    const config::settings settings_;
    const base::instance_id instance_;
    metrics& metrics_;
    boost::asio::io_context io_{1};
    boost::asio::steady_timer timer_;
    std::vector<traffic_thread*> traffic_;
    std::shared_ptr<const routing_table> routing_;
    snapshot_ptr snapshot_;
    requests::request_table table_;
    once::once_service once_;
    cell_standin cells_;
};

} // namespace pimentoferry::entry

#endif
