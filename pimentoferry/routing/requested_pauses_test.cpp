#include "pimentoferry/routing/requested_pauses.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

using namespace std::chrono_literals;

constexpr base::time_point start{1h};

instance make_instance(const std::string& id, std::uint64_t started_at_ms = 1) {
    instance made;
    made.id_ = base::upstream_name{id};
    made.started_at_ms_ = started_at_ms;
    return made;
}

class requested_pauses_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(requested_pauses_test);
    CPPUNIT_TEST(a_shorter_pause_does_not_end_a_longer_one);
    CPPUNIT_TEST(a_later_run_of_an_instance_is_not_paused);
    CPPUNIT_TEST(a_pause_of_a_day_is_bounded);
    CPPUNIT_TEST(the_wait_is_that_for_the_first_instance);
    CPPUNIT_TEST_SUITE_END();

    requested_pauses pauses_;

    // Guards against requests to an instance that has asked for more time.
    void a_shorter_pause_does_not_end_a_longer_one() {
        const auto asking = make_instance("a");
        CPPUNIT_ASSERT(pauses_.note(asking, 3000ms, start));
        CPPUNIT_ASSERT(!pauses_.note(asking, 1000ms, start));
        CPPUNIT_ASSERT(pauses_.paused(asking, start + 2999ms));
        CPPUNIT_ASSERT(!pauses_.paused(asking, start + 3000ms));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             pauses_.expire(start + 3000ms).size());
        CPPUNIT_ASSERT(!pauses_.note(asking, 0ms, start));
    }

    // Guards against an instance that stays unused although it started again.
    void a_later_run_of_an_instance_is_not_paused() {
        pauses_.note(make_instance("a", 1), 3000ms, start);
        CPPUNIT_ASSERT(!pauses_.paused(make_instance("a", 2), start));
    }

    // Guards against an instance that is lost for good by one wrong answer.
    void a_pause_of_a_day_is_bounded() {
        const auto asking = make_instance("a");
        pauses_.note(asking, 24h, start);
        CPPUNIT_ASSERT(!pauses_.paused(asking, start + longest_pause));
    }

    // Guards against a refusal although an instance may be used.
    void the_wait_is_that_for_the_first_instance() {
        const auto first = make_instance("a");
        const auto second = make_instance("b");
        pauses_.note(first, 3000ms, start);
        CPPUNIT_ASSERT(!pauses_.wait_for_any({&first, &second}, start));
        CPPUNIT_ASSERT(!pauses_.wait_for_any({}, start));
        pauses_.note(second, 2000ms, start);
        CPPUNIT_ASSERT(pauses_.wait_for_any({&first, &second}, start) ==
                       2000ms);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requested_pauses_test);

} // namespace

} // namespace pimentoferry::routing
