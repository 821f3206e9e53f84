/// A seeded series of faults against a fleet of gateways.
///
/// Faults come one after another and overlap: each has its own duration, and
/// the next one does not wait for its end. All faults are over after `heal`.
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
#include <string>
#include <vector>

namespace pimentoferry::soak {

class fault_series {
public:
    /// `store_links` has one proxy for each gateway, `replica_links` one for
    /// each replica.
    fault_series(process_tests::gateway_fleet& fleet,
                 std::vector<std::unique_ptr<loopback_proxy>>& store_links,
                 std::vector<std::unique_ptr<loopback_proxy>>& replica_links,
                 std::uint64_t seed);

    /// Injects faults for this long.
    void run(std::chrono::milliseconds time);

    /// Ends all faults.
    void heal();

    /// Waits, and starts gateways again that end meanwhile.
    void settle(std::chrono::milliseconds time);

    /// Gateways that ended although nobody ended them, or too late.
    const std::vector<finding>& findings() const { return findings_; }

private:
    using clock = std::chrono::steady_clock;
    using milliseconds = std::chrono::milliseconds;

    void inject();
    void disturb_gateway();
    void disturb_store();
    void disturb_link();
    void disturb_replica();
    void later(milliseconds delay, std::function<void()> work);
    void run_due(clock::time_point now);
    void watch_gateways();
    void tell(const std::string& what);
    std::size_t draw(std::size_t below) { return random_() % below; }
    milliseconds draw_time(int least, int most);

    process_tests::gateway_fleet& fleet_;
    std::vector<std::unique_ptr<loopback_proxy>>& store_links_;
    std::vector<std::unique_ptr<loopback_proxy>>& replica_links_;
    std::mt19937_64 random_;
    clock::time_point began_;
    std::multimap<clock::time_point, std::function<void()>> due_;
    /// Gateways that were told to end, and when.
    std::map<std::size_t, clock::time_point> ending_;
    std::map<std::size_t, bool> paused_;
    std::vector<finding> findings_;
};

} // namespace pimentoferry::soak

#endif
