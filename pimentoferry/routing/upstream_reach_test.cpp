#include "pimentoferry/routing/upstream_reach.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

class upstream_reach_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(upstream_reach_test);
    CPPUNIT_TEST(one_instance_that_ended_does_not_isolate_the_gateway);
    CPPUNIT_TEST(a_new_connection_to_any_instance_ends_the_isolation);
    CPPUNIT_TEST(two_instances_that_ended_confirm_nothing);
    CPPUNIT_TEST_SUITE_END();

    upstream_reach reach_;

    // Guards against a gateway that takes the crash of a replica for its own.
    void one_instance_that_ended_does_not_isolate_the_gateway() {
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(!reach_.failed(base::upstream_name{"a"}));
        }
        CPPUNIT_ASSERT(!reach_.isolated());
        CPPUNIT_ASSERT(!reach_.connected());
        CPPUNIT_ASSERT(!reach_.failed(base::upstream_name{"b"}));
        CPPUNIT_ASSERT(!reach_.isolated());
    }

    // Guards against a gateway that stays out of use after its links are back.
    void a_new_connection_to_any_instance_ends_the_isolation() {
        reach_.failed(base::upstream_name{"a"});
        CPPUNIT_ASSERT(reach_.failed(base::upstream_name{"b"}));
        CPPUNIT_ASSERT(!reach_.failed(base::upstream_name{"c"}));
        CPPUNIT_ASSERT(reach_.isolated());
        CPPUNIT_ASSERT(reach_.connected());
        CPPUNIT_ASSERT(!reach_.isolated());
    }

    // Guards against a call that goes on to crash replicas because two of them,
    // which it has ended, pass for a fault of the gateway's links.
    void two_instances_that_ended_confirm_nothing() {
        reach_.failed(base::upstream_name{"a"});
        reach_.failed(base::upstream_name{"b"});
        CPPUNIT_ASSERT(reach_.has_failed(base::upstream_name{"a"}));
        CPPUNIT_ASSERT(!reach_.has_failed(base::upstream_name{"c"}));
        CPPUNIT_ASSERT(!reach_.isolated_unconfirmed());
        reach_.failed(base::upstream_name{"c"});
        CPPUNIT_ASSERT(reach_.isolated_unconfirmed());
        reach_.connected();
        CPPUNIT_ASSERT(!reach_.has_failed(base::upstream_name{"a"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_reach_test);

} // namespace

} // namespace pimentoferry::routing
