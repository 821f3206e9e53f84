#include "standins/http_client.hpp"
#include "standins/standin.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace pimentoferry::standins {
namespace {

using std::chrono::milliseconds;

class store_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_server_test);
    CPPUNIT_TEST(compare_and_swap_admits_one_of_two);
    CPPUNIT_TEST(delete_needs_the_revision);
    CPPUNIT_TEST(lists_by_prefix);
    CPPUNIT_TEST(expired_lease_takes_its_keys);
    CPPUNIT_TEST(renewed_lease_keeps_its_keys);
    CPPUNIT_TEST(watch_answers_when_a_key_changes);
    CPPUNIT_TEST(watch_reports_a_deletion);
    CPPUNIT_TEST(watch_ends_after_its_wait);
    CPPUNIT_TEST(value_limit);
    CPPUNIT_TEST(down_and_up_again);
    CPPUNIT_TEST(lost_answer_takes_effect);
    CPPUNIT_TEST(slow_mode_delays);
    CPPUNIT_TEST(counts_calls_by_kind);
    CPPUNIT_TEST_SUITE_END();

    running_standin store_{R"({"standin":"store"})"};

    http_answer call(const std::string& method,
                     const std::string& target,
                     const std::string& body = "") const {
        http_call request;
        request.method_ = method;
        request.target_ = target;
        request.body_ = body;
        return send_http(store_.port(), request);
    }

    void control(const std::string& switches) const {
        CPPUNIT_ASSERT_EQUAL(
            200U, http_post(store_.port(), "/control", switches).status_);
    }

    std::string grant(int ttl_ms) const {
        const auto target = "/v1/leases?ttl_ms=" + std::to_string(ttl_ms);
        const auto body = call("POST", target).body_json();
        return std::to_string(number_or(body, "lease", 0));
    }

