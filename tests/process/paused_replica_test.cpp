// Runs gateways as processes before replicas that reject a request and ask for
// a pause. Checks what arrives at these replicas meanwhile.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

class paused_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(paused_replica_test);
    CPPUNIT_TEST(a_replica_that_asks_for_a_pause_gets_no_calls);
    CPPUNIT_TEST(the_owner_of_calls_does_not_choose_a_paused_replica);
    CPPUNIT_TEST(a_pause_binds_the_gateway_that_was_told_only);
    CPPUNIT_TEST(calls_are_refused_at_once_while_all_replicas_are_paused);
    CPPUNIT_TEST(engines_that_ask_for_a_pause_get_no_streams);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    void start(const gateway_fleet_options& options) {
        system_.emplace(options);
        CPPUNIT_ASSERT(system_->start());
    }

    void set(std::size_t replica, const std::string& switches) {
        CPPUNIT_ASSERT(gateway_fleet::control(
            system_->replicas().at(replica).port_, switches));
    }

    std::int64_t arrivals(std::size_t replica) {
        const auto counts =
            standins::http_get(system_->replicas().at(replica).port_,
                               "/arrivals")
                .body_json();
        return standins::number_or(counts, "run", 0) +
               standins::number_or(counts, "prefill", 0) +
               standins::number_or(counts, "rejected", 0);
    }

    standins::http_answer call(std::size_t gateway) {
        return system_->call(gateway, "/book/1", next_id());
    }

    /// Lets the replica ask the gateway for a pause of 3 s.
    void pause(std::size_t replica, std::size_t gateway) {
        set(replica, R"({"reject_next":1,"retry_after":"3"})");
        const auto before = arrivals(replica);
        for (int i = 0; i < 100 && arrivals(replica) == before; ++i) {
            call(gateway);
        }
        CPPUNIT_ASSERT(arrivals(replica) > before);
    }

    void check_gets_nothing(std::size_t replica, std::size_t gateway) {
        const auto before = arrivals(replica);
        for (int i = 0; i < 40; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, call(gateway).status_);
        }
        CPPUNIT_ASSERT_EQUAL(before, arrivals(replica));
    }

    std::size_t read_stream(std::size_t gateway) {
        const auto id = next_id();
        http_stream stream{system_->ports(gateway).traffic_, "/chat/1", "",
                           caller_fields("/chat/1", id, 8000ms)};
        std::size_t events = 0;
        while (stream.next_event()) {
            ++events;
        }
        return stream.ended() ? events : 0;
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against requests to a replica that has rejected one with
    // `Retry-After`, and against a replica that stays unused.
    void a_replica_that_asks_for_a_pause_gets_no_calls() {
        start({.gateways_ = 1, .plain_replicas_ = 2});
        pause(0, 0);
        check_gets_nothing(0, 0);
        std::this_thread::sleep_for(3000ms);
        const auto before = arrivals(0);
        for (int i = 0; i < 40; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, call(0).status_);
        }
        CPPUNIT_ASSERT(arrivals(0) > before);
    }

    // Guards against an owner of the service that sends calls of a gateway to a
    // replica that wants none from it.
    void the_owner_of_calls_does_not_choose_a_paused_replica() {
        start(
            {.gateways_ = 2, .plain_replicas_ = 2, .call_placement_ = "owner"});
        pause(0, 0);
        check_gets_nothing(0, 0);
        pause(0, 1);
        check_gets_nothing(0, 1);
    }

    // Guards against a replica that is lost to a fleet because it turned one
    // gateway away.
    void a_pause_binds_the_gateway_that_was_told_only() {
        start({.gateways_ = 2, .plain_replicas_ = 2});
        pause(0, 0);
        const auto before = arrivals(0);
        for (int i = 0; i < 40; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, call(1).status_);
        }
        CPPUNIT_ASSERT(arrivals(0) > before);
    }

    // Guards against calls that are sent, or wait, although every replica has
    // said that it will take none.
    void calls_are_refused_at_once_while_all_replicas_are_paused() {
        start({.gateways_ = 1, .plain_replicas_ = 2});
        pause(0, 0);
        pause(1, 0);
        const auto before = arrivals(0) + arrivals(1);
        const auto began = std::chrono::steady_clock::now();
        const auto refused = call(0);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, refused.status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < 500ms);
        const auto retry_after = std::stod(refused.headers_.at("retry-after"));
        CPPUNIT_ASSERT(retry_after > 1 && retry_after < 3.5);
        CPPUNIT_ASSERT_EQUAL(before, arrivals(0) + arrivals(1));
    }

    // Guards against prefills and decodes at engines that want none from this
    // gateway.
    void engines_that_ask_for_a_pause_get_no_streams() {
        constexpr std::size_t events = 20;
        constexpr std::size_t prefill = 2;
        constexpr std::size_t decode = 4;
        start({.gateways_ = 2, .prefill_engines_ = 2, .decode_engines_ = 2});
        set(prefill, R"({"reject_next":1,"retry_after":"6"})");
        set(decode, R"({"reject_next":1,"retry_after":"6"})");
        for (int i = 0;
             i < 40 && (arrivals(prefill) == 0 || arrivals(decode) == 0); ++i) {
            read_stream(0);
        }
        const auto prefilled = arrivals(prefill);
        const auto decoded = arrivals(decode);
        CPPUNIT_ASSERT(prefilled > 0 && decoded > 0);
        for (int i = 0; i < 8; ++i) {
            CPPUNIT_ASSERT_EQUAL(events, read_stream(0));
        }
        CPPUNIT_ASSERT_EQUAL(prefilled, arrivals(prefill));
        CPPUNIT_ASSERT_EQUAL(decoded, arrivals(decode));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(paused_replica_test);

} // namespace

} // namespace pimentoferry::process_tests
