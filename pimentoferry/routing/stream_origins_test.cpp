#include "pimentoferry/routing/stream_origins.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

using base::milliseconds;
using base::software_version;

constexpr milliseconds keep{30'000};

class stream_origins_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_origins_test);
    CPPUNIT_TEST(the_first_version_of_a_stream_stays);
    CPPUNIT_TEST(streams_are_forgotten_in_the_order_of_their_start);
    CPPUNIT_TEST(streams_are_recorded_once);
    CPPUNIT_TEST(a_version_that_left_may_have_open_streams);
    CPPUNIT_TEST(what_a_process_has_seen_is_not_enough);
    CPPUNIT_TEST(a_recorded_version_is_possible_after_a_restart);
    CPPUNIT_TEST(what_is_kept_outlasts_a_shorter_limit);
    CPPUNIT_TEST(a_version_that_is_recorded_again_is_possible_again);
    CPPUNIT_TEST_SUITE_END();

    const software_version old_{"v1"};
    const software_version new_{"v2"};
    base::time_point now_{std::chrono::hours{1}};
    origin_table origins_;
    version_history history_;

public:
    // Guards against a later try that changes the version of a stream.
    void the_first_version_of_a_stream_stays() {
        CPPUNIT_ASSERT(origins_.add(7, old_, now_));
        CPPUNIT_ASSERT(!origins_.add(7, new_, now_));
        CPPUNIT_ASSERT(origins_.find(7) == old_);
        CPPUNIT_ASSERT(!origins_.find(8));
    }

    // Guards against a first writer that removes a version which another
    // gateway has just recorded, because it remembers when that one last left.
    void a_version_that_is_recorded_again_is_possible_again() {
        history_.seen(old_, now_);
        const auto returned = now_ + keep + milliseconds{5000};
        history_.seen(new_, returned);
        history_.load({old_, new_}, returned);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             history_.possible(returned, keep).size());
    }

    // Guards against memory that grows with the streams ever served.
    void streams_are_forgotten_in_the_order_of_their_start() {
        origins_.add(1, old_, now_);
        origins_.add(2, new_, now_ + keep);
        origins_.expire(now_ + milliseconds{1});
        CPPUNIT_ASSERT(!origins_.find(1));
        CPPUNIT_ASSERT(origins_.find(2) == new_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, origins_.size());
    }

    // Guards against a record that is written again or misses a stream.
    void streams_are_recorded_once() {
        origins_.add(1, old_, now_);
        origins_.add(2, new_, now_);
        origins_.add(3, old_, now_ + milliseconds{5});
        const auto later = now_ + milliseconds{10};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             origins_.unrecorded(10, later).size());
        origins_.set_recorded(1);
        const auto due = origins_.unrecorded(10, now_ + milliseconds{5});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
        CPPUNIT_ASSERT(due.front().version_ == new_);
        CPPUNIT_ASSERT(due.front().streams_ == std::vector<std::uint64_t>{2});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             origins_.unrecorded(1, later).size());
        origins_.clear_recorded();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            origins_.unrecorded(10, later).front().streams_.size());
    }

    // Guards against a stream of a version whose last instance has just left
    // that goes on at the other version.
    void a_version_that_left_may_have_open_streams() {
        history_.seen(old_, now_);
        CPPUNIT_ASSERT(history_.only({old_}, now_, keep) == old_);
        history_.seen(new_, now_ + milliseconds{10});
        CPPUNIT_ASSERT(!history_.only({old_}, now_ + milliseconds{10}, keep));
        CPPUNIT_ASSERT(!history_.only({new_}, now_ + milliseconds{10}, keep));
        const auto last = now_ + keep;
        history_.seen(new_, last);
        CPPUNIT_ASSERT(history_.only({new_}, last, keep) == new_);
    }

    // Guards against a gateway that takes the versions it has seen for all
    // there are, however long it has run.
    void what_a_process_has_seen_is_not_enough() {
        history_.seen(new_, now_);
        CPPUNIT_ASSERT(!history_.only({}, now_, keep));
        history_.seen(new_, now_ + keep);
        CPPUNIT_ASSERT(!history_.only({}, now_ + keep, keep));
        CPPUNIT_ASSERT(!history_.only({old_}, now_ + keep, keep));
        CPPUNIT_ASSERT(!history_.only({old_, new_}, now_ + keep, keep));
    }

    // Guards against streams of the version before a release that go on at the
    // new one after all gateways were killed.
    void a_recorded_version_is_possible_after_a_restart() {
        history_.load({old_, new_}, now_);
        history_.seen(new_, now_);
        CPPUNIT_ASSERT(!history_.only({new_}, now_, keep));
        history_.load({old_, new_}, now_ + keep);
        history_.seen(new_, now_ + keep);
        CPPUNIT_ASSERT(history_.only({new_}, now_ + keep, keep) == new_);
    }

    // Guards against streams that are forgotten, and versions that are no
    // longer possible, because a new configuration has a shorter limit.
    void what_is_kept_outlasts_a_shorter_limit() {
        retention kept;
        const milliseconds longer = 4 * keep;
        kept.update(longer, now_);
        kept.update(keep, now_ + milliseconds{1});
        CPPUNIT_ASSERT(kept.time() == longer);
        kept.update(keep, now_ + longer);
        CPPUNIT_ASSERT(kept.time() == keep);
        kept.update(longer, now_ + longer);
        CPPUNIT_ASSERT(kept.time() == longer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_origins_test);

} // namespace

} // namespace pimentoferry::routing
