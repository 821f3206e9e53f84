// Runs gateways as processes that place plain calls through the owner of the
// service, and ends the owner.

#include "tests/process/checked_end.hpp"
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

constexpr unsigned status_ok = 200;

class call_placement_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(call_placement_test);
    CPPUNIT_TEST(calls_are_placed_by_the_owner);
    CPPUNIT_TEST(calls_are_served_while_the_owner_is_lost);
    CPPUNIT_TEST(calls_are_served_while_the_owner_is_suspended);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    unsigned call(std::size_t gateway) {
        const auto id = "request-" + std::to_string(++requests_);
        return system_->call(gateway, "/book/1", id).status_;
    }

    std::size_t owner() {
        for (std::size_t i = 0; i < system_->gateway_count(); ++i) {
            const auto log = system_->gateway_log(i);
            const auto last = log.rfind("event=call_owner service=desk");
            if (last != std::string::npos &&
                log.find("self=yes", last) < log.find('\n', last)) {
                return i;
            }
        }
        CPPUNIT_FAIL("no gateway owns the service");
        return 0;
    }

    /// Calls at the gateways other than `lost`, one after the other; returns
    /// how many were answered.
    std::size_t answered(std::size_t count, std::size_t lost) {
        std::size_t served = 0;
        for (std::size_t i = 0; i < count; ++i) {
            const auto gateway = (lost + 1 + i % 2) % 3;
            served += call(gateway) == status_ok ? 1 : 0;
        }
        return served;
    }

public:
    void setUp() override {
        system_.emplace(gateway_fleet_options{
            .gateways_ = 3, .plain_replicas_ = 2, .call_placement_ = "owner"});
        CPPUNIT_ASSERT(system_->start());
        std::this_thread::sleep_for(500ms);
    }

    void tearDown() override { end_checked(system_); }

    void calls_are_placed_by_the_owner() {
        for (std::size_t i = 0; i < 30; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, call(i % 3));
        }
        for (std::size_t i = 0; i < 3; ++i) {
            const auto log = system_->gateway_log(i);
            CPPUNIT_ASSERT(log.find("event=place_call") != std::string::npos);
            CPPUNIT_ASSERT(log.find("event=call_owner_silent") ==
                           std::string::npos);
        }
    }

    // Guards against calls that fail or run twice because the gateway that
    // places them has ended.
    void calls_are_served_while_the_owner_is_lost() {
        const auto lost = owner();
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, answered(6, lost));
        system_->gateway(lost).signal(SIGKILL);
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, answered(60, lost));
        for (const auto& [request, count] : system_->runs()) {
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count);
        }
    }

    // Guards against calls that wait for an owner which does not reply.
    void calls_are_served_while_the_owner_is_suspended() {
        const auto lost = owner();
        system_->gateway(lost).signal(SIGSTOP);
        const auto began = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, answered(20, lost));
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < 4s);
        system_->gateway(lost).signal(SIGCONT);
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, answered(20, lost));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(call_placement_test);

} // namespace

} // namespace pimentoferry::process_tests
