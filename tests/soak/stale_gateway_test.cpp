// Brings engines of another software version into service while gateways are
// out of step: stopped, cut off from the store, or left without peers. Streams
// that began at these engines are then taken up.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"
#include "tests/soak/loopback_proxy.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::soak {

namespace {

using namespace std::chrono_literals;
using process_tests::gateway_fleet;
using process_tests::platform_replica_process;
using standins::http_stream;

class stale_gateway_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stale_gateway_test);
    CPPUNIT_TEST(a_gateway_out_of_step_does_not_guess_the_version);
    CPPUNIT_TEST(a_gateway_without_peers_does_not_assume_the_version);
    CPPUNIT_TEST(gateways_without_the_store_do_not_confirm_the_version);
    CPPUNIT_TEST(a_version_begins_no_stream_before_it_is_recorded);
    CPPUNIT_TEST(a_new_gateway_does_not_trust_the_record_of_a_restored_store);
    CPPUNIT_TEST(a_version_that_came_back_is_not_removed_from_the_record);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    boost::asio::io_context io_{1};
    std::optional<boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>>
        keep_running_;
    std::vector<std::unique_ptr<loopback_proxy>> store_links_;
    std::optional<std::jthread> loop_;
    std::vector<http_stream> open_streams_;

    void start(std::size_t gateways) {
        system_.emplace(process_tests::gateway_fleet_options{
            .gateways_ = gateways, .software_versions_ = {"v1"}});
        CPPUNIT_ASSERT(system_->start_standins());
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            store_links_.push_back(
                std::make_unique<loopback_proxy>(io_, system_->store_port()));
            system_->ports(g).store_ = store_links_.back()->port();
        }
        keep_running_.emplace(boost::asio::make_work_guard(io_));
        loop_.emplace([this] { io_.run(); });
        CPPUNIT_ASSERT(system_->start_gateways());
    }

    /// Whether the gateway places streams for the others.
    bool is_owner(std::size_t gateway) const {
        const auto log = system_->gateway_log(gateway);
        const auto last = log.rfind("event=stream_owner service=chat");
        return last != std::string::npos &&
               log.find("self=yes", last) < log.find('\n', last);
    }

    std::size_t find_gateway(bool owner) const {
        std::size_t found = 0;
        while (is_owner(found) != owner) {
            ++found;
        }
        return found;
    }

    platform_replica_process& remaining_engine() {
        return system_->replicas().at(3);
    }

    /// Replaces one of two decode engines by one of `v2`. The other one is
    /// full, so that streams begin at the successor.
    void replace_by_other_version() {
        const auto& replaced = system_->replicas().at(4);
        CPPUNIT_ASSERT(remaining_engine().stage_ == "decode" &&
                       replaced.stage_ == "decode");
        set_slots_of_remaining_engine(0);
        system_->withdraw_replica(replaced.id_);
        CPPUNIT_ASSERT(
            gateway_fleet::control(replaced.port_, R"({"id":"successor"})"));
        platform_replica_process successor;
        successor.id_ = "successor";
        successor.stage_ = "decode";
        successor.software_version_ = "v2";
        successor.registered_port_ = replaced.port_;
        system_->register_replica(successor);
    }

    /// Lets the engine that is registered as `before` serve under another id
    /// and version.
    void register_as(const platform_replica_process& engine,
                     const std::string& before,
                     const std::string& id,
                     const std::string& version) {
        system_->withdraw_replica(before);
        CPPUNIT_ASSERT(
            gateway_fleet::control(engine.port_, R"({"id":")" + id + "\"}"));
        platform_replica_process successor;
        successor.id_ = id;
        successor.stage_ = engine.stage_;
        successor.software_version_ = version;
        successor.registered_port_ = engine.port_;
        system_->register_replica(successor);
    }

    void set_slots_of_remaining_engine(int slots) {
        CPPUNIT_ASSERT(gateway_fleet::control(remaining_engine().port_,
                                              R"({"slots":)" +
                                                  std::to_string(slots) + "}"));
    }

    void kill_gateway(std::size_t gateway) {
        system_->gateway(gateway).signal(SIGKILL);
        system_->gateway(gateway).wait(2000ms);
    }

    void signal_all_but(std::size_t gateway, int number) {
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            if (g != gateway) {
                system_->gateway(g).signal(number);
            }
        }
    }

    void kill_and_restart_all_gateways() {
        signal_all_but(system_->gateway_count(), SIGKILL);
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            system_->gateway(g).wait(2000ms);
            system_->restart_gateway(g);
        }
    }

    /// The id of a stream that began at the gateway; empty if none did.
    std::string begin_stream(std::size_t gateway, int tries) {
        // The owner of the streams may not have heard of the successor yet.
        for (int i = 0; i < tries; ++i) {
            std::string id = "began-" + std::to_string(i);
            auto stream = open(gateway, id, "");
            if (stream.next_event()) {
                open_streams_.push_back(std::move(stream));
                return id;
            }
            std::this_thread::sleep_for(50ms);
        }
        return "";
    }

    bool ran_at_remaining_engine(const std::string& id) {
        const auto arrivals = system_->arrivals();
        return std::ranges::any_of(
            arrivals, [&](const process_tests::replica_arrival& arrival) {
                return arrival.request_ == id && arrival.kind_ == "run" &&
                       arrival.replica_ == remaining_engine().id_;
            });
    }

    http_stream open(std::size_t gateway,
                     const std::string& id,
                     const std::string& resumes) {
        auto fields = process_tests::caller_fields("/talk/1", id, 8000ms);
        if (!resumes.empty()) {
            fields.emplace_back("Resumes", resumes);
            fields.emplace_back("Last-Event-Id", "1");
        }
        return {system_->ports(gateway).traffic_, "/talk/1", "", fields};
    }

