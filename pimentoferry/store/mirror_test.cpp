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
    CPPUNIT_TEST(ignores_a_repeated_watch_event);
    CPPUNIT_TEST(a_listing_removes_missing_items);
    CPPUNIT_TEST(a_listing_keeps_newer_items);
    CPPUNIT_TEST(a_delta_brings_a_peer_up_to_date);
    CPPUNIT_TEST(ignores_a_delta_after_a_gap);
    CPPUNIT_TEST(ignores_an_older_replica);
    CPPUNIT_TEST(a_delta_after_a_listing_removes_items);
    CPPUNIT_TEST(sends_all_items_after_many_removals);
    CPPUNIT_TEST(a_listing_of_a_later_era_replaces_items_with_higher_revisions);
    CPPUNIT_TEST(changes_of_an_earlier_era_are_ignored);
    CPPUNIT_TEST(a_peer_in_an_earlier_era_is_sent_all_items);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a restored store whose items are dropped because their
    // revisions are lower than those before.
    void a_listing_of_a_later_era_replaces_items_with_higher_revisions() {
        mirror replica;
        replica.replace({{"config", "12", 22}, {"s/1", "x", 23}}, 23, 1);
        const auto changes =
            replica.replace({{"config", "9", 15}, {"s/2", "y", 16}}, 16, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        CPPUNIT_ASSERT((position{2, 16}) == replica.current());
        replica.apply(written("config", "13", 17));
        CPPUNIT_ASSERT_EQUAL(std::string{"13"},
                             replica.items().at("config").value_);
        CPPUNIT_ASSERT(!replica.items().contains("s/1"));
    }

    // Guards against a peer that has not heard of the restore and has higher
    // revisions.
    void changes_of_an_earlier_era_are_ignored() {
        mirror ahead;
        mirror behind;
        ahead.replace({{"config", "9", 15}}, 16, 2);
        behind.replace({{"config", "12", 22}}, 23, 1);
        CPPUNIT_ASSERT(ahead.replace({{"config", "12", 22}}, 23, 1).empty());
        CPPUNIT_ASSERT(ahead.merge(behind.since({1, 3})).empty());
        CPPUNIT_ASSERT(ahead.merge(behind.since({})).empty());
        CPPUNIT_ASSERT_EQUAL(revision{0}, behind.since(ahead.current()).to_);
        CPPUNIT_ASSERT_EQUAL(std::string{"9"},
                             ahead.items().at("config").value_);
    }

    void a_peer_in_an_earlier_era_is_sent_all_items() {
        mirror ahead;
        mirror behind;
        behind.replace({{"config", "12", 22}, {"s/1", "x", 23}}, 23, 1);
        ahead.replace({{"config", "9", 15}}, 16, 2);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2}, behind.merge(ahead.since(behind.current())).size());
        CPPUNIT_ASSERT(behind.items() == ahead.items());
        CPPUNIT_ASSERT(behind.current() == ahead.current());
    }

    // A watch may return an event again. Guards against an instance that
    // reappears after its removal.
    void ignores_a_repeated_watch_event() {
        mirror replica;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             replica.apply(written("a", "1", 5)).size());
        CPPUNIT_ASSERT(replica.apply(written("a", "1", 5)).empty());
        replica.apply(removed("a", 6));
        CPPUNIT_ASSERT(replica.apply(written("a", "1", 5)).empty());
        CPPUNIT_ASSERT(replica.items().empty());
    }

    // Guards against use of an instance that left while the store had no
    // history for the watch.
    void a_listing_removes_missing_items() {
        mirror replica;
        replica.apply(written("a", "1", 5));
        replica.apply(written("b", "1", 6));
        const auto changes = replica.replace({{"b", "1", 6}}, 9);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"},
                             std::get<item_removed>(changes.front()).key_);
        CPPUNIT_ASSERT_EQUAL(revision{9}, replica.at());
    }

    // Guards against a return to older values when a peer's delta arrives
    // before an older listing.
    void a_listing_keeps_newer_items() {
        mirror replica;
        replica.apply(written("config", "8", 12));
        CPPUNIT_ASSERT(replica.replace({{"config", "7", 3}}, 10).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"8"},
                             replica.items().at("config").value_);
        CPPUNIT_ASSERT_EQUAL(revision{12}, replica.at());
    }

    // Guards against an instance that keeps an old configuration while the
    // store refuses its requests and serves its peers.
    void a_delta_brings_a_peer_up_to_date() {
        mirror ahead;
        mirror behind;
        ahead.replace({{"config", "7", 3}, {"s/1", "x", 4}}, 4);
        behind.merge(ahead.since(behind.current()));
        CPPUNIT_ASSERT_EQUAL(revision{4}, behind.at());
        ahead.apply(written("config", "8", 5));
        ahead.apply(removed("s/1", 6));
        const auto delta = ahead.since(behind.current());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, delta.written_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, behind.merge(delta).size());
        CPPUNIT_ASSERT(behind.items() == ahead.items());
    }

    // Guards against missing the changes between the two revisions.
    void ignores_a_delta_after_a_gap() {
        mirror replica;
        replica.apply(written("a", "1", 5));
        CPPUNIT_ASSERT(replica.merge({7, 9, {{"b", "1", 8}}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(revision{5}, replica.at());
    }

    void ignores_an_older_replica() {
        mirror replica;
        replica.replace({{"a", "2", 8}}, 9);
        CPPUNIT_ASSERT(replica.merge({0, 8, {{"a", "1", 5}}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"2"}, replica.items().at("a").value_);
    }

    // Guards against a peer that keeps an item whose removal the sender
    // found only by comparing two listings.
    void a_delta_after_a_listing_removes_items() {
        mirror ahead;
        mirror behind;
        ahead.replace({{"a", "1", 2}, {"b", "1", 3}}, 3);
        behind.merge(ahead.since({}));
        ahead.replace({{"b", "1", 3}}, 7);
        behind.merge(ahead.since(behind.current()));
        CPPUNIT_ASSERT(behind.items() == ahead.items());
    }

    void sends_all_items_after_many_removals() {
        constexpr revision removals = 1000;
        mirror ahead;
        ahead.replace({{"a", "1", 1}}, 1);
        for (revision at = 2; at < removals; ++at) {
            const auto key = "k" + std::to_string(at);
            ahead.apply(removed(key, at));
        }
        CPPUNIT_ASSERT_EQUAL(revision{0}, ahead.since({0, 2}).from_);
        const auto recent = ahead.since({0, removals - 10});
        CPPUNIT_ASSERT_EQUAL(revision{removals - 10}, recent.from_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, recent.removed_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(mirror_test);

} // namespace

} // namespace pimentoferry::store
