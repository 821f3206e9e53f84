#include "pimentoferry/routing/domain_choice.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

constexpr fractional_ms service{30};
constexpr fractional_ms budget{150};
constexpr domain_price price{fractional_ms{1}, fractional_ms{10}};

class domain_choice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(domain_choice_test);
    CPPUNIT_TEST(a_call_stays_while_its_domain_has_places);
    CPPUNIT_TEST(a_call_leaves_when_it_would_wait_for_longer_than_that_costs);
    CPPUNIT_TEST(a_call_leaves_a_slow_replica);
    CPPUNIT_TEST(a_call_that_is_in_time_only_elsewhere_leaves_at_any_price);
    CPPUNIT_TEST(two_overloaded_domains_do_not_exchange_their_calls);
    CPPUNIT_TEST_SUITE_END();

    static bool leaves(const replica_load& home, const replica_load& away) {
        return leaving_pays(completion_time(home), completion_time(away),
                            budget, price);
    }

    // Guards against bytes between domains that gain nothing.
    void a_call_stays_while_its_domain_has_places() {
        for (std::uint32_t calls = 0; calls < 6; ++calls) {
            CPPUNIT_ASSERT(!leaves({calls, 6, service}, {0, 6, service}));
        }
    }

    void a_call_leaves_when_it_would_wait_for_longer_than_that_costs() {
        CPPUNIT_ASSERT(!leaves({7, 6, service}, {0, 6, service}));
        CPPUNIT_ASSERT(leaves({8, 6, service}, {0, 6, service}));
    }

    // A replica that turns 2.5 times slower for some hundred ms.
    void a_call_leaves_a_slow_replica() {
        CPPUNIT_ASSERT(leaves({2, 6, service * 2.5}, {2, 6, service}));
        CPPUNIT_ASSERT(!leaves({2, 6, service * 1.2}, {2, 6, service}));
    }

    void a_call_that_is_in_time_only_elsewhere_leaves_at_any_price() {
        const domain_price dear{fractional_ms{1}, fractional_ms{10'000}};
        CPPUNIT_ASSERT(
            leaving_pays(fractional_ms{200}, fractional_ms{140}, budget, dear));
        CPPUNIT_ASSERT(!leaving_pays(fractional_ms{200}, fractional_ms{160},
                                     budget, dear));
        CPPUNIT_ASSERT(
            !leaving_pays(fractional_ms{140}, fractional_ms{30}, budget, dear));
    }

    // Guards against two domains that send their calls to each other.
    void two_overloaded_domains_do_not_exchange_their_calls() {
        const replica_load first{12, 6, service};
        const replica_load second{13, 6, service};
        CPPUNIT_ASSERT(!leaves(first, second));
        CPPUNIT_ASSERT(!leaves(second, first));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(domain_choice_test);

} // namespace

} // namespace pimentoferry::routing
