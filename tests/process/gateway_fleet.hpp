/// Runs gateways as processes on loopback, with stand-ins for the users'
/// platform: its store, replicas of a plain service and engines.
///
///     gateway_fleet system{{.gateways_ = 2}};
///     CPPUNIT_ASSERT(system.start());
///     const auto answer = system.call(0, {"GET", "/read/"}, "request-1");
///
/// The configuration routes by path: `/read/` (idempotent) and `/book/` (not
/// idempotent) go to the plain service; `/chat/` is a stream and `/talk/` a
/// resumable stream. The destructor kills all processes. Files go to a new
/// directory under /tmp, which is deleted unless `keep_files()` was called or
/// KEEP_TEST_FILES is set in the environment.
#ifndef PIMENTOFERRY_TESTS_PROCESS_GATEWAY_FLEET_HPP
#define PIMENTOFERRY_TESTS_PROCESS_GATEWAY_FLEET_HPP

#include "standins/http_client.hpp"
#include "tests/process/child_process.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace pimentoferry::process_tests {

/// A client account of the configuration.
struct fleet_account {
    std::string name_;
    std::vector<std::string> keys_;
    double requests_per_s_{0}; ///< 0: no quota.
    double burst_{0};
};

struct gateway_fleet_options {
    std::size_t gateways_{2};
    std::size_t plain_replicas_{2};
    std::size_t prefill_engines_{1};
    std::size_t decode_engines_{2};
    std::chrono::milliseconds route_timeout_{4000};
    /// Limit from SIGTERM to the exit of a gateway.
    std::chrono::milliseconds drain_limit_{4000};
    /// See `call_placement` in the settings of a gateway.
    std::string call_placement_{"local"};
    /// Without any, requests need no key.
    std::vector<fleet_account> accounts_{};
    /// Software versions, which replicas have in turn as they are started and
    /// restarted. Without any, registrations name none.
    std::vector<std::string> software_versions_{};
    /// Routes of the configuration that nobody calls.
    std::size_t unused_routes_{0};
    /// Bandwidth that each gateway is told of; 0: none.
    double link_mbps_{0};
};

/// A replica stand-in. A restarted replica has a new id.
struct platform_replica_process {
    child_process process_;
    std::string id_;
    std::string stage_; ///< Empty for a plain replica.
    std::int64_t started_at_ms_{0};
    std::uint16_t port_{0};
    /// In its registration; empty: the registration names none.
    std::string software_version_;
    /// In its registration; empty: that of the fleet's configuration.
    std::string service_;
    /// The port in its registration; differs from `port_` behind a proxy.
    std::uint16_t registered_port_{0};
    std::string log_;
};

/// A caller's request as it reached a replica.
struct replica_arrival {
    std::string replica_;
    std::string request_;
    std::string kind_; ///< `run`, `prefill`, `rejected`, or `ended` (a run).
    std::chrono::system_clock::time_point at_;
};

struct gateway_ports {
    std::uint16_t traffic_{0};
    std::uint16_t readiness_{0};
    std::uint16_t directory_{0};
    std::uint16_t peer_{0};
    std::uint16_t store_{0}; ///< The port of the store or of its proxy.
};

class gateway_fleet {
public:
    explicit gateway_fleet(const gateway_fleet_options& options);
    ~gateway_fleet();
    gateway_fleet(const gateway_fleet&) = delete;
    gateway_fleet& operator=(const gateway_fleet&) = delete;

    /// Starts all processes and waits until every gateway is ready and has
    /// discovered the others. Returns false at the time limit.
    bool start();

    // The two steps of `start`, for tests that add proxies between them.
    bool start_standins();
    bool start_gateways();

    std::uint16_t store_port() const { return store_port_; }
    std::size_t gateway_count() const { return ports_.size(); }
    gateway_ports& ports(std::size_t gateway) { return ports_.at(gateway); }
    child_process& gateway(std::size_t number) { return gateways_.at(number); }
    void restart_gateway(std::size_t number);
    bool is_ready(std::size_t gateway) const;