public:
    // Guards against a lost update when two writers read the same revision.
    void compare_and_swap_admits_one_of_two() {
        const auto first = call("PUT", "/v1/kv/a/b?if_revision=0", "one");
        CPPUNIT_ASSERT_EQUAL(200U, first.status_);
        const auto revision = first.headers_.at("x-revision");
        const auto target = "/v1/kv/a/b?if_revision=" + revision;
        const auto second = call("PUT", target, "two");
        const auto third = call("PUT", target, "three");
        CPPUNIT_ASSERT_EQUAL(200U, second.status_);
        CPPUNIT_ASSERT_EQUAL(409U, third.status_);
        CPPUNIT_ASSERT_EQUAL(second.headers_.at("x-revision"),
                             third.headers_.at("x-revision"));
        const auto read = call("GET", "/v1/kv/a/b");
        CPPUNIT_ASSERT_EQUAL(std::string{"two"}, read.body_);
        CPPUNIT_ASSERT_EQUAL(second.headers_.at("x-revision"),
                             read.headers_.at("x-revision"));
        CPPUNIT_ASSERT_EQUAL(400U, call("PUT", "/v1/kv/a/b", "x").status_);
    }

    void delete_needs_the_revision() {
        call("PUT", "/v1/kv/a?if_revision=0", "one");
        CPPUNIT_ASSERT_EQUAL(409U,
                             call("DELETE", "/v1/kv/a?if_revision=7").status_);
        CPPUNIT_ASSERT_EQUAL(200U,
                             call("DELETE", "/v1/kv/a?if_revision=1").status_);
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/a").status_);
    }

    void lists_by_prefix() {
        call("PUT", "/v1/kv/x/1?if_revision=0", "a");
        call("PUT", "/v1/kv/x/2?if_revision=0", "b");
        call("PUT", "/v1/kv/y/1?if_revision=0", "c");
        const auto list = call("GET", "/v1/list?prefix=x%2F").body_json();
        const auto keys = array_of(list, "keys");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, keys.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"x/2"}, text_or(keys[1], "key", ""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2},
                             number_or(keys[1], "revision", 0));
    }

    void expired_lease_takes_its_keys() {
        const auto lease = grant(50);
        call("PUT", "/v1/kv/held?if_revision=0&lease=" + lease, "x");
        CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/held").status_);
        std::this_thread::sleep_for(milliseconds{80});
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/held").status_);
        CPPUNIT_ASSERT_EQUAL(404U, call("PUT", "/v1/leases/" + lease).status_);
        CPPUNIT_ASSERT_EQUAL(
            404U,
            call("PUT", "/v1/kv/h2?if_revision=0&lease=" + lease).status_);
    }

    void renewed_lease_keeps_its_keys() {
        const auto lease = grant(200);
        call("PUT", "/v1/kv/held?if_revision=0&lease=" + lease, "x");
        for (int i = 0; i < 4; ++i) {
            std::this_thread::sleep_for(milliseconds{80});
            CPPUNIT_ASSERT_EQUAL(200U,
                                 call("PUT", "/v1/leases/" + lease).status_);
        }
        CPPUNIT_ASSERT_EQUAL(200U, call("GET", "/v1/kv/held").status_);
        call("DELETE", "/v1/leases/" + lease);
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/held").status_);
    }

    void watch_answers_when_a_key_changes() {
        auto waiting = std::async(std::launch::async, [this] {
            return call("GET", "/v1/watch?prefix=w/&after=0&wait_ms=4000");
        });
        std::this_thread::sleep_for(milliseconds{50});
        call("PUT", "/v1/kv/other?if_revision=0", "x");
        call("PUT", "/v1/kv/w/1?if_revision=0", "x");
        const auto body = waiting.get().body_json();
        const auto keys = array_of(body, "keys");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"w/1"}, text_or(keys[0], "key", ""));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, number_or(body, "revision", 0));
    }

    // Guards against a watch that misses the expiry of a lease.
    void watch_reports_a_deletion() {
        const auto lease = grant(100);
        call("PUT", "/v1/kv/w/1?if_revision=0&lease=" + lease, "x");
        const auto body =
            call("GET", "/v1/watch?prefix=w/&after=1&wait_ms=4000").body_json();
        const auto keys = array_of(body, "keys");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, keys.size());
        CPPUNIT_ASSERT(bool_or(keys[0], "deleted", false));
    }

    void watch_ends_after_its_wait() {
        const auto answer =
            call("GET", "/v1/watch?prefix=w/&after=0&wait_ms=50");
        CPPUNIT_ASSERT_EQUAL(200U, answer.status_);
        CPPUNIT_ASSERT(array_of(answer.body_json(), "keys").empty());
    }

    void value_limit() {
        const std::string whole(1'000'000, 'v');
        const auto target = "/v1/kv/big?if_revision=0";
        CPPUNIT_ASSERT_EQUAL(413U, call("PUT", target, whole + "v").status_);
        CPPUNIT_ASSERT_EQUAL(200U, call("PUT", target, whole).status_);
        CPPUNIT_ASSERT_EQUAL(whole.size(),
                             call("GET", "/v1/kv/big").body_.size());
    }

    void down_and_up_again() {
        call("PUT", "/v1/kv/a?if_revision=0", "kept");
        control(R"({"mode":"down"})");
        CPPUNIT_ASSERT_EQUAL(0U, call("GET", "/v1/kv/a").status_);
        control(R"({"down_silent":true})");
        http_call hanging;
        hanging.target_ = "/v1/kv/a";
        hanging.timeout_ = milliseconds{100};
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(0U, send_http(store_.port(), hanging).status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                       hanging.timeout_);
        control(R"({"mode":"up"})");
        CPPUNIT_ASSERT_EQUAL(std::string{"kept"},
                             call("GET", "/v1/kv/a").body_);
    }

    // Guards against losing the write together with its answer.
    void lost_answer_takes_effect() {
        control(R"({"lose_next":1})");
        CPPUNIT_ASSERT_EQUAL(
            0U, call("PUT", "/v1/kv/a?if_revision=0", "written").status_);
        CPPUNIT_ASSERT_EQUAL(std::string{"written"},
                             call("GET", "/v1/kv/a").body_);
        CPPUNIT_ASSERT_EQUAL(
            200U, call("PUT", "/v1/kv/a?if_revision=1", "again").status_);
        control(R"({"mode":"lose_answers"})");
        CPPUNIT_ASSERT_EQUAL(0U,
                             call("DELETE", "/v1/kv/a?if_revision=2").status_);
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/a").status_);
    }

    void slow_mode_delays() {
        control(R"({"mode":"slow","slow_ms":80})");
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(404U, call("GET", "/v1/kv/a").status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                       milliseconds{80});
    }

    void counts_calls_by_kind() {
        call("PUT", "/v1/kv/a?if_revision=0", "x");
        call("GET", "/v1/kv/a");
        call("GET", "/v1/kv/a");
        call("GET", "/v1/watch?prefix=a&after=0&wait_ms=10");
        const auto stats = http_get(store_.port(), "/stats").body_json();
        const auto* calls = find_member(stats, "calls");
        CPPUNIT_ASSERT(calls != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, number_or(*calls, "put", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, number_or(*calls, "get", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, number_or(*calls, "watch", 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_server_test);

} // namespace
} // namespace pimentoferry::standins
