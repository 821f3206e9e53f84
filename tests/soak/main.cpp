// Fault soak: gateways and stand-ins run as processes, callers reuse their
// connections, and a seeded series of faults is injected from outside. Prints
// the faults and the violated guarantees; exits 0 only if none is violated.

#include "tests/soak/callers.hpp"
#include "tests/soak/checks.hpp"
#include "tests/soak/faults.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <popt.h>

#include <algorithm>
#include <future>
#include <iostream>
#include <memory>
#include <random>
#include <thread>

namespace pimentoferry::soak {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr int exit_usage = 2;
constexpr milliseconds warm_up{1000};
// The platform's bound for recovery, and the time after it in which calls must
// be served.
constexpr milliseconds recovery{12'000};
constexpr milliseconds recovery_check_duration{4000};
// Longer than the longest request of a caller, so that all have ended.
constexpr milliseconds last_request_wait{9000};

struct options {
    int seed_{0}; ///< 0: a random seed.
    int seconds_{20};
    int gateways_{3};
    int callers_{24};
};

struct run_result {
    std::vector<violation> violations_;
    std::size_t calls_{0};
    std::size_t served_{0};
    std::size_t take_ups_{0}; ///< Streams that callers took up again.
    std::size_t gone_on_{0};  ///< Those of which at least one event came.
};

using proxies = std::vector<std::unique_ptr<loopback_proxy>>;

/// Adds a proxy to the store for each gateway, and a proxy to each replica.
void add_proxies(boost::asio::io_context& io,
                 process_tests::gateway_fleet& fleet,
                 proxies& store_links,
                 proxies& replica_links) {
    for (std::size_t i = 0; i < fleet.gateway_count(); ++i) {
        store_links.push_back(
            std::make_unique<loopback_proxy>(io, fleet.store_port()));
        fleet.ports(i).store_ = store_links.back()->port();
    }
    for (auto& replica : fleet.replicas()) {
        replica_links.push_back(
            std::make_unique<loopback_proxy>(io, replica.port_));
        replica.registered_port_ = replica_links.back()->port();
    }
}

std::vector<call_record> copy_records(boost::asio::io_context& io,
                                      const callers& load) {
    std::promise<std::vector<call_record>> records;
    auto result = records.get_future();
    boost::asio::post(io, [&] { records.set_value(load.records()); });
    return result.get();
}

void count_take_ups(const std::vector<call_record>& records,
                    run_result& result) {
    for (const auto& record : records) {
        result.take_ups_ += record.resumes_.empty() ? 0 : 1;
        result.gone_on_ +=
            record.resumes_.empty() || record.events_.empty() ? 0 : 1;
    }
}

run_result run_seed(const options& chosen) {
    process_tests::gateway_fleet fleet{
        {.gateways_ = static_cast<std::size_t>(chosen.gateways_),
         .plain_replicas_ = 3,
         .prefill_engines_ = 2,
         .decode_engines_ = 3,
         .software_versions_ = {"v1", "v2", "v3"}}};
    boost::asio::io_context io{1};
    auto keep_running = boost::asio::make_work_guard(io);
    proxies store_links;
    proxies replica_links;
    if (!fleet.start_standins()) {
        return {{"the stand-ins did not start"}};
    }
    add_proxies(io, fleet, store_links, replica_links);
    std::jthread loop{[&io] { io.run(); }};
    run_result result;
    if (!fleet.start_gateways()) {
        result.violations_.push_back("the gateways did not start");
    } else {
        std::vector<std::uint16_t> directories;
        for (std::size_t i = 0; i < fleet.gateway_count(); ++i) {
            directories.push_back(fleet.ports(i).directory_);
        }
        const auto seed = static_cast<std::uint64_t>(chosen.seed_);
        callers load{io, directories, seed};
        boost::asio::post(io, [&load, &chosen] {
            load.start(static_cast<std::size_t>(chosen.callers_));
        });
        std::this_thread::sleep_for(warm_up);
        fault_injector faults{fleet, store_links, replica_links, seed};
        faults.run(std::chrono::seconds{chosen.seconds_});
        faults.clear_faults();
        // Gateways that are still draining exit and are restarted.
        faults.supervise_gateways(recovery);
        const auto recovery_deadline = base::clock::now();
        std::this_thread::sleep_for(recovery_check_duration);
        boost::asio::post(io, [&load] { load.stop(); });
        std::this_thread::sleep_for(last_request_wait);
        const auto records = copy_records(io, load);
        result.violations_ =
            check_guarantees(records, fleet.runs(), recovery_deadline);
        std::ranges::copy(
            check_arrivals(records, fleet.arrivals(), faults.disturbed()),
            std::back_inserter(result.violations_));
        std::ranges::copy(check_moves(records, fleet.arrivals(),
                                      fleet.ends_of_runs(), faults.disturbed(),
                                      faults.harmed()),
                          std::back_inserter(result.violations_));
        std::ranges::copy(check_versions(records,
                                         [&fleet](const std::string& id) {
                                             return fleet.version_of(id);
                                         }),
                          std::back_inserter(result.violations_));
        std::ranges::copy(faults.violations(),
                          std::back_inserter(result.violations_));
        std::ranges::copy(fleet.unasked_ends(),
                          std::back_inserter(result.violations_));
        result.calls_ = records.size();
        count_take_ups(records, result);
        result.served_ = static_cast<std::size_t>(
            std::ranges::count_if(records, [](const call_record& record) {
                return record.status_ == 200 && record.complete_;
            }));
        io.stop();
        loop.join();
    }
    io.stop();
    if (!result.violations_.empty()) {
        fleet.keep_files();
        std::cout << "logs are in " << fleet.directory() << '\n';
    }
    return result;
}

int run(int argc, const char** argv) {
    options chosen;
    const poptOption table[] = {
        {"seed", 's', POPT_ARG_INT, &chosen.seed_, 0,
         "of the faults and the callers; 0 draws one", "N"},
        {"seconds", 't', POPT_ARG_INT, &chosen.seconds_, 0, "time with faults",
         "S"},
        {"gateways", 'g', POPT_ARG_INT, &chosen.gateways_, 0,
         "gateway processes", "N"},
        {"callers", 'c', POPT_ARG_INT, &chosen.callers_, 0, "callers at once",
         "N"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
        poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext};
    if (poptGetNextOpt(context.get()) < -1) {
        std::cerr << "fault_soak: unknown option, see --help\n";
        return exit_usage;
    }
    if (chosen.seed_ == 0) {
        chosen.seed_ = static_cast<int>(std::random_device{}() % 1'000'000);
    }
    std::cout << "seed " << chosen.seed_ << ", " << chosen.seconds_
              << " s with faults\n";
    const auto result = run_seed(chosen);
    std::cout << "seed " << chosen.seed_ << ": " << result.calls_ << " calls, "
              << result.served_ << " served, " << result.take_ups_
              << " streams taken up, " << result.gone_on_ << " went on, "
              << result.violations_.size() << " findings\n";
    for (const auto& each : result.violations_) {
        std::cout << "  BROKEN " << each << '\n';
    }
    return result.violations_.empty() ? 0 : 1;
}

} // namespace
} // namespace pimentoferry::soak

int main(int argc, const char** argv) {
    return pimentoferry::soak::run(argc, argv);
}
