// Runs gateways as processes between callers and stand-ins for the users'
// platform. Checks what callers and replicas receive when responses are lost,
// truncated, rejected or late, and when a gateway drains or is killed.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"
#include "tests/process/loopback.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/stat.h>
#include <sys/types.h>

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
    CPPUNIT_TEST(non_idempotent_call_is_not_retried_after_a_lost_response);
    CPPUNIT_TEST(idempotent_call_is_retried_after_a_lost_response);
    CPPUNIT_TEST(rejected_non_idempotent_call_runs_on_another_replica);
    CPPUNIT_TEST(status_503_is_sent_only_if_the_call_did_not_run);
    CPPUNIT_TEST(truncated_response_is_not_forwarded_as_complete);
    CPPUNIT_TEST(stray_bytes_are_not_read_as_the_next_response);
    CPPUNIT_TEST(answers_without_end_are_cut_off);
    CPPUNIT_TEST(truncated_stream_does_not_end_as_complete);
    CPPUNIT_TEST(resumable_stream_continues_without_gap_or_repeat);
    CPPUNIT_TEST(answer_that_ends_with_its_connection_is_whole);
    CPPUNIT_TEST(unframed_stream_that_ends_inside_an_event_is_broken);
    CPPUNIT_TEST(stream_without_any_event_is_broken);
    CPPUNIT_TEST(rejected_stream_is_decoded_on_another_engine);
    CPPUNIT_TEST(call_ends_at_the_timeout_of_its_route);
    CPPUNIT_TEST(caller_disconnect_cancels_the_call_at_the_replica);
    CPPUNIT_TEST(draining_gateway_completes_accepted_requests);
    CPPUNIT_TEST(signal_during_the_start_does_not_end_a_gateway);
    CPPUNIT_TEST(draining_replica_receives_no_new_calls);
    CPPUNIT_TEST(removed_replica_gets_no_calls_from_a_restarted_gateway);
    CPPUNIT_TEST(removed_replica_gets_no_calls_from_a_gateway_without_store);
    CPPUNIT_TEST(prompt_part_that_crashes_engines_is_refused_everywhere);
    CPPUNIT_TEST(call_that_crashes_replicas_is_refused_everywhere);
    CPPUNIT_TEST(replica_that_breaks_answers_off_blames_no_call);
    CPPUNIT_TEST(replicas_that_have_ended_are_tried_rarely);
    CPPUNIT_TEST(all_gateways_recover_after_all_are_killed);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    std::size_t runs_of(const std::string& request) {
        const auto runs = system_->runs();
        const auto found = runs.find(request);
        return found == runs.end() ? 0 : found->second;
    }

    void set_on_all_replicas(const std::string& switches) {
        for (const auto& replica : system_->replicas()) {
            CPPUNIT_ASSERT(gateway_fleet::control(replica.port_, switches));
        }
    }

    http_stream open_stream(const std::string& path, const std::string& id) {
        return {system_->ports(0).traffic_, path, "",
                caller_fields(path, id, 8000ms)};
    }

    /// Returns the event ids of a stream and whether it ended as complete.
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
    void tearDown() override { end_checked(system_); }

    // Guards against a booking that runs twice because its response was lost.
    void non_idempotent_call_is_not_retried_after_a_lost_response() {
        set_on_all_replicas(R"({"lose_next":1})");
        const auto id = next_id();
        const auto answer = system_->call(0, "/book/1", id);
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, answer.status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
    }

    void idempotent_call_is_retried_after_a_lost_response() {
        gateway_fleet::control(system_->replicas()[0].port_,
                               R"({"lose_next":1})");
        gateway_fleet::control(system_->replicas()[1].port_,
                               R"({"lose_next":0})");
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                status_ok, system_->call(0, "/read/1", next_id()).status_);
        }
    }

    // Guards against failing a call that no replica has started.
    void rejected_non_idempotent_call_runs_on_another_replica() {
        gateway_fleet::control(system_->replicas()[0].port_,
                               R"({"reject_next":50})");
        for (int i = 0; i < 6; ++i) {
            const auto id = next_id();
            CPPUNIT_ASSERT_EQUAL(status_ok,
                                 system_->call(0, "/book/1", id).status_);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
        }
    }

    // Guards against a 503 for a call that has run: callers then book again.
    void status_503_is_sent_only_if_the_call_did_not_run() {
        set_on_all_replicas(R"({"reject_next":50})");
        const auto refused = next_id();
        const auto answer = system_->call(0, "/book/1", refused);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, answer.status_);
        CPPUNIT_ASSERT(answer.headers_.contains("retry-after"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, runs_of(refused));

        set_on_all_replicas(R"({"reject_next":0,"fail_next":1})");
        const auto failed = next_id();
        CPPUNIT_ASSERT_EQUAL(status_failed,
                             system_->call(0, "/book/1", failed).status_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(failed));
    }

    void truncated_response_is_not_forwarded_as_complete() {
        set_on_all_replicas(R"({"cut_next":1})");
        const auto answer = system_->call(0, "/book/1", next_id());
        CPPUNIT_ASSERT_EQUAL(status_bad_gateway, answer.status_);
    }

    // Guards against responses that are off by one request on a connection.
    void stray_bytes_are_not_read_as_the_next_response() {
        set_on_all_replicas(R"({"stray_next":20})");
        for (int i = 0; i < 10; ++i) {
            const auto id = next_id();
            const auto answer = system_->call(0, "/read/1", id);
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(answer.body_.ends_with("of " + id + " at /read/1"));
        }
    }

    /// Sends `count` calls at once and returns their statuses.
    std::vector<unsigned> call_at_once(const std::string& path, int count) {
        std::vector<std::future<unsigned>> calls;
        calls.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            calls.push_back(
                std::async(std::launch::async, [this, path, id = next_id()] {
                    return system_->call(0, path, id).status_;
                }));
        }
        std::vector<unsigned> statuses;
        statuses.reserve(calls.size());
        for (auto& each : calls) {
            statuses.push_back(each.get());
        }
        return statuses;
    }

    // Guards against replicas in trouble that send bytes without end: they
    // would exhaust the memory of a gateway, and with it all its requests.
    void answers_without_end_are_cut_off() {
        constexpr int calls = 8;
        constexpr std::size_t most_growth = std::size_t{32} << 20;
        const auto pid = system_->gateway(0).pid();
        const auto before = peak_memory(pid).value();
        // Plain calls: the body does not end.
        set_on_all_replicas(R"({"endless_next":1000})");
        for (const auto status : call_at_once("/book/1", calls)) {
            CPPUNIT_ASSERT_EQUAL(status_bad_gateway, status);
        }
        // Streams: the head of a prefill does not end, then the first event of
        // a decode.
        for (const auto status : call_at_once("/chat/1", calls)) {
            CPPUNIT_ASSERT(status == status_unavailable ||
                           status == status_bad_gateway);
        }
        for (auto& replica : system_->replicas()) {
            if (replica.stage_ == "prefill") {
                gateway_fleet::control(replica.port_, R"({"endless_next":0})");
            }
        }
        std::this_thread::sleep_for(1600ms); // The backoff of the engine.
        for (int i = 0; i < 3; ++i) {
            auto stream = open_stream("/chat/1", next_id());
            const auto [events, whole] = read_events(stream);
            CPPUNIT_ASSERT(events.empty());
            CPPUNIT_ASSERT(!whole);
        }
        CPPUNIT_ASSERT(peak_memory(pid).value() < before + most_growth);
        set_on_all_replicas(R"({"endless_next":0})");
        CPPUNIT_ASSERT_EQUAL(status_ok,
                             system_->call(0, "/read/1", next_id()).status_);
    }

    void truncated_stream_does_not_end_as_complete() {
        set_on_all_replicas(R"({"cut_next":1})");
        const auto id = next_id();
        auto stream = open_stream("/chat/1", id);
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(!whole);
        CPPUNIT_ASSERT(events == numbers(1, 10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, runs_of(id));
    }

    // Guards against missing or repeated events where a second run continues
    // the first.
    void resumable_stream_continues_without_gap_or_repeat() {
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

    // Guards against a prefill that is wasted because one decode engine is
    // full.
    // Guards against the loss of answers that have neither a length nor chunks.
    void answer_that_ends_with_its_connection_is_whole() {
        set_on_all_replicas(R"({"unframed_next":1})");
        const auto id = next_id();
        const auto answer = system_->call(0, "/read/1", id);
        CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
        CPPUNIT_ASSERT(answer.body_.ends_with(" of " + id + " at /read/1"));
        auto stream = open_stream("/chat/1", next_id());
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(whole);
        CPPUNIT_ASSERT(events == numbers(1, 20));
    }

    // Guards against a truncated stream that ends as complete because its end
    // is the end of the connection.
    void unframed_stream_that_ends_inside_an_event_is_broken() {
        set_on_all_replicas(R"({"unframed_next":1,"cut_next":1})");
        auto stream = open_stream("/chat/1", next_id());
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(!whole);
        CPPUNIT_ASSERT(!events.empty());
        CPPUNIT_ASSERT(events == numbers(1, events.size()));
    }

    // Guards against an engine that crashes as it begins an unframed answer,
    // whose closed connection reads as an empty stream.
    void stream_without_any_event_is_broken() {
        set_on_all_replicas(R"({"unframed_next":1,"events":0})");
        auto stream = open_stream("/chat/1", next_id());
        const auto [events, whole] = read_events(stream);
        CPPUNIT_ASSERT(!whole);
    }

    void rejected_stream_is_decoded_on_another_engine() {
        std::size_t decode_engines = 0;
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode" && decode_engines++ == 0) {
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

    void call_ends_at_the_timeout_of_its_route() {
        set_on_all_replicas(R"({"work_ms":6000})");
        const auto start_time = std::chrono::steady_clock::now();
        const auto answer = system_->call(0, "/book/1", next_id(), 10'000ms);
        const auto elapsed = std::chrono::steady_clock::now() - start_time;
        CPPUNIT_ASSERT_EQUAL(504U, answer.status_);
        // The timeout is 2 s; the call must end within half a second of it.
        CPPUNIT_ASSERT(elapsed >= 1900ms);
        CPPUNIT_ASSERT(elapsed < 2500ms);
    }

    void caller_disconnect_cancels_the_call_at_the_replica() {
        set_on_all_replicas(R"({"events":200,"event_ms":20})");
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
        // Replicas must stop within half a second after the disconnect.
        CPPUNIT_ASSERT(wait_for([&] { return running() == 0; }, 500ms));
    }

    // Guards against requests that are lost when instances are replaced.
    void draining_gateway_completes_accepted_requests() {
        set_on_all_replicas(R"({"work_ms":400})");
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

    // Guards against a gateway that is ended by a SIGHUP which arrives before
    // its handlers are installed.
    void signal_during_the_start_does_not_end_a_gateway() {
        system_->gateway(1).signal(SIGKILL);
        system_->gateway(1).wait(2s);
        const auto path = system_->directory() + "/gateway-1.json";
        const auto settings = read_text(path);
        std::filesystem::remove(path);
        CPPUNIT_ASSERT_EQUAL(0, ::mkfifo(path.c_str(), 0600));
        system_->restart_gateway(1);
        {
            // Opens when the gateway begins to read its settings.
            std::ofstream pipe{path};
            system_->gateway(1).signal(SIGHUP);
            std::filesystem::remove(path);
            std::ofstream{path} << settings;
            pipe << settings;
        }
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(1); }, 4s));
        CPPUNIT_ASSERT(wait_for(
            [this] {
                return system_->gateway_log(1).find("event=reload ") !=
                       std::string::npos;
            },
            1s));
    }

    void draining_replica_receives_no_new_calls() {
        auto& leaving = system_->replicas()[0];
        system_->register_replica(leaving, "draining");
        // Takes effect well within the drain time of the platform, 2 s.
        std::this_thread::sleep_for(1500ms);
        for (int i = 0; i < 8; ++i) {
            const auto answer = system_->call(i % 2, "/book/1", next_id());
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(!answer.body_.starts_with(leaving.id_ + " "));
        }
    }

    /// Removes a replica from the store and checks that calls which a gateway
    /// receives 1 s later, half of the platform's drain time, run elsewhere.
    void check_removal_at(std::size_t gateway) {
        const auto leaving = system_->replicas()[0].id_;
        system_->withdraw_replica(leaving);
        std::this_thread::sleep_for(1000ms);
        for (int i = 0; i < 8; ++i) {
            const auto answer = system_->call(gateway, "/book/1", next_id());
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(!answer.body_.starts_with(leaving + " "));
        }
    }

    // Guards against a gateway that takes the first answer of the store for the
    // end of an outage, and keeps a removed replica in use.
    void removed_replica_gets_no_calls_from_a_restarted_gateway() {
        system_->gateway(1).signal(SIGKILL);
        system_->gateway(1).wait(2s);
        system_->restart_gateway(1);
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(1); }, 4s));
        check_removal_at(1);
    }

    // Guards against a gateway that takes the loss of its link to the store for
    // an outage of the store, and keeps a removed replica in use.
    void removed_replica_gets_no_calls_from_a_gateway_without_store() {
        constexpr std::uint16_t port_without_listener = 1;
        system_.emplace(gateway_fleet_options{.route_timeout_ = 2000ms});
        CPPUNIT_ASSERT(system_->start_standins());
        system_->ports(1).store_ = port_without_listener;
        CPPUNIT_ASSERT(system_->start_gateways());
        check_removal_at(1);
    }

    /// Status of a stream whose prompt has these parts before its own.
    unsigned stream_status(std::size_t gateway, const std::string& parts) {
        auto fields = caller_fields("/chat/1", next_id(), 8000ms);
        std::ranges::find(fields, "X-Prompt-Prefix",
                          &standins::request_headers::value_type::first)
            ->second = parts + "," + std::to_string(requests_) + ":10";
        http_stream stream{system_->ports(gateway).traffic_, "/chat/1", "",
                           fields};
        const auto [events, whole] = read_events(stream);
        return stream.status() == status_ok && !whole ? status_bad_gateway
                                                      : stream.status();
    }

    std::size_t crashed_engines() {
        return static_cast<std::size_t>(
            std::ranges::count_if(system_->replicas(), [](auto& replica) {
                return replica.process_.wait(0ms).has_value();
            }));
    }

    // Guards against requests with nothing in common but one part of their
    // prompts that crash one engine after the other.
    void prompt_part_that_crashes_engines_is_refused_everywhere() {
        system_.emplace(gateway_fleet_options{.decode_engines_ = 5,
                                              .route_timeout_ = 2000ms});
        CPPUNIT_ASSERT(system_->start());
        set_on_all_replicas(R"({"crash_on_part":"dead","event_ms":5})");
        const std::string deadly = "a1:200,dead:4000";
        const std::string sound = "a1:200,beef:4000";
        for (int i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_ok, stream_status(i, sound));
        }
        for (std::size_t i = 0; i < 8; ++i) {
            stream_status(i % 2, deadly);
            std::this_thread::sleep_for(350ms);
        }
        // The second crash tells the part from a request that ran beside it.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashed_engines());
        for (std::size_t i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_unavailable, stream_status(i, deadly));
            CPPUNIT_ASSERT_EQUAL(status_ok, stream_status(i, sound));
        }
        // The store has the record after its writer's turn.
        std::this_thread::sleep_for(1500ms);
        for (std::size_t i = 0; i < 2; ++i) {
            system_->gateway(i).signal(SIGKILL);
            system_->gateway(i).wait(2s);
        }
        for (std::size_t i = 0; i < 2; ++i) {
            system_->restart_gateway(i);
            CPPUNIT_ASSERT(
                wait_for([this, i] { return system_->is_ready(i); }, 4s));
            CPPUNIT_ASSERT_EQUAL(status_unavailable, stream_status(i, deadly));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashed_engines());
    }

    void check_call_that_crashes(const std::string& deadly,
                                 const std::string& sound) {
        system_.emplace(gateway_fleet_options{.plain_replicas_ = 6});
        CPPUNIT_ASSERT(system_->start());
        set_on_all_replicas(R"({"crash_on":"dead"})");
        const auto status = [this](std::size_t gateway,
                                   const std::string& path) {
            return system_->call(gateway, path, next_id()).status_;
        };
        for (std::size_t i = 0; i < 8; ++i) {
            status(i % 2, deadly);
            std::this_thread::sleep_for(150ms);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashed_engines());
        for (std::size_t i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT_EQUAL(status_unavailable, status(i, deadly));
            CPPUNIT_ASSERT_EQUAL(status_ok, status(i, sound));
        }
        system_->gateway(0).signal(SIGKILL);
        system_->gateway(0).wait(2s);
        system_->restart_gateway(0);
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(0); }, 4s));
        // Peers and the store tell a gateway that starts.
        std::this_thread::sleep_for(1000ms);
        CPPUNIT_ASSERT_EQUAL(status_unavailable, status(0, deadly));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, crashed_engines());
    }

    // Guards against a call that comes again with new ids and crashes one
    // replica after the other.
    void call_that_crashes_replicas_is_refused_everywhere() {
        check_call_that_crashes("/book/dead", "/book/1");
        check_call_that_crashes("/read/dead", "/read/1");
    }

    // Guards against a refusal of sound calls because a faulty replica, which
    // goes on running, lost their answers.
    void replica_that_breaks_answers_off_blames_no_call() {
        for (int i = 0; i < 4; ++i) {
            set_on_all_replicas(R"({"lose_next":1})");
            system_->call(i % 2, "/book/same", next_id());
        }
        set_on_all_replicas(R"({"lose_next":0})");
        CPPUNIT_ASSERT_EQUAL(status_ok,
                             system_->call(0, "/book/same", next_id()).status_);
    }

    // Guards against a connection attempt for every call of every gateway until
    // the registrations of ended replicas lapse.
    void replicas_that_have_ended_are_tried_rarely() {
        constexpr int calls = 40;
        // Within 2 s each of two replicas is due at 0, 250, 750 and 1750 ms, at
        // each of two gateways.
        constexpr std::size_t most_trials = 16;
        for (auto& replica : system_->replicas()) {
            if (replica.stage_.empty()) {
                replica.process_.signal(SIGKILL);
                replica.process_.wait(2s);
            }
        }
        for (int i = 0; i < calls; ++i) {
            CPPUNIT_ASSERT_EQUAL(
                status_unavailable,
                system_->call(i % 2, "/book/1", next_id()).status_);
            std::this_thread::sleep_for(40ms);
        }
        std::size_t trials = 0;
        for (std::size_t i = 0; i < 2; ++i) {
            const auto log = system_->gateway_log(i);
            const std::string line = "outcome=refused_not_sent";
            for (auto at = log.find(line); at != std::string::npos;
                 at = log.find(line, at + 1)) {
                ++trials;
            }
        }
        CPPUNIT_ASSERT_LESSEQUAL(most_trials, trials);
    }

    // Guards against required state that exists only in the processes.
    void all_gateways_recover_after_all_are_killed() {
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
