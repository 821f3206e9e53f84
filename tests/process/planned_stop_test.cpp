// Stops a gateway as planned while callers go on using open connections.

#include "pimentoferry/http/test_support.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>
#include <string>
#include <thread>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(request_that_cannot_end_before_the_exit_is_not_passed_on);
    CPPUNIT_TEST(request_that_can_end_before_the_exit_is_served);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;

    /// Begins a booking, stops the gateway, sends the rest after `pause` and
    /// returns the answer.
    std::string book_late(std::chrono::milliseconds pause,
                          std::chrono::milliseconds deadline) {
        http::raw_connection caller{{"127.0.0.1", system_->ports(0).traffic_}};
        caller.send("POST /book/late HTTP/1.1\r\nHost: silage.example\r\n"
                    "X-Request-Id: late-1\r\nX-Deadline-Ms: " +
                    std::to_string(deadline.count()) +
                    "\r\nContent-Length: 4\r\n\r\n");
        std::this_thread::sleep_for(200ms);
        system_->gateway(0).signal(SIGTERM);
        std::this_thread::sleep_for(pause);
        caller.send("body");
        return caller.receive_all();
    }

public:
    void tearDown() override { system_.reset(); }

    // Guards against a booking that is taken late in the time to stop and cut
    // off without an answer when the process ends.
    void request_that_cannot_end_before_the_exit_is_not_passed_on() {
        system_.emplace(gateway_fleet_options{.drain_limit_ = 3000ms});
        CPPUNIT_ASSERT(system_->start());
        for (const auto& replica : system_->replicas()) {
            gateway_fleet::control(replica.port_, R"({"work_ms":1500})");
        }
        const auto answer = book_late(1500ms, 3000ms);
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 503"));
        CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
        CPPUNIT_ASSERT(system_->runs().empty());
    }

    void request_that_can_end_before_the_exit_is_served() {
        system_.emplace(gateway_fleet_options{.drain_limit_ = 3000ms});
        CPPUNIT_ASSERT(system_->start());
        const auto answer = book_late(500ms, 1000ms);
        CPPUNIT_ASSERT(answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, system_->runs().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace

} // namespace pimentoferry::process_tests
