// Stops a gateway that does not reach the store while engines of another
// software version come into service.

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
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    boost::asio::io_context io_{1};
    std::optional<boost::asio::executor_work_guard<
        boost::asio::io_context::executor_type>>
        keep_running_;
    std::vector<std::unique_ptr<loopback_proxy>> store_links_;
    std::optional<std::jthread> loop_;

    /// Few of the gateways keep the streams of the service.
    void start() {
        system_.emplace(process_tests::gateway_fleet_options{
            .gateways_ = 6, .software_versions_ = {"v1"}});
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

    /// A gateway that does not place streams for the others.
    std::size_t choose_gateway() {
        const auto owns = [this](std::size_t gateway) {
            const auto log = system_->gateway_log(gateway);
            const auto last = log.rfind("event=stream_owner service=chat");
            return last != std::string::npos &&
                   log.find("self=yes", last) < log.find('\n', last);
        };
        std::size_t chosen = 0;
        while (owns(chosen)) {
            ++chosen;
        }
        return chosen;
    }

    void replace_by_other_version(const platform_replica_process& replaced) {
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
        system_.reset();
        keep_running_.reset();
        io_.stop();
        loop_.reset();
        store_links_.clear();
        io_.restart();
    }

    // Guards against a stream that goes on at another version, because a
    // gateway that stood still takes its last view for a recent one.
    void a_gateway_out_of_step_does_not_guess_the_version() {
        start();
        const auto stale = choose_gateway();
        const auto sound = (stale + 1) % system_->gateway_count();
        store_links_.at(stale)->set(link_fault::silent);
        // Past the time for which an answer of the store counts.
        std::this_thread::sleep_for(4000ms);
        auto& stays = system_->replicas().at(3);
        auto& replaced = system_->replicas().at(4);
        CPPUNIT_ASSERT(stays.stage_ == "decode" && replaced.stage_ == "decode");
        system_->gateway(stale).signal(SIGSTOP);
        replace_by_other_version(replaced);
        // Full, so that the stream begins at the successor.
        CPPUNIT_ASSERT(gateway_fleet::control(stays.port_, R"({"slots":0})"));
        std::this_thread::sleep_for(300ms);
        // The owner of the streams may not have heard of the successor yet.
        std::optional<http_stream> stream;
        std::string began;
        for (int i = 0; i < 5 && !stream; ++i) {
            began = "began-" + std::to_string(i);
            stream.emplace(open(sound, began, ""));
            if (!stream->next_event()) {
                stream.reset();
            }
        }
        CPPUNIT_ASSERT(stream);
        CPPUNIT_ASSERT(gateway_fleet::control(stays.port_, R"({"slots":64})"));
        const std::string id = "taken-up";
        // Opening a stream waits for the head of its answer.
        const std::jthread resumes{[this, stale] {
            std::this_thread::sleep_for(50ms);
            system_->gateway(stale).signal(SIGCONT);
        }};
        auto taken_up = open(stale, id, began);
        (void)taken_up.next_event();
        const auto arrivals = system_->arrivals();
        CPPUNIT_ASSERT(std::ranges::none_of(
            arrivals, [&](const process_tests::replica_arrival& arrival) {
                return arrival.request_ == id && arrival.kind_ == "run" &&
                       arrival.replica_ == stays.id_;
            }));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stale_gateway_test);

} // namespace

} // namespace pimentoferry::soak
