#include "pimentoferry/store/slot_ring.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pimentoferry::store {

namespace {

class slot_ring_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slot_ring_test);
    CPPUNIT_TEST(the_slot_that_was_written_first_is_next);
    CPPUNIT_TEST(a_write_that_the_replica_lacks_is_not_replaced);
    CPPUNIT_TEST(a_conflict_leads_to_another_slot);
    CPPUNIT_TEST_SUITE_END();

    slot_ring ring_{4};
    std::map<std::size_t, revision> replica_;

    ring_slot next(std::size_t skipped = 0) const {
        return ring_.oldest(skipped, [this](std::size_t slot) {
            const auto found = replica_.find(slot);
            return found == replica_.end() ? revision{0} : found->second;
        });
    }

    void the_slot_that_was_written_first_is_next() {
        replica_ = {{0, 7}, {1, 5}, {2, 9}, {3, 6}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next().number_);
        CPPUNIT_ASSERT_EQUAL(revision{5}, next().revision_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, next(1).number_);
        replica_.erase(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, next().number_);
        CPPUNIT_ASSERT_EQUAL(revision{0}, next().revision_);
    }

    // Guards against each second write of a keeper failing, because its replica
    // does not show the first one yet.
    void a_write_that_the_replica_lacks_is_not_replaced() {
        for (revision written = 1; written <= 8; ++written) {
            const auto slot = next();
            CPPUNIT_ASSERT_EQUAL((written - 1) % 4, revision{slot.number_});
            CPPUNIT_ASSERT_EQUAL(written > 4 ? written - 4 : 0, slot.revision_);
            ring_.learned(slot.number_, written);
        }
        ring_.forget();
        CPPUNIT_ASSERT_EQUAL(revision{0}, next().revision_);
    }

    // Guards against two writers that undo each other's writes.
    void a_conflict_leads_to_another_slot() {
        const auto slot = next();
        ring_.learned(slot.number_, 12);
        CPPUNIT_ASSERT(next().number_ != slot.number_);
        replica_ = {{0, 20}, {1, 21}, {2, 22}, {3, 23}};
        CPPUNIT_ASSERT_EQUAL(revision{20}, next().revision_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slot_ring_test);

} // namespace

} // namespace pimentoferry::store
