// Runs gateways as processes with client accounts in the configuration. Checks
// who is served, and what replicas are told.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;
using standins::http_stream;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_over_quota = 429;
// The platform's bound for a change of the configuration.
constexpr auto apply_time = 3s;

class account_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(account_test);
    CPPUNIT_TEST(replicas_are_told_the_account_and_no_key);
    CPPUNIT_TEST(keys_are_in_no_log);
    CPPUNIT_TEST(a_key_taken_away_ends_with_its_running_streams);
    CPPUNIT_TEST(a_gateway_without_the_store_learns_of_a_key);
    CPPUNIT_TEST(a_quota_holds_over_all_gateways);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

    unsigned call(std::size_t gateway,
                  const std::string& key,
                  const std::string& path = "/read/1") {
        return system_->call(gateway, path, next_id(), 3000ms, key).status_;
    }

    /// Whether all gateways answer a request with this key with `status`.
    bool all_answer(const std::string& key, unsigned status) {
        for (std::size_t i = 0; i < system_->gateway_count(); ++i) {
            if (call(i, key) != status) {
                return false;
            }
        }
        return true;
    }

    http_stream open_stream(std::size_t gateway, const std::string& key) {
        const auto id = next_id();
        return {system_->ports(gateway).traffic_, "/chat/1", "",
                caller_fields("/chat/1", id, 10'000ms, key), 12'000ms};
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against requests that run without a valid key, against an account
    // that a caller chooses, and against keys that upstreams learn.
    void replicas_are_told_the_account_and_no_key() {
        system_.emplace(gateway_fleet_options{
            .accounts_ = {{"club", {"key-one", "key-two"}}}});
        CPPUNIT_ASSERT(system_->start());
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(0, ""));
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(1, "KEY-ONE"));
        CPPUNIT_ASSERT(system_->runs().empty());
        const std::pair<std::string, std::string> club{"club", "none"};
        for (const auto* key : {"key-one", "key-two"}) {
            CPPUNIT_ASSERT_EQUAL(status_ok, call(1, key));
            const auto told =
                system_->accounts_told("request-" + std::to_string(requests_));
            CPPUNIT_ASSERT(!told.empty() && told.front() == club);
        }
        auto stream = open_stream(0, "key-one");
        CPPUNIT_ASSERT_EQUAL(status_ok, stream.status());
        while (stream.next_event()) {
        }
        const auto told =
            system_->accounts_told("request-" + std::to_string(requests_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, told.size());
        CPPUNIT_ASSERT(told.front() == club && told.back() == club);
    }

    void keys_are_in_no_log() {
        system_.emplace(gateway_fleet_options{
            .accounts_ = {{"club", {"key-one"}}, {"rival", {"key-one"}}}});
        CPPUNIT_ASSERT(system_->start());
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(0, "key-one"));
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(0, "key-unknown"));
        const auto log = system_->gateway_log(0);
        CPPUNIT_ASSERT(log.find("event=account_key_shared") !=
                       std::string::npos);
        CPPUNIT_ASSERT(log.find("key-one") == std::string::npos);
        CPPUNIT_ASSERT(log.find("key-unknown") == std::string::npos);
    }

    // Guards against a running answer that is cut off because its key was
    // taken away, and against a key that comes back into force.
    void a_key_taken_away_ends_with_its_running_streams() {
        system_.emplace(gateway_fleet_options{
            .decode_engines_ = 1,
            .accounts_ = {{"club", {"key-one"}}, {"other", {"key-two"}}}});
        CPPUNIT_ASSERT(system_->start());
        for (auto& replica : system_->replicas()) {
            if (replica.stage_ == "decode") {
                CPPUNIT_ASSERT(gateway_fleet::control(
                    replica.port_, R"({"events":12,"event_ms":250})"));
            }
        }
        auto running = open_stream(0, "key-one");
        CPPUNIT_ASSERT_EQUAL(status_ok, running.status());
        CPPUNIT_ASSERT(running.next_event().has_value());
        system_->put_accounts(
            {{"club", {"key-three"}}, {"other", {"key-two"}}});
        CPPUNIT_ASSERT(wait_for(
            [this] { return all_answer("key-one", status_unauthorized); },
            apply_time));
        CPPUNIT_ASSERT(all_answer("key-three", status_ok));
        CPPUNIT_ASSERT(all_answer("key-two", status_ok));
        std::size_t events = 1;
        while (running.next_event()) {
            ++events;
        }
        CPPUNIT_ASSERT(running.ended());
        CPPUNIT_ASSERT(events >= 12);
        // Never in force again.
        CPPUNIT_ASSERT(all_answer("key-one", status_unauthorized));
    }

    // Guards against a gateway that serves a key which was taken away while
    // the store does not answer it.
    void a_gateway_without_the_store_learns_of_a_key() {
        system_.emplace(gateway_fleet_options{
            .gateways_ = 3, .accounts_ = {{"club", {"key-one"}}}});
        CPPUNIT_ASSERT(system_->start_standins());
        constexpr std::uint16_t port_without_listener = 9;
        system_->ports(1).store_ = port_without_listener;
        CPPUNIT_ASSERT(system_->start_gateways());
        CPPUNIT_ASSERT_EQUAL(status_ok, call(1, "key-one"));
        system_->put_accounts({{"club", {"key-two"}}});
        CPPUNIT_ASSERT(wait_for(
            [this] {
                return all_answer("key-one", status_unauthorized) &&
                       all_answer("key-two", status_ok);
            },
            apply_time));
    }

    // Guards against a quota that each gateway grants by itself.
    void a_quota_holds_over_all_gateways() {
        constexpr double rate = 10;
        system_.emplace(gateway_fleet_options{
            .gateways_ = 3,
            .accounts_ = {{"club", {"key-one"}, rate, rate},
                          {"free", {"key-two"}}}});
        CPPUNIT_ASSERT(system_->start());
        // The owner starts with a part of the quota; the rest accrues.
        std::this_thread::sleep_for(1500ms);
        const auto began = std::chrono::steady_clock::now();
        double served = 0;
        std::size_t refused = 0;
        for (std::size_t i = 0; i < 120; ++i) {
            const auto answer =
                system_->call(i % 3, "/read/1", next_id(), 3000ms, "key-one");
            served += answer.status_ == status_ok ? 1 : 0;
            if (answer.status_ == status_over_quota) {
                ++refused;
                CPPUNIT_ASSERT(answer.headers_.contains("retry-after"));
            }
        }
        const std::chrono::duration<double> took =
            std::chrono::steady_clock::now() - began;
        CPPUNIT_ASSERT(refused > 0);
        // One request a gateway may be admitted before it is counted.
        CPPUNIT_ASSERT(served <= rate * took.count() + rate + 3);
        CPPUNIT_ASSERT(served >= rate * took.count());
        CPPUNIT_ASSERT(all_answer("key-two", status_ok));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(account_test);

} // namespace

} // namespace pimentoferry::process_tests
