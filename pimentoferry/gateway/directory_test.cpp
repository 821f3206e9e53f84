#include "pimentoferry/gateway/directory.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::gateway {

namespace {

membership::member
make_member(std::uint16_t port, const std::string& domain, bool draining) {
    membership::member made;
    made.traffic_address_ = {"10.0.0.1", port};
    made.failure_domain_ = base::failure_domain{domain};
    made.draining_ = draining;
    return made;
}

class directory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(directory_test);
    CPPUNIT_TEST(a_caller_is_sent_its_own_failure_domain);
    CPPUNIT_TEST(a_draining_gateway_is_left_out);
    CPPUNIT_TEST(one_gateway_in_the_failure_domain_is_not_enough);
    CPPUNIT_TEST_SUITE_END();

    const base::failure_domain north_{"north"};

    void a_caller_is_sent_its_own_failure_domain() {
        const auto addresses =
            addresses_for(north_, {make_member(1, "north", false),
                                   make_member(2, "north", false),
                                   make_member(3, "south", false)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses.size());
    }

    void a_draining_gateway_is_left_out() {
        const auto addresses =
            addresses_for(north_, {make_member(1, "north", true),
                                   make_member(2, "north", false),
                                   make_member(3, "south", false)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, addresses.size());
        CPPUNIT_ASSERT_EQUAL(std::uint16_t{2}, addresses.front().port_);
    }

    // Guards against callers that have no other address when one fails.
    void one_gateway_in_the_failure_domain_is_not_enough() {
        const auto addresses =
            addresses_for(north_, {make_member(1, "north", false),
                                   make_member(2, "south", false),
                                   make_member(3, "south", false)});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, addresses.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(directory_test);

} // namespace

} // namespace pimentoferry::gateway
