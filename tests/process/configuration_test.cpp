// Runs gateways as processes and writes configurations as operators' tools may
// write them. Checks which requests run afterwards.

#include "tests/process/fleet.hpp"
#include "tests/process/gateway_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace pimentoferry::process_tests {

namespace {

using namespace std::chrono_literals;

constexpr unsigned status_ok = 200;
constexpr unsigned status_unauthorized = 401;
// The platform's bound for a change of the configuration.
constexpr auto apply_time = 3s;

class configuration_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(configuration_test);
    CPPUNIT_TEST(no_key_is_valid_after_the_last_account_is_removed);
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
    void tearDown() override { system_.reset(); }

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(configuration_test);

} // namespace

} // namespace pimentoferry::process_tests
