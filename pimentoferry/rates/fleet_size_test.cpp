#include "pimentoferry/rates/fleet_size.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::rates {

namespace {

class fleet_size_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_size_test);
    CPPUNIT_TEST(unreachable_gateways_count_for_some_time);
    CPPUNIT_TEST_SUITE_END();

    // Guards against both sides of a partition using the whole of a rate.
    void unreachable_gateways_count_for_some_time() {
        const base::time_point start{std::chrono::seconds{100}};
        fleet_size size;
        size.update(80, start);
        size.update(20, start + std::chrono::seconds{1});
        CPPUNIT_ASSERT_EQUAL(80U, size.largest());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, size.reachable_part(), 1e-9);
        size.update(20, start + std::chrono::seconds{31});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, size.reachable_part(), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_size_test);

} // namespace

} // namespace pimentoferry::rates
