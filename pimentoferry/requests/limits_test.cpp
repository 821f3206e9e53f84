#include "pimentoferry/requests/cancel_tracker.hpp"
#include "pimentoferry/requests/quarantine.hpp"
#include "pimentoferry/requests/retry_budget.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace pimentoferry::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr base::time_point start{std::chrono::hours{1}};
const base::upstream_name engine{"d1"};
constexpr base::attempt_id attempt{base::instance_id{1}, 4};

class limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(budget_is_a_share_plus_a_constant);
    CPPUNIT_TEST(second_crash_quarantines_only_the_suspect);
    CPPUNIT_TEST(quarantine_doubles_up_to_its_limit);
    CPPUNIT_TEST(completed_run_clears_a_suspect);
    CPPUNIT_TEST(budget_allows_all_sends_of_a_retry_or_none);
    CPPUNIT_TEST(marks_expire_and_stay_bounded);
    CPPUNIT_TEST(received_marks_do_not_add_up);
    CPPUNIT_TEST(cancel_repeats_until_the_engine_frees_the_memory);
    CPPUNIT_TEST(crash_returns_the_requests_of_open_cancels);
    CPPUNIT_TEST_SUITE_END();

    quarantine marks_{quarantine_limits{}};
    cancel_tracker cancels_{cancel_limits{}};

public:
    // Guards against retries that multiply the load of a failing pool.
    void budget_is_a_share_plus_a_constant() {
        retry_budget budget{retry_limits{}};
        for (int i = 0; i < 100; ++i) {
            budget.note_request(start);
        }
        int taken = 0;
        while (budget.take(start + seconds{5})) {
            ++taken;
        }
        CPPUNIT_ASSERT_EQUAL(34, taken);
        CPPUNIT_ASSERT(budget.take(start + seconds{17}));
    }

    // Guards against a retry of two sends that is counted as one.
    void budget_allows_all_sends_of_a_retry_or_none() {
        retry_budget budget{{.percent_of_requests_ = 0, .constant_ = 3}};
        CPPUNIT_ASSERT(budget.take(start, 2));
        CPPUNIT_ASSERT(!budget.take(start, 2));
        CPPUNIT_ASSERT(budget.take(start));
        CPPUNIT_ASSERT(!budget.take(start));
    }

    // Guards against attributing a crash to requests that ran beside its cause.
    void second_crash_quarantines_only_the_suspect() {
        marks_.attribute_crash({{1, false}, {2, false}}, start);
        CPPUNIT_ASSERT(marks_.status_of(2, start) == crash_status::suspect);
        marks_.attribute_crash({{1, true}, {3, false}}, start);
        CPPUNIT_ASSERT(marks_.status_of(1, start) == crash_status::quarantined);
        CPPUNIT_ASSERT(marks_.status_of(2, start) == crash_status::suspect);
        CPPUNIT_ASSERT(marks_.status_of(3, start) == crash_status::clear);
    }

    // Guards against a request that crashes engines at a constant rate forever.
    void quarantine_doubles_up_to_its_limit() {
        base::time_point now = start;
        marks_.attribute_crash({{1, false}}, now);
        minutes expected{10};
        for (int i = 0; i < 6; ++i) {
            marks_.attribute_crash({{1, true}}, now);
            CPPUNIT_ASSERT(marks_.remaining(1, now) == expected);
            now += expected;
            CPPUNIT_ASSERT(marks_.status_of(1, now) == crash_status::suspect);
            expected = std::min(expected * 2, minutes{120});
        }
    }

    // Guards against a request that stays a suspect after it completed without
    // a crash.
    void completed_run_clears_a_suspect() {
        marks_.attribute_crash({{1, false}}, start);
        marks_.run_completed(1, start);
        CPPUNIT_ASSERT(marks_.status_of(1, start) == crash_status::clear);
    }

    // Guards against marks that callers can add without bound.
    void marks_expire_and_stay_bounded() {
        for (std::uint64_t i = 0; i < 5'000; ++i) {
            marks_.attribute_crash({{i, false}}, start);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4'096}, marks_.size());
        marks_.attribute_crash({{9'999, false}}, start + minutes{11});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, marks_.size());
    }

    // Guards against counting one crash once per entry that saw it.
    void received_marks_do_not_add_up() {
        marks_.attribute_crash({{1, false}}, start);
        CPPUNIT_ASSERT(!marks_.merge({1, 1, minutes{10}}, start));
        CPPUNIT_ASSERT(marks_.status_of(1, start) == crash_status::suspect);
        CPPUNIT_ASSERT(marks_.merge({1, 2, minutes{10}}, start));
        CPPUNIT_ASSERT(marks_.status_of(1, start) == crash_status::quarantined);
    }

    // Guards P1: a lost cancel must not leave engine memory held.
    void cancel_repeats_until_the_engine_frees_the_memory() {
        cancels_.add({attempt, engine, start + seconds{30}, {}}, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancels_.take_added().size());
        CPPUNIT_ASSERT(cancels_.take_added().empty());
        CPPUNIT_ASSERT(cancels_.take_due(start).empty());
        CPPUNIT_ASSERT(cancels_.next_due() == start + milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             cancels_.take_due(start + seconds{1}).size());
        CPPUNIT_ASSERT(cancels_.take_due(start + seconds{30}).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cancels_.size());
    }

    // Guards against a crash that is not attributed because the caller had
    // disconnected.
    void crash_returns_the_requests_of_open_cancels() {
        cancels_.add(
            {attempt, engine, start + seconds{30}, crash_candidate{5, true}},
            start);
        const auto candidates = cancels_.drop_crashed_engine(engine, {attempt});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, candidates.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, candidates.front().fingerprint_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cancels_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);

} // namespace
} // namespace pimentoferry::requests
