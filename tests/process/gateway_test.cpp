// A gateway as a process between callers and the stand-ins of the users'
// platform: what callers and replicas see when answers are lost, cut, rejected
// or late, and when the gateway ends.

#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <csignal>
#include <optional>
#include <thread>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_failed = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;

class gateway_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(gateway_test);
    CPPUNIT_TEST(a_lost_answer_of_a_booking_is_not_asked_for_again);
    CPPUNIT_TEST(a_lost_answer_of_a_read_is_asked_for_again);
    CPPUNIT_TEST(a_rejected_booking_runs_elsewhere);
    CPPUNIT_TEST(a_refusal_says_not_run_only_if_nothing_ran);
    CPPUNIT_TEST(a_cut_answer_is_never_passed_on_as_whole);
    CPPUNIT_TEST(stray_bytes_are_no_answer_to_the_next_request);
    CPPUNIT_TEST(a_stream_that_is_cut_does_not_end_as_complete);
    CPPUNIT_TEST(a_resumable_stream_goes_on_without_a_gap);
    CPPUNIT_TEST(a_rejected_stream_is_decoded_elsewhere);
    CPPUNIT_TEST(a_call_ends_at_the_limit_of_its_route);
    CPPUNIT_TEST(a_caller_that_leaves_ends_the_work_of_its_replica);
    CPPUNIT_TEST(a_gateway_that_drains_answers_what_it_has_read);
    CPPUNIT_TEST(a_withdrawn_replica_gets_nothing_new);
    CPPUNIT_TEST(all_gateways_serve_again_after_all_were_killed);
    CPPUNIT_TEST_SUITE_END();

    // CppUnit makes all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    std::size_t runs_of(const std::string& request) {
        const auto runs = system_->runs();
        const auto found = runs.find(request);
        return found == runs.end() ? 0 : found->second;
    }

    void tell_all(const std::string& switches) {
        for (const auto& replica : system_->replicas()) {
            CPPUNIT_ASSERT(gateway_fleet::control(replica.port_, switches));
        }
    }

    http_stream open_stream(const std::string& path, const std::string& id) {
        return {system_->ports(0).traffic_, path, "",
                caller_fields(path, id, 8000ms)};
    }

    /// The numbers of the events of a stream, and whether it ended whole.
    std::pair<std::vector<std::string>, bool> read_events(http_stream& stream) {
        std::vector<std::string> ids;
        while (const auto event = stream.next_event()) {
            const auto end = event->find('\n');
            ids.push_back(event->substr(4, end - 4));
        }
        return {ids, stream.ended()};
    }

    static std::vector<std::string> numbers(std::size_t from, std::size_t to) {
        std::vector<std::string> result;
        for (auto i = from; i <= to; ++i) {
            result.push_back(std::to_string(i));
        }
        return result;
    }

