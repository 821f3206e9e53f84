// Runs gateways as processes before engines of two software versions, breaks
// streams off and takes them up again. Checks that a stream goes on only at the
// version that began it.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

class software_version_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(software_version_test);
    CPPUNIT_TEST(a_broken_stream_goes_on_at_its_version);
    CPPUNIT_TEST(a_stream_of_a_killed_gateway_goes_on_at_its_version);
    CPPUNIT_TEST(
        a_stream_goes_on_at_its_version_after_all_gateways_were_killed);
    CPPUNIT_TEST(a_stream_of_a_version_that_left_is_refused);
    CPPUNIT_TEST(a_stream_of_the_only_version_goes_on_without_its_request);
    CPPUNIT_TEST(a_stream_that_nobody_knows_is_refused);
    CPPUNIT_TEST(a_gateway_that_was_stopped_does_not_guess_the_version);
    CPPUNIT_TEST(streams_go_on_although_their_first_keeper_stands_still);
    CPPUNIT_TEST(a_keeper_writes_each_stream_once);
    CPPUNIT_TEST(a_stream_goes_on_at_once_after_its_keepers_were_killed);
    CPPUNIT_TEST(a_stream_of_a_split_route_goes_on_at_its_service);
    CPPUNIT_TEST(a_stream_whose_service_left_its_route_is_refused);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};
    std::vector<http_stream> open_;

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    /// Starts decode engines with these versions.
    void start(const std::vector<std::string>& versions,
               std::size_t gateways = 2,
               const std::vector<std::string>& services = {}) {
        system_.emplace(
            gateway_fleet_options{.gateways_ = gateways,
                                  .plain_replicas_ = 1,
                                  .decode_engines_ = versions.size(),
                                  .route_timeout_ = 20'000ms});
        CPPUNIT_ASSERT(system_->start_standins());
        auto version = versions.begin();
        auto service = services.begin();
        for (auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode" && service != services.end()) {
                replica.service_ = *service++;
            }
            replica.software_version_ =
                replica.stage_ == "decode" ? *version++ : versions.front();
        }
        CPPUNIT_ASSERT(system_->start_gateways());
        set_on_engines(R"({"event_ms":50,"events":80})");
        std::this_thread::sleep_for(1000ms); // The versions are recorded.
    }

    void set_on_engines(const std::string& switches) {
        for (const auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode") {
                CPPUNIT_ASSERT(gateway_fleet::control(replica.port_, switches));
            }
        }
    }

    http_stream begin(std::size_t gateway, const std::string& id) {
        return {system_->ports(gateway).traffic_, "/talk/1", "",
                caller_fields("/talk/1", id, 15'000ms)};
    }

    http_stream take_up(std::size_t gateway,
                        const std::string& id,
                        const std::string& began,
                        std::size_t events) {
        auto fields = caller_fields("/talk/1", id, 10'000ms);
        fields.emplace_back("Last-Event-Id", std::to_string(events));
        if (!began.empty()) {
            fields.emplace_back("Resumes", began);
        }
        return {system_->ports(gateway).traffic_, "/talk/1", "", fields};
    }

    /// The versions of the engines that ran the request, in order.
    std::vector<std::string> versions_of(const std::string& request) {
        std::vector<std::string> versions;
        for (const auto& arrival : system_->arrivals()) {
            if (arrival.request_ != request || arrival.kind_ != "run") {
                continue;
            }
            const auto replica =
                std::ranges::find(system_->replicas(), arrival.replica_,
                                  &platform_replica_process::id_);
            CPPUNIT_ASSERT(replica != system_->replicas().end());
            versions.push_back(replica->software_version_);
        }
        return versions;
    }

    /// The gateways whose logs have this text.
    std::vector<std::size_t> gateways_that_logged(const std::string& text) {
        std::vector<std::size_t> found;
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            if (system_->gateway_log(g).find(text) != std::string::npos) {
                found.push_back(g);
            }
        }
        return found;
    }

    struct keepers {
        std::size_t writer_{0}; ///< Writes streams to the store.
        std::optional<std::size_t> second_;
    };

    /// The gateways that keep the versions of streams, as their logs tell.
    keepers find_keepers() {
        open_.push_back(begin(0, next_id()));
        CPPUNIT_ASSERT(open_.back().next_event().has_value());
        const std::string written = "event=stream_origins_written";
        CPPUNIT_ASSERT(wait_for(
            [&] { return !gateways_that_logged(written).empty(); }, 3s));
        const auto writer = gateways_that_logged(written).front();
        // Whoever is asked for a stream that nobody began is a keeper.
        const auto other = (writer + 1) % system_->gateway_count();
        (void)take_up(other, next_id(), "nobody-began", 1).next_event();
        auto asked = gateways_that_logged("event=stream_origin_told");
        std::erase(asked, writer);
        CPPUNIT_ASSERT(asked.size() <= 1U);
        return {writer,
                asked.empty() ? std::nullopt : std::optional{asked.front()}};
    }

    /// Takes the stream up at the gateway, up to three times as the answers
    /// say; returns whether it went on.
    bool goes_on(std::size_t gateway, const std::string& began) {
        constexpr int tries = 3;
        for (int i = 0; i < tries; ++i) {
            const auto id = next_id();
            auto stream = take_up(gateway, id, began, 1);
            if (stream.next_event()) {
                CPPUNIT_ASSERT_EQUAL(versions_of(began).front(),
                                     versions_of(id).front());
                return true;
            }
            std::this_thread::sleep_for(500ms);
        }
        return false;
    }

    /// Writes a version in which the resumable route leads to these services;
    /// there are two services with engines.
    void route_to(const std::string& services) {
        const std::string engine =
            R"("engine":{"slots":64,"kv_tokens":100000,"stride":1}})";
        system_->put_configuration_with(
            {{"services", R"([{"name":"desk"},{"name":"chat",)" + engine +
                              R"(,{"name":"chat-2",)" + engine + "]"},
             {"routes", R"([{"name":"talk","host":"silage.example",
                "path_prefix":"/talk/","kind":"streaming","timeout_ms":20000,
                "target_latency_ms":900,"target_gap_ms":300,"max_attempts":2,
                "resumable":true,)" +
                            services + "}]"}});
        std::this_thread::sleep_for(2000ms); // Every gateway has it.
    }

    std::string service_of(const std::string& request) {
        const auto arrivals = system_->arrivals();
        const auto run = std::ranges::find_if(arrivals, [&](const auto& each) {
            return each.request_ == request && each.kind_ == "run";
        });
        CPPUNIT_ASSERT(run != arrivals.end());
        return std::ranges::find(system_->replicas(), run->replica_,
                                 &platform_replica_process::id_)
            ->service_;
    }

    /// Begins streams at the first gateway and waits until the others know
    /// them.
    std::vector<std::string> begin_streams(std::size_t count) {
        std::vector<std::string> began;
        for (std::size_t i = 0; i < count; ++i) {
            began.push_back(next_id());
            open_.push_back(begin(0, began.back()));
            CPPUNIT_ASSERT(open_.back().next_event().has_value());
        }
        std::this_thread::sleep_for(1500ms);
        return began;
    }

    void kill_gateway(std::size_t gateway) {
        system_->gateway(gateway).signal(SIGKILL);
        system_->gateway(gateway).wait(2000ms);
    }

    void restart_gateway(std::size_t gateway) {
        system_->restart_gateway(gateway);
        for (int i = 0; i < 100 && !system_->is_ready(gateway); ++i) {
            std::this_thread::sleep_for(20ms);
        }
        CPPUNIT_ASSERT(system_->is_ready(gateway));
    }

    /// Checks a take-up of a stream that `began` began and returns whether it
    /// went on.
    bool check_take_up(http_stream stream,
                       const std::string& id,
                       const std::string& began) {
        const bool goes_on = stream.next_event().has_value();
        const auto versions = versions_of(id);
        if (goes_on) {
            CPPUNIT_ASSERT_EQUAL(status_ok, stream.status());
            CPPUNIT_ASSERT_EQUAL(versions_of(began).front(), versions.front());
        } else {
            CPPUNIT_ASSERT_EQUAL(status_unavailable, stream.status());
            CPPUNIT_ASSERT(versions.empty());
        }
        return goes_on;
    }

public:
    void tearDown() override {
        open_.clear();
        end_checked(system_);
    }

    // Guards against an answer that is joined from two versions because its
    // engine broke off.
    void a_broken_stream_goes_on_at_its_version() {
        start({"v1", "v1", "v2", "v2"});
        set_on_engines(R"({"event_ms":2,"events":20})");
        std::size_t resumed = 0;
        for (int i = 0; i < 16; ++i) {
            set_on_engines(R"({"cut_next":1})");
            const auto id = next_id();
            auto stream = begin(0, id);
            (void)stream.rest();
            const auto versions = versions_of(id);
            CPPUNIT_ASSERT(!versions.empty());
            CPPUNIT_ASSERT_EQUAL(versions.size(),
                                 static_cast<std::size_t>(std::ranges::count(
                                     versions, versions.front())));
            resumed += versions.size() - 1;
        }
        CPPUNIT_ASSERT(resumed > 0);
    }

    // Guards against a take-up at another gateway that goes on at the other
    // version, and against one that is refused though its version is known.
    void a_stream_of_a_killed_gateway_goes_on_at_its_version() {
        start({"v1", "v2"});
        for (int i = 0; i < 6; ++i) {
            const auto began = next_id();
            auto stream = begin(0, began);
            CPPUNIT_ASSERT(stream.next_event().has_value());
            std::this_thread::sleep_for(200ms);
            kill_gateway(0);
            const auto id = next_id();
            CPPUNIT_ASSERT(check_take_up(take_up(1, id, began, 1), id, began));
            restart_gateway(0);
            std::this_thread::sleep_for(500ms);
        }
    }

    // Guards against text of two versions after the memory of all gateways was
    // lost.
    void a_stream_goes_on_at_its_version_after_all_gateways_were_killed() {
        start({"v1", "v2"});
        constexpr std::size_t streams = 8;
        std::vector<std::string> began;
        std::vector<http_stream> open;
        for (std::size_t i = 0; i < streams; ++i) {
            began.push_back(next_id());
            open.push_back(begin(i % 2, began.back()));
        }
        for (auto& stream : open) {
            CPPUNIT_ASSERT(stream.next_event().has_value());
        }
        std::this_thread::sleep_for(1500ms);
        kill_gateway(0);
        kill_gateway(1);
        restart_gateway(0);
        restart_gateway(1);
        std::size_t gone_on = 0;
        for (std::size_t i = 0; i < streams; ++i) {
            const auto id = next_id();
            gone_on += check_take_up(take_up((i + 1) % 2, id, began[i], 1), id,
                                     began[i])
                           ? 1
                           : 0;
        }
        CPPUNIT_ASSERT(gone_on >= streams / 2);
    }

    // Guards against the new version for a stream whose own one has just left,
    // after all gateways were killed.
    void a_stream_of_a_version_that_left_is_refused() {
        start({"v1"});
        const auto began = next_id();
        auto stream = begin(0, began);
        CPPUNIT_ASSERT(stream.next_event().has_value());
        auto& engine = system_->replicas().back();
        system_->withdraw_replica(engine.id_);
        platform_replica_process successor;
        successor.id_ = "successor";
        successor.stage_ = "decode";
        successor.software_version_ = "v2";
        successor.registered_port_ = engine.port_;
        CPPUNIT_ASSERT(
            gateway_fleet::control(engine.port_, R"({"id":"successor"})"));
        system_->register_replica(successor);
        std::this_thread::sleep_for(300ms);
        kill_gateway(0);
        kill_gateway(1);
        restart_gateway(0);
        restart_gateway(1);
        for (const auto& named : {began, std::string{}}) {
            const auto id = next_id();
            auto taken_up = take_up(1, id, named, 1);
            CPPUNIT_ASSERT(!taken_up.next_event().has_value());
            CPPUNIT_ASSERT_EQUAL(status_unavailable, taken_up.status());
        }
    }

    // Guards against take-ups that are refused although only one version has
    // served.
    void a_stream_of_the_only_version_goes_on_without_its_request() {
        start({"v1", "v1"});
        kill_gateway(0);
        kill_gateway(1);
        restart_gateway(0);
        restart_gateway(1);
        for (const std::string named : {"", "request-that-nobody-knows"}) {
            auto taken_up = take_up(0, next_id(), named, 1);
            CPPUNIT_ASSERT(taken_up.next_event().has_value());
            CPPUNIT_ASSERT_EQUAL(status_ok, taken_up.status());
        }
    }

    // Guards against a guess at the version of a stream.
    void a_stream_that_nobody_knows_is_refused() {
        start({"v1", "v2"});
        for (const std::string named : {"", "request-that-nobody-knows"}) {
            const auto id = next_id();
            auto taken_up = take_up(0, id, named, 1);
            CPPUNIT_ASSERT(!taken_up.next_event().has_value());
            CPPUNIT_ASSERT_EQUAL(status_unavailable, taken_up.status());
            CPPUNIT_ASSERT(versions_of(id).empty());
        }
    }

    // Guards against a gateway that was stopped while a version came into
    // service, and takes the only one that it knows for that of every stream.
    void a_gateway_that_was_stopped_does_not_guess_the_version() {
        start({"v1", "v1"});
        auto& stays = system_->replicas().at(2);
        auto& replaced = system_->replicas().at(3);
        CPPUNIT_ASSERT(stays.stage_ == "decode" && replaced.stage_ == "decode");
        system_->gateway(0).signal(SIGSTOP);
        system_->withdraw_replica(replaced.id_);
        CPPUNIT_ASSERT(
            gateway_fleet::control(replaced.port_, R"({"id":"successor"})"));
        platform_replica_process successor;
        successor.id_ = "successor";
        successor.stage_ = "decode";
        successor.software_version_ = "v2";
        successor.registered_port_ = replaced.port_;
        system_->register_replica(successor);
        // Full, so that the stream begins at the successor.
        CPPUNIT_ASSERT(gateway_fleet::control(stays.port_, R"({"slots":0})"));
        std::this_thread::sleep_for(500ms);
        const auto began = next_id();
        auto stream = begin(1, began);
        CPPUNIT_ASSERT(stream.next_event().has_value());
        CPPUNIT_ASSERT(gateway_fleet::control(stays.port_, R"({"slots":64})"));
        kill_gateway(1);
        const auto id = next_id();
        auto taken_up = take_up(0, id, began, 1);
        system_->gateway(0).signal(SIGCONT);
        (void)taken_up.next_event();
        const auto arrivals = system_->arrivals();
        CPPUNIT_ASSERT(
            std::ranges::none_of(arrivals, [&](const replica_arrival& arrival) {
                return arrival.request_ == id && arrival.kind_ == "run" &&
                       arrival.replica_ == stays.id_;
            }));
    }

    // Guards against streams that nobody is left to know, because the gateway
    // that should have written them to the store stood still.
    void streams_go_on_although_their_first_keeper_stands_still() {
        start({"v1", "v2"}, 5);
        const auto [writer, second] = find_keepers();
        std::vector<std::size_t> lost;
        if (second) {
            lost.push_back(*second);
        }
        std::size_t owner = 0;
        while (owner == writer || std::ranges::count(lost, owner) > 0) {
            ++owner;
        }
        lost.push_back(owner);
        std::size_t left = 0;
        while (left == writer || std::ranges::count(lost, left) > 0) {
            ++left;
        }
        system_->gateway(writer).signal(SIGSTOP);
        std::vector<std::string> began;
        std::vector<http_stream> open;
        const auto kill_at = std::chrono::steady_clock::now() + 1900ms;
        while (std::chrono::steady_clock::now() < kill_at) {
            began.push_back(next_id());
            open.push_back(begin(owner, began.back()));
            CPPUNIT_ASSERT(open.back().next_event().has_value());
            std::this_thread::sleep_for(80ms);
        }
        std::ranges::for_each(lost, [this](auto each) { kill_gateway(each); });
        const auto gone_on = std::ranges::count_if(
            began, [&](const auto& each) { return goes_on(left, each); });
        system_->gateway(writer).signal(SIGCONT);
        // The rule of the platform: half of them, as all new ones begin.
        CPPUNIT_ASSERT(2 * static_cast<std::size_t>(gone_on) >= began.size());
    }

    // Guards against a keeper that writes again, and over its own last write,
    // what its replica does not show yet.
    void a_keeper_writes_each_stream_once() {
        start({"v1", "v2"}, 12); // The keeper is rarely a watcher of the store.
        constexpr std::size_t streams = 30;
        for (std::size_t i = 0; i < streams; ++i) {
            open_.push_back(begin(0, next_id()));
            CPPUNIT_ASSERT(open_.back().next_event().has_value());
            std::this_thread::sleep_for(100ms);
        }
        std::this_thread::sleep_for(1500ms);
        std::size_t written = 0;
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            std::istringstream log{system_->gateway_log(g)};
            const std::string count = " streams=";
            for (std::string line; std::getline(log, line);) {
                const auto at = line.find(count);
                if (line.find("event=stream_origins_written") !=
                        std::string::npos &&
                    line.find("rank=0") != std::string::npos) {
                    written += std::stoul(line.substr(at + count.size()));
                }
            }
        }
        CPPUNIT_ASSERT_EQUAL(streams, written);
    }

    // Guards against a refusal of streams that the store has, but the copy of
    // the gateway that is asked has not yet.
    void a_stream_goes_on_at_once_after_its_keepers_were_killed() {
        start({"v1", "v2"}, 12);
        const auto [writer, second] = find_keepers();
        std::size_t owner = 0;
        while (owner == writer || owner == second) {
            ++owner;
        }
        std::vector<std::string> began;
        for (int i = 0; i < 4; ++i) {
            began.push_back(next_id());
            open_.push_back(begin(owner, began.back()));
            CPPUNIT_ASSERT(open_.back().next_event().has_value());
        }
        std::this_thread::sleep_for(650ms); // They are in the store.
        for (const auto each : {owner, writer, second.value_or(writer)}) {
            kill_gateway(each);
        }
        std::size_t gateway = owner;
        for (const auto& each : began) {
            do {
                gateway = (gateway + 1) % system_->gateway_count();
            } while (gateway == owner || gateway == writer ||
                     gateway == second);
            const auto id = next_id();
            CPPUNIT_ASSERT(
                check_take_up(take_up(gateway, id, each, 1), id, each));
        }
    }

    // Guards against a take-up at a service that is drawn anew, where the
    // stream is not known or goes on with another service's text.
    void a_stream_of_a_split_route_goes_on_at_its_service() {
        for (const std::string other_version : {"v1", "v2"}) {
            start({"v1", other_version, "v1", other_version}, 3,
                  {"chat", "chat", "chat-2", "chat-2"});
            route_to(R"("traffic_split":[{"service":"chat","weight":50},
                                         {"service":"chat-2","weight":50}])");
            const auto began = begin_streams(12);
            kill_gateway(0);
            for (std::size_t i = 0; i < began.size(); ++i) {
                const auto id = next_id();
                CPPUNIT_ASSERT(check_take_up(
                    take_up(1 + i % 2, id, began[i], 1), id, began[i]));
                CPPUNIT_ASSERT_EQUAL(service_of(began[i]), service_of(id));
            }
            tearDown();
        }
    }

    // Guards against a stream that goes on at the service to which its route
    // has moved.
    void a_stream_whose_service_left_its_route_is_refused() {
        start({"v1", "v1"}, 3, {"chat", "chat-2"});
        route_to(R"("service":"chat")");
        const auto began = begin_streams(4);
        route_to(R"("service":"chat-2")");
        kill_gateway(0);
        for (std::size_t i = 0; i < began.size(); ++i) {
            const auto id = next_id();
            CPPUNIT_ASSERT(!check_take_up(take_up(1 + i % 2, id, began[i], 1),
                                          id, began[i]));
        }
        const auto fresh = next_id();
        auto stream = begin(1, fresh);
        CPPUNIT_ASSERT(stream.next_event().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"chat-2"}, service_of(fresh));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(software_version_test);

} // namespace

} // namespace pimentoferry::process_tests
