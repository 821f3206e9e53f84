/// Injects a seeded series of faults into a fleet of gateways.
///
/// Faults overlap: each has its own duration, and the next one does not wait
/// for its end. No fault is active after `clear_faults`.
#ifndef PIMENTOFERRY_TESTS_SOAK_FAULTS_HPP
#define PIMENTOFERRY_TESTS_SOAK_FAULTS_HPP

#include "tests/process/gateway_fleet.hpp"
#include "tests/soak/checks.hpp"
#include "tests/soak/loopback_proxy.hpp"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace pimentoferry::soak {

class fault_injector {
public:
    /// `store_links` has one proxy for each gateway, `replica_links` one for
    /// each replica.
    fault_injector(process_tests::gateway_fleet& fleet,
                   std::vector<std::unique_ptr<loopback_proxy>>& store_links,
                   std::vector<std::unique_ptr<loopback_proxy>>& replica_links,
                   std::uint64_t seed);

    /// Injects faults for this long.
    void run(std::chrono::milliseconds time);

    /// Ends all faults.
    void clear_faults();

    /// Waits for this long and restarts gateways that exit meanwhile.
    void supervise_gateways(std::chrono::milliseconds time);

    /// Gateways that exited without a signal from the injector, with a nonzero
    /// code, or too late after SIGTERM.
    const std::vector<violation>& violations() const { return violations_; }

    /// When gateways were restarted or paused.
    const disturbances& disturbed() const { return disturbed_; }

    /// When replicas were paused or their connections harmed.
    const harmed_replicas& harmed() const { return harmed_; }

private:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    void inject();
    void inject_gateway_fault();
    void leave_behind(std::size_t number);
    void kill_all_gateways();
    /// Sends SIGTERM to all gateways, at once or one after the other.
    void terminate_all_gateways();
    void terminate_gateway(std::size_t number);
    void kill_gateways(const std::function<bool(std::size_t gateway)>& chosen);
    void isolate_gateway(std::size_t number);
    void inject_store_fault();
    void inject_link_fault();
    void inject_replica_fault();
    void make_replica_misbehave(std::size_t number);
    void pause_replica(std::size_t number);
    void make_replica_leave(std::size_t number);
    void exchange_addresses();
    void replace_replica(std::size_t number);
    /// Makes a replica write copies of its rejections, with their ids.
    void repeat_rejections(std::uint16_t port);
    void note_disturbed(std::size_t gateway);
    void note_harmed(std::size_t replica);
    void schedule(milliseconds delay, std::function<void()> work);
    void run_scheduled(clock::time_point now);
    void restart_exited_gateways();
    void log_fault(const std::string& what);
    std::size_t random_below(std::size_t below) { return random_() % below; }
    milliseconds random_duration(int least, int most);

    process_tests::gateway_fleet& fleet_;
    std::vector<std::unique_ptr<loopback_proxy>>& store_links_;
    std::vector<std::unique_ptr<loopback_proxy>>& replica_links_;
    std::mt19937_64 random_;
    clock::time_point start_time_;
    std::multimap<clock::time_point, std::function<void()>> scheduled_;
    /// When SIGTERM was sent to each gateway that has not exited yet.
    std::map<std::size_t, clock::time_point> terminating_;
    std::map<std::size_t, bool> paused_;
    std::vector<violation> violations_;
    disturbances disturbed_;
    harmed_replicas harmed_;
    /// Ids of replicas that are stopped, which do not answer `control`.
    std::set<std::string> paused_replicas_;
};

} // namespace pimentoferry::soak

#endif
