// Cuts one gateway off from all replicas while its callers, the store and the
// other gateways still reach it.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"
#include "tests/soak/loopback_proxy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::soak {

namespace {

using namespace std::chrono_literals;
using process_tests::gateway_fleet;
using process_tests::wait_for;
using standins::http_stream;

constexpr unsigned status_ok = 200;

class isolated_gateway_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(isolated_gateway_test);
    CPPUNIT_TEST(callers_of_an_isolated_gateway_are_served);
    CPPUNIT_TEST(an_isolated_gateway_does_not_blame_replicas);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    boost::asio::io_context io_{1};
    std::optional<boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>>
        keep_running_;
    std::vector<std::unique_ptr<loopback_proxy>> links_;
    std::optional<std::jthread> loop_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    void start() {
        system_.emplace(process_tests::gateway_fleet_options{.gateways_ = 3});
        CPPUNIT_ASSERT(system_->start_standins());
        for (auto& replica : system_->replicas()) {
            links_.push_back(
                std::make_unique<loopback_proxy>(io_, replica.port_));
            replica.registered_port_ = links_.back()->port();
        }
        keep_running_.emplace(boost::asio::make_work_guard(io_));
        loop_.emplace([this] { io_.run(); });
        CPPUNIT_ASSERT(system_->start_gateways());
    }

    void cut_off(std::size_t gateway) {
        for (const auto& link : links_) {
            link->set_for(system_->gateway(gateway).pid(), link_fault::silent);
        }
    }

    void heal() {
        for (const auto& link : links_) {
            link->set(link_fault::none);
            link->reset();
        }
    }

    bool has_logged(std::size_t gateway, const std::string& event) {
        return system_->gateway_log(gateway).find("event=" + event) !=
               std::string::npos;
    }

    /// Sends calls until the gateway knows that it reaches no replica.
    void let_it_notice(std::size_t gateway) {
        for (int i = 0; i < 20 && !has_logged(gateway, "upstreams_unreachable");
             ++i) {
            system_->call(gateway, "/read/1", next_id(), 400ms);
        }
    }

    std::size_t read_stream(std::size_t gateway) {
        const auto id = next_id();
        http_stream stream{system_->ports(gateway).traffic_, "/chat/1", "",
                           process_tests::caller_fields("/chat/1", id, 8000ms)};
        std::size_t events = 0;
        while (stream.next_event()) {
            ++events;
        }
        return stream.ended() ? events : 0;
    }

public:
    void tearDown() override {
        process_tests::end_checked(system_);
        keep_running_.reset();
        io_.stop();
        loop_.reset();
        links_.clear();
        io_.restart();
    }

    // Guards against callers that are refused because their gateway has lost
    // its links to the replicas, while other gateways have theirs.
    void callers_of_an_isolated_gateway_are_served() {
        start();
        cut_off(0);
        let_it_notice(0);
        std::size_t served = 0;
        constexpr std::size_t calls = 20;
        for (std::size_t i = 0; i < calls; ++i) {
            const auto id = next_id();
            served +=
                system_->call(0, "/book/1", id).status_ == status_ok ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system_->runs()[id]);
        }
        CPPUNIT_ASSERT_EQUAL(calls, served);
        constexpr std::size_t events = 20;
        CPPUNIT_ASSERT_EQUAL(events, read_stream(0));
        const auto own_address = std::to_string(system_->ports(0).traffic_);
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            CPPUNIT_ASSERT(wait_for(
                [&] {
                    const auto list = standins::http_get(
                        system_->ports(g).directory_,
                        "/api/resolution?name=silage.example&zone=north");
                    return list.status_ == status_ok &&
                           list.body_.find(own_address) == std::string::npos;
                },
                2000ms));
        }
        heal();
        CPPUNIT_ASSERT(wait_for(
            [this] { return has_logged(0, "upstreams_reachable"); }, 3000ms));
        CPPUNIT_ASSERT_EQUAL(status_ok,
                             system_->call(0, "/book/1", next_id()).status_);
    }

    // Guards against replicas, or requests, that a whole fleet avoids because
    // one gateway has lost its links.
    void an_isolated_gateway_does_not_blame_replicas() {
        start();
        cut_off(0);
        let_it_notice(0);
        for (int i = 0; i < 10; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                status_ok, system_->call(1, "/book/1", next_id()).status_);
            CPPUNIT_ASSERT(read_stream(1) > 0);
        }
        CPPUNIT_ASSERT(!has_logged(0, "upstream_crashed"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(isolated_gateway_test);

} // namespace

} // namespace pimentoferry::soak
