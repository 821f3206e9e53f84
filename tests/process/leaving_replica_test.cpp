// Runs gateways as processes before replicas that say in their answers that
// they leave. Checks what arrives at these replicas afterwards.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
// Within this time all gateways know what one of them was told.
constexpr auto spread_time = 300ms;

class leaving_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_replica_test);
    CPPUNIT_TEST(replica_that_leaves_during_a_store_outage_gets_no_calls);
    CPPUNIT_TEST(replica_that_says_so_in_a_rejection_gets_no_calls);
    CPPUNIT_TEST(answer_of_another_instance_does_not_stop_a_replica);
    CPPUNIT_TEST(engines_that_leave_during_a_store_outage_get_no_streams);
    CPPUNIT_TEST(prompt_is_not_blamed_for_the_end_of_a_leaving_engine);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    void start(const gateway_fleet_options& options) {
        system_.emplace(options);
        CPPUNIT_ASSERT(system_->start());
    }

    void stop_store() {
        CPPUNIT_ASSERT(gateway_fleet::control(system_->store_port(),
                                              R"({"mode":"down"})"));
    }

    void set(std::size_t replica, const std::string& switches) {
        CPPUNIT_ASSERT(gateway_fleet::control(
            system_->replicas().at(replica).port_, switches));
    }

    /// Requests that arrived at a replica: runs, prefills and rejected ones.
    std::int64_t arrivals(std::size_t replica) {
        const auto counts =
            standins::http_get(system_->replicas().at(replica).port_,
                               "/arrivals")
                .body_json();
        return standins::number_or(counts, "run", 0) +
               standins::number_or(counts, "prefill", 0) +
               standins::number_or(counts, "rejected", 0);
    }

    /// Sends calls to one gateway until the replica has been asked.
    void call_until_asked(std::size_t replica) {
        const auto before = arrivals(replica);
        for (int i = 0; i < 100 && arrivals(replica) == before; ++i) {
            system_->call(0, "/book/1", next_id());
        }
        CPPUNIT_ASSERT(arrivals(replica) > before);
    }

    /// Sends calls to all gateways, which have to be served by other replicas.
    void check_gets_nothing(std::size_t replica) {
        std::this_thread::sleep_for(spread_time);
        const auto before = arrivals(replica);
        for (int i = 0; i < 20; ++i) {
            for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
                CPPUNIT_ASSERT_EQUAL(
                    status_ok, system_->call(g, "/book/1", next_id()).status_);
            }
        }
        CPPUNIT_ASSERT_EQUAL(before, arrivals(replica));
    }

    http_stream open_stream(std::size_t gateway) {
        return open_stream(gateway, next_id());
    }

    http_stream open_stream(std::size_t gateway, const std::string& id) {
        return {system_->ports(gateway).traffic_, "/chat/1", "",
                caller_fields("/chat/1", id, 8000ms)};
    }

    std::size_t read_events(http_stream& stream) {
        std::size_t events = 0;
        while (stream.next_event()) {
            ++events;
        }
        return stream.ended() ? events : 0;
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against calls to a replica that has said that it leaves, when the
    // store cannot say so.
    void replica_that_leaves_during_a_store_outage_gets_no_calls() {
        start({.gateways_ = 3, .plain_replicas_ = 2});
        stop_store();
        set(0, R"({"leaving":"1"})");
        call_until_asked(0);
        check_gets_nothing(0);
    }

    // Guards against gateways that read what a replica says of itself in its
    // successes only.
    void replica_that_says_so_in_a_rejection_gets_no_calls() {
        start({.gateways_ = 2, .plain_replicas_ = 2});
        stop_store();
        set(0, R"({"leaving":"1","reject_next":1})");
        call_until_asked(0);
        check_gets_nothing(0);
    }

    // Guards against a sound replica that is left out because its address was
    // answered by another instance.
    void answer_of_another_instance_does_not_stop_a_replica() {
        start({.gateways_ = 2, .plain_replicas_ = 2});
        const auto id = system_->replicas()[0].id_;
        set(0, R"({"id":"another","leaving":"1"})");
        call_until_asked(0);
        set(0, R"({"id":")" + id + R"(","leaving":""})");
        call_until_asked(0);
    }

    // Guards against placements on engines that leave, by the owner of the
    // scheduler that has not talked to them itself.
    void engines_that_leave_during_a_store_outage_get_no_streams() {
        start({.gateways_ = 3, .prefill_engines_ = 2, .decode_engines_ = 2});
        constexpr std::size_t plain = 2;
        constexpr std::size_t events = 20;
        const std::size_t prefill = plain;
        const std::size_t decode = plain + 2;
        set(decode, R"({"event_ms":60})");
        set(decode + 1, R"({"event_ms":60})");
        stop_store();
        set(prefill, R"({"leaving":"1"})");
        set(decode, R"({"leaving":"1"})");
        // Streams at once use both engines of a stage; one after the other, an
        // engine that was slightly faster gets them all.
        constexpr std::size_t opened_at_once = 6;
        std::vector<std::future<http_stream>> streams;
        streams.reserve(opened_at_once);
        while (streams.size() < opened_at_once) {
            streams.push_back(
                std::async(std::launch::async, [this, id = next_id()] {
                    return open_stream(0, id);
                }));
        }
        for (auto& opened : streams) {
            auto stream = opened.get();
            CPPUNIT_ASSERT_EQUAL(events, read_events(stream));
        }
        CPPUNIT_ASSERT(arrivals(prefill) > 0);
        CPPUNIT_ASSERT(arrivals(decode) > 0);
        std::this_thread::sleep_for(spread_time);
        const auto prefilled = arrivals(prefill);
        const auto decoded = arrivals(decode);
        for (std::size_t g = 0; g < 3; ++g) {
            for (int i = 0; i < 4; ++i) {
                auto stream = open_stream(g);
                CPPUNIT_ASSERT_EQUAL(events, read_events(stream));
            }
        }
        CPPUNIT_ASSERT_EQUAL(prefilled, arrivals(prefill));
        CPPUNIT_ASSERT_EQUAL(decoded, arrivals(decode));
    }

    // Guards against the quarantine of prompts that a leaving engine had not
    // begun to answer when it ended.
    void prompt_is_not_blamed_for_the_end_of_a_leaving_engine() {
        start({.gateways_ = 2, .decode_engines_ = 1});
        const std::size_t decode = system_->replicas().size() - 1;
        // The engine ends after the head of its answer. All prompts have it.
        set(decode, R"({"leaving":"1","crash_on_part":"a1"})");
        auto stream = open_stream(0);
        CPPUNIT_ASSERT(!stream.next_event());
        CPPUNIT_ASSERT(wait_for(
            [this] {
                return system_->gateway_log(0).find("event=answer_lost ") !=
                       std::string::npos;
            },
            2000ms));
        std::this_thread::sleep_for(spread_time);
        const auto log = system_->gateway_log(0);
        CPPUNIT_ASSERT(log.find("event=upstream_crashed") == std::string::npos);
        CPPUNIT_ASSERT(log.find("upstream=left") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_replica_test);

} // namespace

} // namespace pimentoferry::process_tests
