// Runs a gateway as a process before replicas and engines that send bytes
// without end. Checks its memory, and that callers get an end in time.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr std::size_t callers = 48;
// The smallest memory of a machine on the users' platform.
constexpr std::size_t memory_limit = std::size_t{88} << 20;
constexpr auto patience = 5000ms;
constexpr auto plain_route_timeout = 2000ms;
// The platform's bound on answers that come after their time.
constexpr auto longest_delay = 500ms;

constexpr std::array<const char*, 14> shapes{
    "body",        "length",       "chunks",      "chunk_extension", "trailers",
    "header_line", "header_lines", "status_line", "interim",         "answers",
    "bytes",       "event",        "events",      "trickle"};

class endless_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endless_answer_test);
    CPPUNIT_TEST(memory_is_bounded_whatever_one_replica_of_each_kind_sends);
    CPPUNIT_TEST(memory_is_bounded_whatever_all_replicas_send);
    CPPUNIT_TEST(stream_whose_events_do_not_end_ends_at_its_deadline);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    void start() {
        system_.emplace(
            gateway_fleet_options{.gateways_ = 1,
                                  .plain_replicas_ = 3,
                                  .prefill_engines_ = 2,
                                  .decode_engines_ = 2,
                                  .route_timeout_ = plain_route_timeout});
        CPPUNIT_ASSERT(system_->start());
    }

    void set(const platform_replica_process& replica,
             const std::string& switches) {
        CPPUNIT_ASSERT(gateway_fleet::control(replica.port_, switches));
    }

    /// Makes all replicas, or only the first one of each stage, send `shape`.
    void set_endless(const std::string& shape, bool all) {
        std::optional<std::string> last_stage;
        for (const auto& replica : system_->replicas()) {
            const bool is_first = last_stage != replica.stage_;
            last_stage = replica.stage_;
            set(replica, all || is_first
                             ? R"({"endless_next":100000,"endless_shape":")" +
                                   shape + "\"}"
                             : R"({"endless_next":0})");
        }
    }

    http_stream open_stream(const std::string& path, const std::string& id) {
        return {system_->ports(0).traffic_, path, "",
                caller_fields(path, id, patience), 2 * patience};
    }

    /// Sends calls and streams at the same time and reads their answers.
    void send_requests() {
        static constexpr std::array<const char*, 4> paths{"/book/1", "/read/1",
                                                          "/chat/1", "/talk/1"};
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < callers; ++i) {
            threads.emplace_back([this, id = next_id(), path = paths[i % 4]] {
                auto stream = open_stream(path, id);
                stream.rest();
            });
        }
    }

    void check_memory(bool all) {
        start();
        const auto pid = system_->gateway(0).pid();
        for (const auto* shape : shapes) {
            set_endless(shape, all);
            send_requests();
            CPPUNIT_ASSERT_MESSAGE(shape, system_->gateway(0).running());
            CPPUNIT_ASSERT_MESSAGE(shape,
                                   peak_memory(pid).value() < memory_limit);
        }
        for (const auto& replica : system_->replicas()) {
            set(replica, R"({"endless_next":0})");
        }
        CPPUNIT_ASSERT(wait_for(
            [this] {
                return system_->call(0, "/book/1", next_id()).status_ ==
                       status_ok;
            },
            5s));
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against a gateway that keeps the bytes of a faulty upstream until
    // it runs out of memory.
    void memory_is_bounded_whatever_one_replica_of_each_kind_sends() {
        check_memory(false);
    }

    void memory_is_bounded_whatever_all_replicas_send() { check_memory(true); }

    // Guards against an answer that goes on after the deadline of its caller
    // because its engine always has more to send.
    void stream_whose_events_do_not_end_ends_at_its_deadline() {
        start();
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode") {
                set(replica,
                    R"({"endless_next":100,"endless_shape":"events"})");
            }
        }
        const auto began = std::chrono::steady_clock::now();
        auto stream = open_stream("/chat/1", next_id());
        std::size_t events = 0;
        while (stream.next_event()) {
            ++events;
        }
        const auto took = std::chrono::steady_clock::now() - began;
        CPPUNIT_ASSERT(events > 0);
        CPPUNIT_ASSERT(!stream.ended());
        CPPUNIT_ASSERT(took < patience + longest_delay);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answer_test);

} // namespace

} // namespace pimentoferry::process_tests
