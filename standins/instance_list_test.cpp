#include "standins/http_client.hpp"
#include "standins/standin.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::standins {
namespace {

using std::chrono::milliseconds;

class instance_list_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(instance_list_test);
    CPPUNIT_TEST(list_lags);
    CPPUNIT_TEST(weights_are_rate_limited);
    CPPUNIT_TEST(bad_descriptions_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    static std::size_t shown(const running_standin& list) {
        const auto body = http_get(list.port(), "/v1/instances").body_json();
        return array_of(body, "instances").size();
    }

public:
    void list_lags() {
        const running_standin list{R"({"standin":"instances","lag_ms":150,
            "instances":[{"name":"a","address":"127.0.0.1:1",
                          "state":"live"}]})"};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shown(list));
        http_post(list.port(), "/control", R"({"instances":[]})");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shown(list));
        std::this_thread::sleep_for(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, shown(list));
    }

    // Guards against a download that exceeds the shared bandwidth.
    void weights_are_rate_limited() {
        const running_standin weights{R"({"standin":"weights",
            "weight_bytes":200000,"bytes_per_s":1000000})"};
        const auto start = std::chrono::steady_clock::now();
        const auto answer = http_get(weights.port(), "/v1/weights/m/1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{200'000}, answer.body_.size());
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                       milliseconds{190});
    }

    void bad_descriptions_are_rejected() {
        const running_standin role{R"({"standin":"oven"})"};
        const running_standin address{R"({"standin":"store","listen":"x"})"};
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, role.port());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{0}, address.port());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_list_test);

} // namespace
} // namespace pimentoferry::standins