public:
    void tearDown() override {
        open_streams_.clear();
        process_tests::end_checked(system_);
        keep_running_.reset();
        io_.stop();
        loop_.reset();
        store_links_.clear();
        io_.restart();
    }

    // Guards against a stream that goes on at another version, because a
    // gateway that stood still takes its last view for a recent one.
    void a_gateway_out_of_step_does_not_guess_the_version() {
        start(6); // Few of the gateways keep the streams of the service.
        const auto stale = find_gateway(false);
        const auto sound = (stale + 1) % system_->gateway_count();
        store_links_.at(stale)->set(link_fault::silent);
        // Past the time for which an answer of the store counts.
        std::this_thread::sleep_for(4000ms);
        system_->gateway(stale).signal(SIGSTOP);
        replace_by_other_version();
        std::this_thread::sleep_for(300ms);
        const auto began = begin_stream(sound, 5);
        CPPUNIT_ASSERT(!began.empty());
        set_slots_of_remaining_engine(64);
        // Opening a stream waits for the head of its answer.
        const std::jthread resumes{[this, stale] {
            std::this_thread::sleep_for(50ms);
            system_->gateway(stale).signal(SIGCONT);
        }};
        auto taken_up = open(stale, "taken-up", began);
        (void)taken_up.next_event();
        CPPUNIT_ASSERT(!ran_at_remaining_engine("taken-up"));
    }

    // Guards against a stream that goes on at another version, because a
    // gateway that sees no other one takes its own view for complete.
    void a_gateway_without_peers_does_not_assume_the_version() {
        start(6);
        const auto stale = find_gateway(false);
        const auto sound = (stale + 1) % system_->gateway_count();
        store_links_.at(stale)->set(link_fault::silent);
        system_->gateway(stale).signal(SIGSTOP);
        replace_by_other_version();
        const auto began = begin_stream(sound, 40);
        CPPUNIT_ASSERT(!began.empty());
        signal_all_but(stale, SIGKILL);
        set_slots_of_remaining_engine(64);
        system_->gateway(stale).signal(SIGCONT);
        // The others are members until they are found to be dead.
        for (int i = 0; i < 20; ++i) {
            const auto id = "taken-up-" + std::to_string(i);
            auto taken_up = open(stale, id, began);
            (void)taken_up.next_event();
            CPPUNIT_ASSERT(!ran_at_remaining_engine(id));
            std::this_thread::sleep_for(500ms);
        }
    }

    // Guards against a stream that goes on at another version, because gateways
    // confirm to each other what the store last said before they lost it.
    void gateways_without_the_store_do_not_confirm_the_version() {
        start(3);
        const auto sound = find_gateway(true);
        const auto stale = (sound + 1) % system_->gateway_count();
        for (std::size_t g = 0; g < system_->gateway_count(); ++g) {
            if (g != sound) {
                store_links_.at(g)->set(link_fault::silent);
            }
        }
        signal_all_but(sound, SIGSTOP);
        replace_by_other_version();
        const auto began = begin_stream(sound, 10);
        CPPUNIT_ASSERT(!began.empty());
        kill_gateway(sound);
        set_slots_of_remaining_engine(64);
        signal_all_but(sound, SIGCONT);
        auto taken_up = open(stale, "taken-up", began);
        (void)taken_up.next_event();
        CPPUNIT_ASSERT(!ran_at_remaining_engine("taken-up"));
    }

    // Guards against a stream that goes on at another version, because all
    // gateways that knew its version ended before they had recorded it.
    void a_version_begins_no_stream_before_it_is_recorded() {
        start(3);
        CPPUNIT_ASSERT(gateway_fleet::control(
            system_->store_port(),
            R"({"declined_prefix":"pimentoferry/software-versions"})"));
        replace_by_other_version();
        std::this_thread::sleep_for(1000ms);
        const auto began = begin_stream(0, 2);
        if (!began.empty()) {
            system_->withdraw_replica("successor");
            set_slots_of_remaining_engine(64);
            kill_and_restart_all_gateways();
            std::this_thread::sleep_for(2000ms);
            auto taken_up = open(0, "taken-up", began);
            (void)taken_up.next_event();
            CPPUNIT_ASSERT(!ran_at_remaining_engine("taken-up"));
        }
        CPPUNIT_ASSERT(began.empty());
        CPPUNIT_ASSERT(gateway_fleet::control(system_->store_port(),
                                              R"({"declined_prefix":""})"));
        CPPUNIT_ASSERT(!begin_stream(0, 40).empty());
    }

    // Guards against a stream that goes on at another version, because a
    // gateway that starts after the store's return from an older copy takes the
    // copy's record for complete.
    void a_new_gateway_does_not_trust_the_record_of_a_restored_store() {
        start(3);
        std::this_thread::sleep_for(3000ms);
        CPPUNIT_ASSERT(gateway_fleet::control(
            system_->store_port(), R"({"era":"1","checkpoint":true})"));
        std::this_thread::sleep_for(2000ms);
        replace_by_other_version();
        const auto began = begin_stream(0, 40);
        CPPUNIT_ASSERT(!began.empty());
        // What the replicas wrote is written again within two seconds.
        CPPUNIT_ASSERT(gateway_fleet::control(system_->store_port(),
                                              R"({"restore":true})"));
        set_slots_of_remaining_engine(64);
        kill_and_restart_all_gateways();
        for (int i = 0; i < 15; ++i) {
            std::this_thread::sleep_for(100ms);
            const auto id = "taken-up-" + std::to_string(i);
            auto taken_up = open(0, id, began);
            (void)taken_up.next_event();
            CPPUNIT_ASSERT(!ran_at_remaining_engine(id));
        }
    }

    // Guards against a stream that goes on at another version, because the only
    // gateway that is left removes a version from the record which came back
    // and left again while it stood still.
    void a_version_that_came_back_is_not_removed_from_the_record() {
        start(3);
        auto& engines = system_->replicas();
        for (std::size_t i = 2; i < engines.size(); ++i) {
            register_as(engines.at(i), engines.at(i).id_,
                        "second-" + std::to_string(i), "v2");
        }
        // Until no gateway takes v1 for possible any more.
        std::this_thread::sleep_for(34s);
        const auto stale = find_gateway(false);
        const auto sound = (stale + 1) % system_->gateway_count();
        store_links_.at(stale)->set(link_fault::silent);
        system_->gateway(stale).signal(SIGSTOP);
        set_slots_of_remaining_engine(0);
        register_as(engines.at(4), "second-4", "returned", "v1");
        const auto began = begin_stream(sound, 60);
        CPPUNIT_ASSERT(!began.empty());
        system_->withdraw_replica("returned");
        signal_all_but(stale, SIGKILL);
        set_slots_of_remaining_engine(64);
        store_links_.at(stale)->set(link_fault::none);
        system_->gateway(stale).signal(SIGCONT);
        for (int i = 0; i < 20; ++i) {
            const auto id = "taken-up-" + std::to_string(i);
            auto taken_up = open(stale, id, began);
            (void)taken_up.next_event();
            CPPUNIT_ASSERT(!ran_at_remaining_engine(id));
            std::this_thread::sleep_for(500ms);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stale_gateway_test);

} // namespace

} // namespace pimentoferry::soak