    /// Plain replicas first, then prefill engines, then decode engines.
    std::vector<platform_replica_process>& replicas() { return replicas_; }
    /// Restarts the process at the same port under a new id.
    void restart_replica(platform_replica_process& replica);
    /// The software version of any replica ever started, if the options name
    /// versions.
    std::string version_of(const std::string& replica_id) const;
    /// Writes the registration of a replica to the store.
    void register_replica(const platform_replica_process& replica,
                          const std::string& state = "ready") const;
    /// Writes any bytes to the store as the registration of `id`.
    void put_registration(const std::string& id,
                          const std::string& bytes) const;
    /// Removes the registration of a replica from the store.
    void withdraw_replica(const std::string& id) const;

    /// Writes the next version of the configuration to the store.
    void put_configuration();

    /// Writes the next version with other members: their values by name, as
    /// JSON.
    void
    put_configuration_with(const std::map<std::string, std::string>& members);

    /// Writes the next version with other accounts.
    void put_accounts(std::vector<fleet_account> accounts) {
        options_.accounts_ = std::move(accounts);
        put_configuration();
    }

    /// Sends switches to a stand-in; true if it accepted them.
    static bool control(std::uint16_t port, const std::string& switches);

    /// Sends a request to a gateway over a new connection.
    standins::http_answer
    call(std::size_t gateway,
         const std::string& path,
         const std::string& request_id,
         std::chrono::milliseconds deadline = std::chrono::milliseconds{3000},
         const std::string& key = "") const;

    /// Number of runs of each request, by id, over all replicas ever started.
    std::map<std::string, std::size_t> runs() const;

    /// All arrivals at all replicas ever started.
    std::vector<replica_arrival> arrivals() const;

    /// What replicas were told about the account of a request, in order: the
    /// account's name, and the credential; "none" for a missing field.
    std::vector<std::pair<std::string, std::string>>
    accounts_told(const std::string& request) const;

    /// The ends of all runs, but for those that a kill of the replica ended.
    std::vector<replica_arrival> ends_of_runs() const;

    std::string gateway_log(std::size_t gateway) const;

    /// Describes each gateway that ended otherwise than with status 0 or by
    /// SIGKILL, and each fatal signal that any of its processes has logged.
    std::vector<std::string> unasked_ends();
    const std::string& directory() const { return directory_; }
    void keep_files() { keep_files_ = true; }

private:
    std::string path(const std::string& name) const;
    /// The next version, as JSON.
    std::string next_configuration();
    void put_in_store(const std::string& key, const std::string& value) const;
    /// Calls `use` with the id of each replica and the words of each line that
    /// begins with `first_word`.
    void for_each_replica_line(
        const std::string& first_word,
        const std::function<void(const std::string& replica,
                                 std::istringstream& words)>& use) const;
    void start_replica(platform_replica_process& replica);
    /// Whether the gateway has logged all others as members. A gateway has its
    /// share of the retry budget only from then on.
    bool has_discovered_peers(std::size_t gateway) const;
    void write_settings(std::size_t gateway) const;

    gateway_fleet_options options_;
    std::string directory_;
    bool keep_files_{false};
    std::uint64_t version_{0};
    std::size_t replicas_started_{0};
    child_process store_;
    std::uint16_t store_port_{0};
    std::vector<platform_replica_process> replicas_;
    std::vector<gateway_ports> ports_;
    std::vector<child_process> gateways_;
};

/// Returns the header fields of a caller's request.
standins::request_headers caller_fields(const std::string& path,
                                        const std::string& request_id,
                                        std::chrono::milliseconds deadline,
                                        const std::string& key = "");

/// The largest resident memory that a process has had, in bytes; empty if the
/// process has ended.
std::optional<std::size_t> peak_memory(pid_t pid);

/// The arrivals that use the fleet's retry budget, in order: all but the first
/// of each request, not counting the first prefill that was accepted.
std::vector<replica_arrival>
repeated_sends(std::vector<replica_arrival> arrivals);

} // namespace pimentoferry::process_tests

#endif
