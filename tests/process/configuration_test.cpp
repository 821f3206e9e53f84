// Runs gateways as processes and writes configurations as operators' tools may
// write them. Checks which requests run afterwards.

#include "tests/process/checked_end.hpp"
#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <optional>
#include <string>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;
// The platform's bound for a change of the configuration.
constexpr auto apply_time = 3s;

class configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(no_key_is_valid_after_the_last_account_is_removed);
    CPPUNIT_TEST(an_account_with_an_unusual_name_keeps_no_removed_key);
    CPPUNIT_TEST(an_account_that_cannot_be_read_concerns_no_other);
    CPPUNIT_TEST(a_split_by_fractions_keeps_no_removed_route);
    CPPUNIT_TEST(a_route_that_cannot_be_read_is_refused_and_no_other);
    CPPUNIT_TEST_SUITE_END();

    // Optional because CppUnit constructs all fixtures before the first test.
    std::optional<gateway_fleet> system_;
    std::size_t requests_{0};

    unsigned call(std::size_t gateway,
                  const std::string& key,
                  const std::string& path = "/read/1") {
        const auto id = "request-" + std::to_string(++requests_);
        return system_->call(gateway, path, id, 3000ms, key).status_;
    }

    /// Whether all gateways answer such a request with `status` in time.
    bool all_come_to_answer(const std::string& key,
                            unsigned status,
                            const std::string& path = "/read/1") {
        return wait_for(
            [&] {
                bool all = true;
                for (std::size_t i = 0; i < system_->gateway_count(); ++i) {
                    all = all && call(i, key, path) == status;
                }
                return all;
            },
            apply_time);
    }

public:
    void tearDown() override { end_checked(system_); }

    // Guards against requests that run without a valid key after a version
    // with an empty list of accounts.
    void no_key_is_valid_after_the_last_account_is_removed() {
        system_.emplace(
            gateway_fleet_options{.accounts_ = {{"club", {"key-one"}}}});
        CPPUNIT_ASSERT(system_->start());
        CPPUNIT_ASSERT(all_come_to_answer("key-one", status_ok));
        system_->put_configuration_with({{"tenants", "[]"}});
        CPPUNIT_ASSERT(all_come_to_answer("key-one", status_unauthorized));
        const auto runs = system_->runs().size();
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(0, "key-unknown"));
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(1, ""));
        CPPUNIT_ASSERT_EQUAL(runs, system_->runs().size());
    }

    // Guards against a version that is not taken because of the name of an
    // account, so that a removed key stays valid, also after a restart.
    void an_account_with_an_unusual_name_keeps_no_removed_key() {
        const std::string name = "Club Quetzal, S.A.";
        system_.emplace(
            gateway_fleet_options{.accounts_ = {{"club", {"key-one"}}}});
        CPPUNIT_ASSERT(system_->start());
        system_->put_accounts({{name, {"key-two"}}});
        CPPUNIT_ASSERT(all_come_to_answer("key-one", status_unauthorized));
        CPPUNIT_ASSERT(all_come_to_answer("key-two", status_ok));
        const auto told =
            system_->accounts_told("request-" + std::to_string(requests_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, told.size());
        CPPUNIT_ASSERT_EQUAL(name, told.front().first);
        system_->gateway(0).signal(SIGKILL);
        system_->gateway(0).wait(2s);
        system_->restart_gateway(0);
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(0); }, 10s));
        CPPUNIT_ASSERT_EQUAL(status_unauthorized, call(0, "key-one"));
    }

    // Guards against an account that stops the version for the others, and
    // against requests of such an account that run without its quota.
    void an_account_that_cannot_be_read_concerns_no_other() {
        system_.emplace(gateway_fleet_options{
            .accounts_ = {{"club", {"key-one"}}, {"rival", {"key-two"}}}});
        CPPUNIT_ASSERT(system_->start());
        system_->put_configuration_with(
            {{"tenants",
              R"([{"name":"club","api_keys":["key-three"]},{"name":"rival",
                   "api_keys":["key-two"],"requests_per_s":"5"}])"}});
        CPPUNIT_ASSERT(all_come_to_answer("key-one", status_unauthorized));
        CPPUNIT_ASSERT(all_come_to_answer("key-three", status_ok));
        CPPUNIT_ASSERT(all_come_to_answer("key-two", status_unavailable));
        const auto log = system_->gateway_log(0);
        CPPUNIT_ASSERT(log.find("event=configuration_part_unreadable") !=
                       std::string::npos);
        CPPUNIT_ASSERT(log.find("object=\"account rival\" "
                                "field=requests_per_s") != std::string::npos);
    }

    /// Routes with the host and the services of the fleet's configuration.
    static std::string routes(const std::string& services_of_book) {
        const auto route = [](const std::string& name, const std::string& kind,
                              const std::string& services) {
            return R"({"host":"silage.example","max_attempts":2,
                       "timeout_ms":4000,"name":")" +
                   name + R"(","path_prefix":"/)" + name + R"(/","kind":")" +
                   kind + "\"," + services + "}";
        };
        return "[" + route("book", "unsafe", services_of_book) + "," +
               route("look", "safe", R"("service":"desk")") + "]";
    }

    // Guards against a version that is not taken because of a weight, so that
    // a removed route goes on, and a restarted gateway never becomes ready.
    void a_split_by_fractions_keeps_no_removed_route() {
        system_.emplace(gateway_fleet_options{});
        CPPUNIT_ASSERT(system_->start());
        CPPUNIT_ASSERT(all_come_to_answer("", status_ok));
        system_->put_configuration_with({{"routes", routes(R"("traffic_split":[
                {"service":"desk","weight":99.5},
                {"service":"desk","weight":0.5}])")}});
        CPPUNIT_ASSERT(all_come_to_answer("", status_not_found));
        CPPUNIT_ASSERT(all_come_to_answer("", status_ok, "/book/1"));
        system_->gateway(0).signal(SIGKILL);
        system_->gateway(0).wait(2s);
        system_->restart_gateway(0);
        CPPUNIT_ASSERT(wait_for([this] { return system_->is_ready(0); }, 10s));
        CPPUNIT_ASSERT_EQUAL(status_not_found, call(0, ""));
    }

    // Guards against one route that stops a whole version, and against calls
    // of that route that run or are told that it does not exist.
    void a_route_that_cannot_be_read_is_refused_and_no_other() {
        system_.emplace(gateway_fleet_options{});
        CPPUNIT_ASSERT(system_->start());
        system_->put_configuration_with(
            {{"routes", routes(R"("traffic_split":"desk")")}});
        CPPUNIT_ASSERT(all_come_to_answer("", status_ok, "/look/1"));
        const auto runs = system_->runs().size();
        CPPUNIT_ASSERT(all_come_to_answer("", status_unavailable, "/book/1"));
        CPPUNIT_ASSERT(all_come_to_answer("", status_not_found));
        CPPUNIT_ASSERT_EQUAL(runs, system_->runs().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace

} // namespace pimentoferry::process_tests
