#include "pimentoferry/routing/write_turn.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

class write_turn_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(write_turn_test);
    CPPUNIT_TEST(the_first_keeper_writes_at_once);
    CPPUNIT_TEST(a_silent_keeper_is_not_waited_for);
    CPPUNIT_TEST(a_keeper_that_answers_is_left_to_write);
    CPPUNIT_TEST(a_keeper_that_does_not_write_is_not_waited_for_again);
    CPPUNIT_TEST_SUITE_END();

    write_turn turn_;
    base::time_point now_{base::milliseconds{60'000}};

    bool writes_at_once(std::size_t rank) const {
        return turn_.due_before(rank, now_) == now_;
    }

    void pass(int milliseconds) { now_ += base::milliseconds{milliseconds}; }

    void the_first_keeper_writes_at_once() {
        CPPUNIT_ASSERT(writes_at_once(0));
        CPPUNIT_ASSERT(!writes_at_once(1));
        CPPUNIT_ASSERT(turn_.due_before(1, now_) ==
                       now_ - write_turn::patience);
    }

    // Guards against streams that only the second keeper knows, for as long as
    // it waits for the first one.
    void a_silent_keeper_is_not_waited_for() {
        turn_.asked(now_);
        pass(100);
        turn_.asked(now_);
        CPPUNIT_ASSERT(!turn_.find_silent(now_));
        pass(50);
        CPPUNIT_ASSERT(turn_.find_silent(now_));
        CPPUNIT_ASSERT(!turn_.find_silent(now_));
        CPPUNIT_ASSERT(writes_at_once(1));
        turn_.answered();
        CPPUNIT_ASSERT(!writes_at_once(1));
    }

    // Guards against two writes of everything.
    void a_keeper_that_answers_is_left_to_write() {
        for (int i = 0; i < 20; ++i) {
            turn_.asked(now_);
            pass(20);
            turn_.answered();
            pass(480);
            CPPUNIT_ASSERT(!turn_.find_silent(now_));
            CPPUNIT_ASSERT(!writes_at_once(1));
        }
        turn_.asked(now_);
        pass(200);
        CPPUNIT_ASSERT(turn_.find_silent(now_));
        turn_.reset();
        CPPUNIT_ASSERT(!writes_at_once(1));
    }

    // Guards against a wait for each stream while the first keeper is there but
    // does not reach the store.
    void a_keeper_that_does_not_write_is_not_waited_for_again() {
        turn_.wrote(1, now_);
        CPPUNIT_ASSERT(writes_at_once(1));
        pass(4000);
        turn_.wrote(1, now_);
        CPPUNIT_ASSERT(writes_at_once(1));
        pass(1000);
        CPPUNIT_ASSERT(!writes_at_once(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(write_turn_test);

} // namespace

} // namespace pimentoferry::routing