public:
    void setUp() override {
        system_.emplace(gateway_fleet_options{.route_timeout_ = 2000ms});
        CPPUNIT_ASSERT(system_->start());
    }
    void tearDown() override { system_.reset(); }

    // Guards against a booking that runs twice because its answer was lost.
    void a_lost_answer_of_a_booking_is_not_asked_for_again() {
        tell_all(R"({"lose_next":1})");
        const auto id = next_id();
        const auto answer = system_->call(0, "/book/1", id);
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, answer.status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
    }

    void a_lost_answer_of_a_read_is_asked_for_again() {
        gateway_fleet::control(system_->replicas()[0].port_,
                               R"({"lose_next":1})");
        gateway_fleet::control(system_->replicas()[1].port_,
                               R"({"lose_next":0})");
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                status_ok, system_->call(0, "/read/1", next_id()).status_);
        }
    }

    // Guards against giving up on a call that no replica has begun.
    void a_rejected_booking_runs_elsewhere() {
        gateway_fleet::control(system_->replicas()[0].port_,
                               R"({"reject_next":50})");
        for (int i = 0; i < 6; ++i) {
            const auto id = next_id();
            CPPUNIT_ASSERT_EQUAL(status_ok,
                                 system_->call(0, "/book/1", id).status_);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
        }
    }

    // Guards against a 503 for a call that has run: callers book again then.
    void a_refusal_says_not_run_only_if_nothing_ran() {
        tell_all(R"({"reject_next":50})");
        const auto refused = next_id();
        const auto answer = system_->call(0, "/book/1", refused);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, answer.status_);
        CPPUNIT_ASSERT(answer.headers_.contains("retry-after"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(refused));

        tell_all(R"({"reject_next":0,"fail_next":1})");
        const auto failed = next_id();
        CPPUNIT_ASSERT_EQUAL(status_failed,
                             system_->call(0, "/book/1", failed).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(failed));
    }

    void a_cut_answer_is_never_passed_on_as_whole() {
        tell_all(R"({"cut_next":1})");
        const auto answer = system_->call(0, "/book/1", next_id());
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, answer.status_);
    }

    // Guards against answers that are one request behind on a connection.
    void stray_bytes_are_no_answer_to_the_next_request() {
        tell_all(R"({"stray_next":20})");
        for (int i = 0; i < 10; ++i) {
            const auto id = next_id();
            const auto answer = system_->call(0, "/read/1", id);
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(answer.body_.ends_with("of " + id + " at /read/1"));
        }
    }

    void a_stream_that_is_cut_does_not_end_as_complete() {
        tell_all(R"({"cut_next":1})");
        const auto id = next_id();
        auto stream = open_stream("/chat/1", id);
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(!whole);
        CPPUNIT_ASSERT(events == numbers(1, 10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
    }

    // Guards against events that are missing or come twice where two runs are
    // joined.
    void a_resumable_stream_goes_on_without_a_gap() {
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode") {
                gateway_fleet::control(replica.port_, R"({"cut_next":1})");
                break;
            }
        }
        bool resumed = false;
        for (int i = 0; i < 6 && !resumed; ++i) {
            const auto id = next_id();
            auto stream = open_stream("/talk/1", id);
            const auto [events, whole] = read_events(stream);
            CPPUNIT_ASSERT(whole);
            CPPUNIT_ASSERT(events == numbers(1, 20));
            resumed = runs_of(id) == 2;
        }
        CPPUNIT_ASSERT(resumed);
    }

    // Guards against a prompt that is read for nothing because one decode
    // engine is full.
    void a_rejected_stream_is_decoded_elsewhere() {
        std::size_t told = 0;
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode" && told++ == 0) {
                gateway_fleet::control(replica.port_, R"({"reject_next":50})");
            }
        }
        for (int i = 0; i < 4; ++i) {
            const auto id = next_id();
            auto stream = open_stream("/chat/1", id);
            CPPUNIT_ASSERT_EQUAL(status_ok, stream.status());
            const auto [events, whole] = read_events(stream);
            CPPUNIT_ASSERT(whole);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
        }
    }

    void a_call_ends_at_the_limit_of_its_route() {
        tell_all(R"({"work_ms":6000})");
        const auto began = std::chrono::steady_clock::now();
        const auto answer = system_->call(0, "/book/1", next_id(), 10'000ms);
        const auto took = std::chrono::steady_clock::now() - began;
        CPPUNIT_ASSERT_EQUAL(504U, answer.status_);
        // The limit is 2 s; half a second later is too late.
        CPPUNIT_ASSERT(took >= 1900ms);
        CPPUNIT_ASSERT(took < 2500ms);
    }

    void a_caller_that_leaves_ends_the_work_of_its_replica() {
        tell_all(R"({"events":200,"event_ms":20})");
        const auto running = [this] {
            std::int64_t total = 0;
            for (const auto& replica : system_->replicas()) {
                total += standins::number_or(
                    standins::http_get(replica.port_, "/api/report")
                        .body_json(),
                    "running", 0);
            }
            return total;
        };
        {
            auto stream = open_stream("/chat/1", next_id());
            CPPUNIT_ASSERT(stream.next_event().has_value());
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, running());
            stream.close();
        }
        // Replicas may be at work for half a second after the caller left.
        CPPUNIT_ASSERT(wait_for([&] { return running() == 0; }, 500ms));
    }

    // Guards against requests that are lost when machines are replaced.
    void a_gateway_that_drains_answers_what_it_has_read() {
        tell_all(R"({"work_ms":400})");
        std::atomic<std::size_t> answered = 0;
        constexpr std::size_t callers = 10;
        {
            std::vector<std::jthread> threads;
            for (std::size_t i = 0; i < callers; ++i) {
                threads.emplace_back([&, id = next_id()] {
                    const auto answer = system_->call(0, "/book/1", id);
                    answered += answer.status_ == status_ok ? 1 : 0;
                });
            }
            std::this_thread::sleep_for(150ms);
            system_->gateway(0).signal(SIGTERM);
        }
        CPPUNIT_ASSERT_EQUAL(callers, answered.load());
        CPPUNIT_ASSERT(system_->gateway(0).wait(4s) == std::optional{0});
    }

    void a_withdrawn_replica_gets_nothing_new() {
        auto& leaving = system_->replicas()[0];
        system_->register_replica(leaving, "draining");
        // In force well within the drain time of the platform, 2 s.
        std::this_thread::sleep_for(1500ms);
        for (int i = 0; i < 8; ++i) {
            const auto answer = system_->call(i % 2, "/book/1", next_id());
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(!answer.body_.starts_with(leaving.id_ + " "));
        }
    }

    // Guards against state that only the processes had.
    void all_gateways_serve_again_after_all_were_killed() {
        for (std::size_t i = 0; i < system_->gateway_count(); ++i) {
            system_->gateway(i).signal(SIGKILL);
            system_->gateway(i).wait(2s);
            system_->restart_gateway(i);
        }
        // The platform's bound for recovery.
        CPPUNIT_ASSERT(wait_for(
            [this] {
                return system_->call(0, "/book/1", next_id()).status_ ==
                           status_ok &&
                       system_->call(1, "/read/1", next_id()).status_ ==
                           status_ok;
            },
            12s));
        auto stream = open_stream("/chat/1", next_id());
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(whole);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_test);

} // namespace

} // namespace pimentoferry::process_tests
