#include "pimentoferry/routing/recorded_versions.hpp"

#include "pimentoferry/routing/stream_origins.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace pimentoferry::routing {

namespace {

class recorded_versions_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(recorded_versions_test);
    CPPUNIT_TEST(an_older_copy_does_not_replace_a_later_one);
    CPPUNIT_TEST(a_new_version_is_written_beside_those_of_other_writers);
    CPPUNIT_TEST(only_the_first_writer_removes_versions);
    CPPUNIT_TEST(a_record_that_is_gone_is_written_again);
    CPPUNIT_TEST(a_version_that_was_just_recorded_is_not_removed);
    CPPUNIT_TEST_SUITE_END();

    const base::service_name chat_{"chat"};
    const base::software_version v1_{"1"};
    const base::software_version v2_{"2"};
    recorded_versions recorded_;

    versions_in_use
    of_chat(std::vector<base::software_version> versions) const {
        return {{{chat_, std::move(versions)}}};
    }

    bool has(const std::optional<versions_in_use>& update,
             const base::software_version& version) const {
        return update && update->services_.size() == 1 &&
               std::ranges::count(update->services_.front().versions_,
                                  version) == 1;
    }

public:
    // Guards against a version that is taken for recorded, or for unrecorded,
    // by a message that was overtaken.
    void an_older_copy_does_not_replace_a_later_one() {
        CPPUNIT_ASSERT(recorded_.take(of_chat({v1_, v2_}), {1, 7}));
        CPPUNIT_ASSERT(!recorded_.take(of_chat({v1_}), {1, 6}));
        CPPUNIT_ASSERT(recorded_.contains(chat_, v2_));
        CPPUNIT_ASSERT(!recorded_.contains(base::service_name{"desk"}, v2_));
        // The store has come back from an older copy.
        CPPUNIT_ASSERT(recorded_.take(of_chat({v1_}), {2, 3}));
        CPPUNIT_ASSERT(!recorded_.contains(chat_, v2_));
        CPPUNIT_ASSERT(!recorded_.take(of_chat({v1_, v2_}), {1, 9}));
        CPPUNIT_ASSERT(!recorded_.contains(chat_, v2_));
        CPPUNIT_ASSERT(recorded_.position() == (record_position{2, 3}));
    }

    // Guards against a first writer that reads the record before its replica
    // has the instance, and removes the version at once.
    void a_version_that_was_just_recorded_is_not_removed() {
        const base::milliseconds keep{30'000};
        base::time_point now{std::chrono::hours{1}};
        version_history history;
        history.seen(v1_, now);
        now += keep + base::milliseconds{5000};
        history.seen(v2_, now);
        recorded_.take(of_chat({v2_}), {1, 1});
        // Another gateway adds the version that is back; this one reads that.
        recorded_.take(of_chat({v1_, v2_}), {1, 2});
        history.load({v1_, v2_}, now);
        const auto update = recorded_.update_for(
            of_chat(history.possible(now, keep)), of_chat({v2_}), true);
        CPPUNIT_ASSERT(!update);
    }

    // Guards against a writer that removes a version of which it has not heard.
    void a_new_version_is_written_beside_those_of_other_writers() {
        recorded_.take(of_chat({v1_}), {1, 1});
        const auto update =
            recorded_.update_for(of_chat({v2_}), of_chat({v2_}), false);
        CPPUNIT_ASSERT(has(update, v1_) && has(update, v2_));
        recorded_.take(*update, {1, 2});
        CPPUNIT_ASSERT(
            !recorded_.update_for(of_chat({v2_}), of_chat({v2_}), false));
    }

    // Guards against versions that stay possible for ever, so that continued
    // streams are refused, and against writers that undo each other's writes.
    void only_the_first_writer_removes_versions() {
        recorded_.take(of_chat({v1_, v2_}), {1, 1});
        CPPUNIT_ASSERT(
            !recorded_.update_for(of_chat({v2_}), of_chat({v2_}), false));
        const auto update =
            recorded_.update_for(of_chat({v2_}), of_chat({v2_}), true);
        CPPUNIT_ASSERT(has(update, v2_) && !has(update, v1_));
        CPPUNIT_ASSERT(!recorded_.update_for({}, {}, true));
    }

    // Guards against a version without a record after the store has come back
    // from a copy that has none.
    void a_record_that_is_gone_is_written_again() {
        recorded_.take(of_chat({v1_}), {1, 5});
        recorded_.clear(2);
        CPPUNIT_ASSERT(!recorded_.contains(chat_, v1_));
        CPPUNIT_ASSERT(recorded_.position() == (record_position{2, 0}));
        CPPUNIT_ASSERT(has(
            recorded_.update_for(of_chat({v1_}), of_chat({v1_}), false), v1_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(recorded_versions_test);

} // namespace

} // namespace pimentoferry::routing
