/// State shared by the relays of one traffic thread.
#ifndef PIMENTOFERRY_ENTRY_TRAFFIC_CONTEXT_HPP
#define PIMENTOFERRY_ENTRY_TRAFFIC_CONTEXT_HPP

#include "pimentoferry/entry/engine_watch.hpp"
#include "pimentoferry/entry/metrics.hpp"
#include "pimentoferry/entry/replica_set.hpp"
#include "pimentoferry/entry/reports.hpp"
#include "pimentoferry/entry/snapshot.hpp"
#include "pimentoferry/http/client.hpp"
#include "pimentoferry/http/exchange.hpp"
#include "pimentoferry/http/problem.hpp"
#include "pimentoferry/requests/retry_budget.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace pimentoferry::entry {

class model_relay;
class service_relay;

struct traffic_context {
    traffic_context(boost::asio::io_context& io,
                    base::instance_id instance,
                    std::uint8_t thread,
                    base::failure_domain failure_domain,
                    report_function report,
                    metrics& counters);

    boost::asio::io_context& io_;
    base::instance_id instance_;
    base::failure_domain failure_domain_;
    report_function report_;
    metrics& metrics_;
    http::client client_;
    engine_watch engines_;
    request_id_source request_ids_;
    snapshot_ptr snapshot_;
    replica_set replicas_;
    std::map<base::request_id, std::shared_ptr<model_relay>> model_relays_;
    std::map<base::request_id, std::shared_ptr<service_relay>> service_relays_;
    std::map<base::caller_name, std::uint32_t> caller_calls_in_flight_;
    std::map<base::service_name, requests::retry_budget> retry_budgets_;
    /// When the control thread last ran; see
    /// `traffic_thread::note_control_alive`.
    std::atomic<base::time_point> control_alive_time_{base::clock::now()};
};

/// Problem context of a refusal; it lists the entries where another entry may
/// serve the caller.
http::problem_context problem_context_of(const traffic_context& traffic,
                                         const base::refusal& refusal,
                                         base::request_id request);

/// Counts and logs a refusal and responds with it.
http::awaitable<void> refuse_call(traffic_context& traffic,
                                  http::exchange& call,
                                  base::request_id request,
                                  base::refusal refusal);

} // namespace pimentoferry::entry

#endif
