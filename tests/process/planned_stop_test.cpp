// Stops a gateway as planned while callers go on using open connections.

#include "pimentoferry/http/test_support.hpp"
#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(request_that_cannot_end_before_the_exit_is_not_passed_on);
    CPPUNIT_TEST(request_that_can_end_before_the_exit_is_served);
    CPPUNIT_TEST(streams_end_whole_while_all_gateways_drain);
    CPPUNIT_TEST(streams_end_whole_while_the_only_gateway_drains);
    CPPUNIT_TEST(process_that_ends_by_a_signal_says_so);
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

    /// Stops all gateways while streams go on that last longer than a review of
    /// the members, and checks that each stream ends whole and each process in
    /// order.
    void stop_all_during_streams(std::size_t gateways) {
        constexpr std::size_t streams = 12;
        constexpr std::size_t events = 38;
        system_.emplace(gateway_fleet_options{.gateways_ = gateways});
        CPPUNIT_ASSERT(system_->start());
        for (const auto& replica : system_->replicas()) {
            gateway_fleet::control(replica.port_,
                                   R"({"events":38,"event_ms":50})");
        }
        struct read_stream {
            unsigned status_{0};
            std::size_t events_{0};
            bool whole_{false};
        };
        std::vector<std::future<read_stream>> read;
        for (std::size_t i = 0; i < streams; ++i) {
            read.push_back(std::async(std::launch::async, [this, i, gateways] {
                const auto path = "/chat/" + std::to_string(i);
                standins::http_stream stream{
                    system_->ports(i % gateways).traffic_, path, "",
                    caller_fields(path, "drain-" + std::to_string(i), 8000ms)};
                read_stream result{stream.status()};
                while (stream.next_event()) {
                    ++result.events_;
                }
                result.whole_ = stream.ended();
                return result;
            }));
        }
        std::this_thread::sleep_for(700ms);
        for (std::size_t i = 0; i < gateways; ++i) {
            system_->gateway(i).signal(SIGTERM);
        }
        std::size_t begun = 0;
        for (auto& each : read) {
            const auto stream = each.get();
            // Engines that are not known yet refuse some of the first ones.
            if (stream.status_ != 503) {
                ++begun;
                CPPUNIT_ASSERT_EQUAL(events, stream.events_);
                CPPUNIT_ASSERT(stream.whole_);
            }
        }
        CPPUNIT_ASSERT(begun >= gateways);
        for (std::size_t i = 0; i < gateways; ++i) {
            const auto code = system_->gateway(i).wait(5000ms);
            CPPUNIT_ASSERT_EQUAL(0, code.value_or(-1));
            CPPUNIT_ASSERT(system_->gateway_log(i).find("event=drain ") !=
                           std::string::npos);
        }
    }

public:
    void tearDown() override { end_checked(system_); }

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

    // Guards against gateways that crash, with all that they carry, once no
    // member is left that does not drain.
    void streams_end_whole_while_all_gateways_drain() {
        stop_all_during_streams(3);
    }

    // Guards against the same at each stop of a gateway that has no others.
    void streams_end_whole_while_the_only_gateway_drains() {
        stop_all_during_streams(1);
    }

    // Guards against a process that ends by itself without a trace.
    void process_that_ends_by_a_signal_says_so() {
        system_.emplace(gateway_fleet_options{.gateways_ = 1});
        CPPUNIT_ASSERT(system_->start());
        system_->gateway(0).signal(SIGSEGV);
        const auto code = system_->gateway(0).wait(5000ms);
        CPPUNIT_ASSERT_EQUAL(-SIGSEGV, code.value_or(0));
        const auto ends = system_->unasked_ends();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, ends.size());
        const auto& line = ends.front();
        for (const char* part :
             {"level=critical event=fatal_signal signal=SIGSEGV version=",
              " build="}) {
            CPPUNIT_ASSERT_MESSAGE(line, line.find(part) != std::string::npos);
        }
        CPPUNIT_ASSERT_MESSAGE(line, !line.ends_with("unknown"));
        system_.reset();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace

} // namespace pimentoferry::process_tests
