#include "pimentoferry/store/replica_transfer.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::store {

namespace {

using namespace std::chrono_literals;

constexpr base::instance_id first{1};
constexpr base::instance_id second{2};
constexpr std::size_t bytes = 500'000; // 400 ms at 10 Mbit/s.
constexpr base::time_point start{1h};

class replica_transfer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_transfer_test);
    CPPUNIT_TEST(a_replica_awaits_one_delta_at_a_time);
    CPPUNIT_TEST(a_delta_that_does_not_come_is_asked_for_again);
    CPPUNIT_TEST(a_later_position_ends_the_wait);
    CPPUNIT_TEST(a_slow_link_sends_one_delta_at_a_time);
    CPPUNIT_TEST(a_fast_link_sends_several_deltas_at_once);
    CPPUNIT_TEST_SUITE_END();

    const link_rate slow_{rate_of_mbps(10)};

    // Guards against copies of one delta that delay each other on a slow link.
    void a_replica_awaits_one_delta_at_a_time() {
        transfer_request request{slow_};
        CPPUNIT_ASSERT(request.may_ask(start));
        request.asked(first, {1, 8}, bytes, start);
        CPPUNIT_ASSERT(!request.may_ask(start + 1000ms));
        CPPUNIT_ASSERT(request.expected_until().has_value());
    }

    // Guards against a replica that waits for a peer that has ended.
    void a_delta_that_does_not_come_is_asked_for_again() {
        transfer_request request{slow_};
        request.asked(first, {1, 8}, bytes, start);
        CPPUNIT_ASSERT(request.may_ask(start + 1100ms));
        request.asked(second, {1, 8}, bytes, start + 1100ms);
        CPPUNIT_ASSERT(!request.expected_until());
        // A link that is slower than stated gets more time each time.
        CPPUNIT_ASSERT(!request.may_ask(start + 1100ms + 2000ms));
        request.declined(first);
        CPPUNIT_ASSERT(!request.may_ask(start + 1100ms));
        request.declined(second);
        CPPUNIT_ASSERT(request.may_ask(start + 1100ms));
    }

    // Guards against a wait for a delta that another peer or the store brought.
    void a_later_position_ends_the_wait() {
        transfer_request request{slow_};
        request.asked(first, {1, 8}, bytes, start);
        request.reached({1, 7});
        CPPUNIT_ASSERT(!request.may_ask(start));
        request.reached({2, 3});
        CPPUNIT_ASSERT(request.may_ask(start));
    }

    // Guards against a sender that promises more than its link can send.
    void a_slow_link_sends_one_delta_at_a_time() {
        transfer_window window{slow_};
        CPPUNIT_ASSERT(window.accepts(start));
        window.add(2 * bytes, start);
        CPPUNIT_ASSERT(!window.accepts(start + 250ms));
        CPPUNIT_ASSERT(window.accepts(start + 801ms));
    }

    // Guards against a fleet that is brought up to date by one copy at a time.
    void a_fast_link_sends_several_deltas_at_once() {
        transfer_window window{rate_of_mbps(200)};
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT(window.accepts(start));
            window.add(bytes, start);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_transfer_test);

} // namespace

} // namespace pimentoferry::store
