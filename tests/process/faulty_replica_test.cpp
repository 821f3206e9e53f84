// Runs gateways as processes before replicas that repeat an earlier rejection,
// answer a resumed stream with something else, or stop in the middle of a head.
// Checks that callers are told the truth.

#include "tests/process/checked_end.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <thread>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;

class faulty_replica_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(faulty_replica_test);
    CPPUNIT_TEST(repeated_rejection_does_not_answer_a_later_call);
    CPPUNIT_TEST(rejection_without_id_is_no_proof_that_a_call_has_not_run);
    CPPUNIT_TEST(rejection_without_id_does_not_move_a_running_stream);
    CPPUNIT_TEST(repeated_rejection_of_the_same_stream_is_not_believed);
    CPPUNIT_TEST(copied_refusal_of_the_same_call_is_not_believed);
    CPPUNIT_TEST(copied_refusal_of_the_same_stream_at_its_address);
    CPPUNIT_TEST(error_of_the_next_engine_does_not_enter_a_stream);
    CPPUNIT_TEST(empty_answer_of_the_next_engine_does_not_end_a_stream);
    CPPUNIT_TEST(head_that_stops_midway_is_no_answer);
    CPPUNIT_TEST(resumed_streams_stay_within_the_retry_budget);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    void start(std::size_t plain_replicas, std::size_t decode_engines) {
        system_.emplace(gateway_fleet_options{.plain_replicas_ = plain_replicas,
                                              .decode_engines_ = decode_engines,
                                              .route_timeout_ = 2000ms});
        CPPUNIT_ASSERT(system_->start());
    }

    void set_on(const std::string& stage, const std::string& switches) {
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == stage) {
                CPPUNIT_ASSERT(gateway_fleet::control(replica.port_, switches));
            }
        }
    }

    std::size_t runs_of(const std::string& request) {
        const auto runs = system_->runs();
        const auto found = runs.find(request);
        return found == runs.end() ? 0 : found->second;
    }

    http_stream open_stream(const std::string& path, const std::string& id) {
        return {system_->ports(0).traffic_, path, "",
                caller_fields(path, id, 8000ms)};
    }

    /// Registers each replica under a second id too, as that of an earlier
    /// instance whose entry has not lapsed.
    void add_earlier_ids(const std::string& stage) {
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ != stage) {
                continue;
            }
            platform_replica_process earlier;
            earlier.id_ = "earlier-" + replica.id_;
            earlier.stage_ = stage;
            earlier.registered_port_ = replica.registered_port_;
            system_->register_replica(earlier);
        }
        std::this_thread::sleep_for(300ms); // The gateways hear of them.
    }

    std::size_t rejections() {
        return static_cast<std::size_t>(std::ranges::count(
            system_->arrivals(), "rejected", &replica_arrival::kind_));
    }

    /// Makes the plain replica reject a call on a connection that is kept.
    void reject_a_call() {
        set_on("", R"({"reject_next":1})");
        CPPUNIT_ASSERT_EQUAL(status_unavailable,
                             system_->call(0, "/book/1", next_id()).status_);
    }

    /// Reads a stream whose engine breaks off after its tenth event, after
    /// which engines behave as `switches` say. Checks that the caller gets
    /// these events and nothing else. Returns whether a second engine was
    /// asked, which the retry budget may forbid.
    bool check_cut_stream(const std::string& switches) {
        set_on("decode", R"({"cut_next":1,"event_ms":40,"events":20,
                             "fail_next":0,"unframed_next":0,
                             "cut_head_next":0})");
        const auto id = next_id();
        auto stream = open_stream("/talk/1", id);
        CPPUNIT_ASSERT(stream.next_event().has_value());
        set_on("decode", switches);
        std::size_t events = 1;
        while (const auto event = stream.next_event()) {
            ++events;
            CPPUNIT_ASSERT(
                event->starts_with("id: " + std::to_string(events) + "\n"));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, events);
        CPPUNIT_ASSERT_EQUAL(std::string{}, stream.rest());
        CPPUNIT_ASSERT(!stream.ended());
        return runs_of(id) > 1;
    }

    void check_cut_streams(const std::string& switches) {
        start(1, 3);
        bool resumed = false;
        for (int i = 0; i < 6 && !resumed; ++i) {
            resumed = check_cut_stream(switches);
        }
        CPPUNIT_ASSERT(resumed);
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against a placement that is paid as one repeated send, but sends a
    // second prefill and a second decode.
    void resumed_streams_stay_within_the_retry_budget() {
        constexpr std::size_t streams = 30;
        start(1, 3);
        set_on("decode", R"({"cut_next":1000,"event_ms":1})");
        for (std::size_t i = 0; i < streams; ++i) {
            auto stream = open_stream("/talk/1", next_id());
            stream.rest();
            CPPUNIT_ASSERT(!stream.ended());
        }
        // One of two gateways uses half of its equal share of the constant 58,
        // and half of the fifth of its own requests.
        constexpr std::size_t allowed = 58 / 2 / 2 + streams / 5 / 2;
        const auto repeats = repeated_sends(system_->arrivals()).size();
        CPPUNIT_ASSERT(repeats > 0);
        CPPUNIT_ASSERT_LESSEQUAL(allowed, repeats);
    }

    // Guards against a call that fails because a faulty replica wrote an
    // earlier rejection once more.
    void repeated_rejection_does_not_answer_a_later_call() {
        start(1, 1);
        reject_a_call();
        set_on("", R"({"repeat_next":1})");
        for (int i = 0; i < 3; ++i) {
            const auto id = next_id();
            const auto answer = system_->call(0, "/book/1", id);
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(answer.body_.ends_with(" of " + id + " at /book/1"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
        }
    }

    // Guards against "not run" for a call that has run.
    void rejection_without_id_is_no_proof_that_a_call_has_not_run() {
        start(1, 1);
        reject_a_call();
        set_on("", R"({"repeat_next":1,"repeat_without_id":1})");
        const auto id = next_id();
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway,
                             system_->call(0, "/book/1", id).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
        const auto next = next_id();
        const auto answer = system_->call(0, "/book/1", next);
        CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
        CPPUNIT_ASSERT(answer.body_.ends_with(" of " + next + " at /book/1"));
    }

    // Guards against a stream that runs at two engines.
    void rejection_without_id_does_not_move_a_running_stream() {
        start(1, 2);
        set_on("decode", R"({"reject_next":1})");
        (void)open_stream("/chat/1", next_id()).rest();
        set_on("decode", R"({"reject_next":0,"repeat_next":2,
                             "repeat_without_id":1})");
        std::this_thread::sleep_for(400ms); // The backoff of the engines.
        std::size_t runs = 0;
        for (int i = 0; i < 4; ++i) {
            const auto id = next_id();
            auto stream = open_stream("/chat/1", id);
            (void)stream.rest();
            const auto runs_of_stream = runs_of(id);
            CPPUNIT_ASSERT(runs_of_stream <= 1);
            CPPUNIT_ASSERT(stream.status() != status_unavailable ||
                           runs_of_stream == 0);
            runs += runs_of_stream;
        }
        CPPUNIT_ASSERT(runs >= 2);
    }

    // Guards against a stream that is sent to an engine again and believes the
    // copy of its first rejection there.
    void repeated_rejection_of_the_same_stream_is_not_believed() {
        start(1, 1);
        set_on("decode", R"({"reject_next":1,"repeat_next":1})");
        const auto id = next_id();
        auto stream = open_stream("/chat/1", id);
        (void)stream.rest();
        CPPUNIT_ASSERT(stream.status() != status_unavailable ||
                       runs_of(id) == 0);
        CPPUNIT_ASSERT(runs_of(id) <= 1);
    }

    // Guards against a call that is refused as not run, or sent to another
    // replica, while it runs: it was refused at the address under the id of an
    // earlier instance, and a copy of that refusal came as the second answer.
    void copied_refusal_of_the_same_call_is_not_believed() {
        start(2, 1);
        add_earlier_ids("");
        for (const std::string when : {"before", "after", "rejection"}) {
            set_on("", R"({"repeat_next":1000,"repeat_when":")" + when + "\"}");
            for (int i = 0; i < 20; ++i) {
                const auto id = next_id();
                const auto answer = system_->call(0, "/book/1", id);
                CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
            }
        }
        CPPUNIT_ASSERT(rejections() > 0);
    }

    // Guards against a stream that goes on at a second engine while the first
    // one runs it, for the same reason.
    void copied_refusal_of_the_same_stream_at_its_address() {
        start(1, 2);
        add_earlier_ids("decode");
        set_on("decode", R"({"repeat_next":1000})");
        for (int i = 0; i < 12; ++i) {
            const auto id = next_id();
            auto stream = open_stream("/chat/1", id);
            (void)stream.rest();
            CPPUNIT_ASSERT(runs_of(id) <= 1);
            CPPUNIT_ASSERT(stream.status() != status_unavailable ||
                           runs_of(id) == 0);
        }
        CPPUNIT_ASSERT(rejections() > 0);
    }

    // Guards against the text of an error in the middle of a stream.
    void error_of_the_next_engine_does_not_enter_a_stream() {
        check_cut_streams(R"({"fail_next":5})");
    }

    // Guards against a stream that ends as complete because the next engine
    // closed the connection before its first event.
    void empty_answer_of_the_next_engine_does_not_end_a_stream() {
        check_cut_streams(R"({"unframed_next":5,"events":10})");
    }

    // Guards against a head without its end that is taken for an empty answer.
    void head_that_stops_midway_is_no_answer() {
        start(2, 2);
        set_on("", R"({"cut_head_next":1})");
        const auto booking = next_id();
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway,
                             system_->call(0, "/book/1", booking).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(booking));
        const auto read = next_id();
        const auto answer = system_->call(0, "/read/1", read);
        CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
        CPPUNIT_ASSERT(answer.body_.ends_with(" of " + read + " at /read/1"));
        set_on("decode", R"({"cut_head_next":1})");
        auto stream = open_stream("/chat/1", next_id());
        CPPUNIT_ASSERT(!stream.next_event().has_value());
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, stream.status());
        check_cut_streams(R"({"cut_head_next":5})");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(faulty_replica_test);

} // namespace

} // namespace pimentoferry::process_tests
