#include "standins/http_client.hpp"
#include "standins/standin.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::standins {
namespace {

using std::chrono::milliseconds;

class plain_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_service_test);
    CPPUNIT_TEST(records_each_execution);
    CPPUNIT_TEST(dropped_answer_still_runs);
    CPPUNIT_TEST(errors_and_delay);
    CPPUNIT_TEST_SUITE_END();

    running_standin service_{R"({"standin":"service"})"};

    http_answer book(const std::string& key) const {
        http_call call;
        call.method_ = "POST";
        call.target_ = "/bookings/visit";
        call.body_ = "field 7";
        call.headers_ = {{"Idempotency-Key", key}};
        return send_http(service_.port(), call);
    }

    std::int64_t count_of(const std::string& key) const {
        const auto body = http_get(service_.port(), "/executions").body_json();
        std::int64_t count = 0;
        for (const auto& item : array_of(body, "executions")) {
            if (text_or(item, "key", "") == key) {
                count += number_or(item, "count", 0);
            }
        }
        return count;
    }

    void control(const std::string& switches) const {
        http_post(service_.port(), "/control", switches);
    }

public:
    // Guards against a repeated execution that is not recorded.
    void records_each_execution() {
        const auto first = book("k1").body_json();
        const auto second = book("k1").body_json();
        CPPUNIT_ASSERT_EQUAL(std::string{"k1"}, text_or(first, "key", ""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, number_or(first, "execution", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                             number_or(second, "execution", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, count_of("k1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, count_of("k2"));
        const auto body = http_get(service_.port(), "/executions").body_json();
        const auto item = array_of(body, "executions").at(0);
        CPPUNIT_ASSERT_EQUAL(std::string{"POST"}, text_or(item, "method", ""));
        CPPUNIT_ASSERT_EQUAL(std::string{"/bookings/visit"},
                             text_or(item, "path", ""));
        CPPUNIT_ASSERT_EQUAL(std::string{"field 7"}, text_or(item, "body", ""));
    }

    void dropped_answer_still_runs() {
        control(R"({"drop_next":1})");
        CPPUNIT_ASSERT_EQUAL(0U, book("k1").status_);
        CPPUNIT_ASSERT_EQUAL(200U, book("k2").status_);
        control(R"({"drop_answers":true})");
        CPPUNIT_ASSERT_EQUAL(0U, book("k3").status_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, count_of("k1"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, count_of("k3"));
    }

    void errors_and_delay() {
        control(R"({"error_status":503,"error_runs":false,"delay_ms":60})");
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(503U, book("k1").status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                       milliseconds{60});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, count_of("k1"));
        control(R"({"error_status":0,"delay_ms":0})");
        CPPUNIT_ASSERT_EQUAL(200U, book("k1").status_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_service_test);

} // namespace
} // namespace pimentoferry::standins
