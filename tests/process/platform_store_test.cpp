// Runs gateways as processes before a store that comes back from an older copy
// or holds entries of another writer.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;

class platform_store_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(platform_store_test);
    CPPUNIT_TEST(configuration_is_in_force_after_the_store_was_restored);
    CPPUNIT_TEST(restored_store_does_not_bring_a_draining_replica_back);
    CPPUNIT_TEST(store_eras_that_cannot_be_true_change_nothing);
    CPPUNIT_TEST(odd_entries_name_no_replica_and_harm_nothing);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    std::string next_id() { return "request-" + std::to_string(++requests_); }

public:
    void setUp() override {
        system_.emplace(gateway_fleet_options{});
        CPPUNIT_ASSERT(system_->start());
    }

    void tearDown() override { end_checked(system_); }

    void control_store(const std::string& switches) {
        CPPUNIT_ASSERT(gateway_fleet::control(system_->store_port(), switches));
    }

    std::size_t lines_with(std::size_t gateway, const std::string& text) {
        const auto log = system_->gateway_log(gateway);
        std::size_t count = 0;
        for (auto at = log.find(text); at != std::string::npos;
             at = log.find(text, at + 1)) {
            ++count;
        }
        return count;
    }

    bool has_configuration(std::size_t gateway, int version) {
        return lines_with(gateway, "event=configuration version=" +
                                       std::to_string(version) + " ") > 0;
    }

    // Guards against a configuration that is dropped because the revisions of
    // a restored store are lower than before, and against listings without a
    // pause.
    void configuration_is_in_force_after_the_store_was_restored() {
        control_store(R"({"era":"4","checkpoint":true})");
        for (int i = 0; i < 12; ++i) {
            system_->put_configuration();
        }
        CPPUNIT_ASSERT(
            wait_for([this] { return has_configuration(1, 13); }, 2s));
        control_store(R"({"restore":true})");
        std::this_thread::sleep_for(1000ms);
        // The copy has version 1, which does not come into force again.
        system_->put_configuration();
        for (std::size_t i = 0; i < 2; ++i) {
            // The platform's bound.
            CPPUNIT_ASSERT(
                wait_for([this, i] { return has_configuration(i, 14); }, 2s));
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{1},
                lines_with(i, "event=configuration version=1 "));
            CPPUNIT_ASSERT_LESS(std::size_t{8},
                                lines_with(i, "event=store_listed"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 lines_with(i, "event=store_era era=5 "));
            CPPUNIT_ASSERT_EQUAL(
                status_ok, system_->call(i, "/book/1", next_id()).status_);
        }
    }

    // Guards against calls to a replica that leaves, because the copy shows it
    // as it was before.
    void restored_store_does_not_bring_a_draining_replica_back() {
        const auto& leaving = system_->replicas()[0];
        control_store(R"({"era":"1","checkpoint":true})");
        system_->register_replica(leaving, "draining");
        std::this_thread::sleep_for(1000ms);
        control_store(R"({"restore":true})");
        std::this_thread::sleep_for(1500ms);
        for (int i = 0; i < 8; ++i) {
            const auto answer = system_->call(i % 2, "/book/1", next_id());
            CPPUNIT_ASSERT_EQUAL(status_ok, answer.status_);
            CPPUNIT_ASSERT(!answer.body_.starts_with(leaving.id_ + " "));
        }
    }

    // Guards against a garbled era, or one far too high, that makes every later
    // answer of the store appear to be late.
    void store_eras_that_cannot_be_true_change_nothing() {
        control_store(R"({"era":"3"})");
        const auto heard = [this](const std::string& line) {
            return wait_for(
                [&] {
                    return lines_with(0, line) > 0 && lines_with(1, line) > 0;
                },
                3s);
        };
        CPPUNIT_ASSERT(heard("event=store_era era=3 "));
        int version = 1;
        for (const std::string era : {"x", "", "99999999", "-1"}) {
            control_store(R"({"era":")" + era + "\"}");
            system_->put_configuration();
            const auto line =
                "event=configuration version=" + std::to_string(++version) +
                " ";
            CPPUNIT_ASSERT(heard(line));
        }
        // One that goes back for good was a mistake before.
        control_store(R"({"era":"2"})");
        system_->put_configuration();
        CPPUNIT_ASSERT(heard("event=store_era_refuted era=2 "));
        CPPUNIT_ASSERT(heard("event=configuration version=6 "));
    }

    // Guards against gateways that end, or stop following the store, because
    // another writer left an entry among those of the replicas.
    void odd_entries_name_no_replica_and_harm_nothing() {
        const std::string rest =
            R"(,"service":"desk","zone":"north","state":"ready"})";
        const std::string nested(100'000, '[');
        std::string objects;
        for (int i = 0; i < 20'000; ++i) {
            objects += R"({"a":)";
        }
        const std::vector<std::string> texts{
            nested,
            objects,
            R"({"address":"127.0.0.1:65536")" + rest,
            R"({"address":"127.0.0.1:99999999999999999999")" + rest,
            R"({"address":"127.0.0.1:0")" + rest,
            R"({"address":"nowhere:80")" + rest,
            R"({"address":"127.0.0.1:1","slots":1e300)" + rest,
            R"({"address":"127.0.0.1:1","born":1e400)" + rest,
            R"({"address":"127.0.0.1:1","born":-1)" + rest,
            R"({"address":"127.0.0.1:1","slots":99999999999)" + rest,
            R"({"address":["127.0.0.1:1"])" + rest,
            std::string{"\xff\x00\x01", 3},
        };
        for (std::size_t i = 0; i < texts.size(); ++i) {
            system_->put_registration("odd-" + std::to_string(i), texts[i]);
        }
        system_->put_registration("odd\r\nX-Header: 1",
                                  R"({"address":"127.0.0.1:1")" + rest);
        std::this_thread::sleep_for(500ms);
        system_->put_configuration();
        for (std::size_t i = 0; i < 2; ++i) {
            CPPUNIT_ASSERT(
                wait_for([this, i] { return has_configuration(i, 2); }, 2s));
            CPPUNIT_ASSERT(!system_->gateway(i).wait(0ms).has_value());
            CPPUNIT_ASSERT_EQUAL(
                texts.size() + 1,
                lines_with(i, "event=registration_unreadable"));
            for (int call = 0; call < 10; ++call) {
                CPPUNIT_ASSERT_EQUAL(
                    status_ok, system_->call(i, "/book/1", next_id()).status_);
            }
        }
        // A gateway that starts lists them, too.
        system_->gateway(1).signal(SIGKILL);
        system_->gateway(1).wait(2s);
        system_->restart_gateway(1);
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(1); }, 4s));
        CPPUNIT_ASSERT_EQUAL(status_ok,
                             system_->call(1, "/book/1", next_id()).status_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_store_test);

} // namespace

} // namespace pimentoferry::process_tests
