#include "pimentoferry/store/mirror.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::store {

namespace {

changed written(const std::string& key, const std::string& value, revision at) {
    return {{{key, value, at}}, {}, at};
}

changed removed(const std::string& key, revision at) {
    return {{}, {{key, at}}, at};
}

class mirror_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(mirror_test);
    CPPUNIT_TEST(a_watch_event_seen_twice_changes_nothing);
    CPPUNIT_TEST(a_listing_removes_what_it_lacks);
    CPPUNIT_TEST(a_listing_keeps_what_is_newer);
    CPPUNIT_TEST(a_peer_that_is_behind_catches_up);
    CPPUNIT_TEST(a_delta_with_a_gap_is_not_taken);
    CPPUNIT_TEST(an_older_copy_is_not_taken);
    CPPUNIT_TEST(a_peer_learns_removals_after_a_listing);
    CPPUNIT_TEST(many_removals_lead_to_a_whole_copy);
    CPPUNIT_TEST_SUITE_END();

    // Guards against instances that flap when a watch repeats its events.
    void a_watch_event_seen_twice_changes_nothing() {
        mirror copy;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             copy.apply(written("a", "1", 5)).size());
        CPPUNIT_ASSERT(copy.apply(written("a", "1", 5)).empty());
        copy.apply(removed("a", 6));
        CPPUNIT_ASSERT(copy.apply(written("a", "1", 5)).empty());
        CPPUNIT_ASSERT(copy.items().empty());
    }

    // Guards against use of an instance that left while the history was lost.
    void a_listing_removes_what_it_lacks() {
        mirror copy;
        copy.apply(written("a", "1", 5));
        copy.apply(written("b", "1", 6));
        const auto changes = copy.replace({{"b", "1", 6}}, 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"},
                             std::get<item_removed>(changes.front()).key_);
        CPPUNIT_ASSERT_EQUAL(revision{9}, copy.at());
    }

    // Guards against a step back when a listing is overtaken by a peer.
    void a_listing_keeps_what_is_newer() {
        mirror copy;
        copy.apply(written("config", "8", 12));
        CPPUNIT_ASSERT(copy.replace({{"config", "7", 3}}, 10).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"8"},
                             copy.items().at("config").value_);
        CPPUNIT_ASSERT_EQUAL(revision{12}, copy.at());
    }

    // Guards against an instance that stays on an old configuration while the
    // store refuses it and serves its peers.
    void a_peer_that_is_behind_catches_up() {
        mirror ahead;
        mirror behind;
        ahead.replace({{"config", "7", 3}, {"s/1", "x", 4}}, 4);
        behind.merge(ahead.since(behind.at()));
        CPPUNIT_ASSERT_EQUAL(revision{4}, behind.at());
        ahead.apply(written("config", "8", 5));
        ahead.apply(removed("s/1", 6));
        const auto delta = ahead.since(behind.at());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.written_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, behind.merge(delta).size());
        CPPUNIT_ASSERT(behind.items() == ahead.items());
    }

    void a_delta_with_a_gap_is_not_taken() {
        mirror copy;
        copy.apply(written("a", "1", 5));
        CPPUNIT_ASSERT(copy.merge({7, 9, {{"b", "1", 8}}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(revision{5}, copy.at());
    }

    void an_older_copy_is_not_taken() {
        mirror copy;
        copy.replace({{"a", "2", 8}}, 9);
        CPPUNIT_ASSERT(copy.merge({0, 8, {{"a", "1", 5}}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, copy.items().at("a").value_);
    }

    // Guards against a peer that keeps an instance whose removal the sender
    // only concluded from a listing.
    void a_peer_learns_removals_after_a_listing() {
        mirror ahead;
        mirror behind;
        ahead.replace({{"a", "1", 2}, {"b", "1", 3}}, 3);
        behind.merge(ahead.since(0));
        ahead.replace({{"b", "1", 3}}, 7);
        behind.merge(ahead.since(behind.at()));
        CPPUNIT_ASSERT(behind.items() == ahead.items());
    }

    void many_removals_lead_to_a_whole_copy() {
        constexpr revision removals = 1000;
        mirror ahead;
        ahead.replace({{"a", "1", 1}}, 1);
        for (revision at = 2; at < removals; ++at) {
            const auto key = "k" + std::to_string(at);
            ahead.apply(removed(key, at));
        }
        CPPUNIT_ASSERT_EQUAL(revision{0}, ahead.since(2).from_);
        const auto recent = ahead.since(removals - 10);
        CPPUNIT_ASSERT_EQUAL(revision{removals - 10}, recent.from_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, recent.removed_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mirror_test);

} // namespace

} // namespace pimentoferry::store
