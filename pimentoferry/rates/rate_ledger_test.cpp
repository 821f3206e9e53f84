#include "pimentoferry/rates/rate_ledger.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::rates {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rate_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rate_ledger_test);
    CPPUNIT_TEST(use_is_limited_to_the_rate_and_the_capacity);
    CPPUNIT_TEST(a_new_owner_starts_with_little);
    CPPUNIT_TEST(a_lower_rate_takes_effect_at_once);
    CPPUNIT_TEST(a_request_over_the_capacity_is_granted_when_nothing_is_used);
    CPPUNIT_TEST(refused_callers_are_told_different_times);
    CPPUNIT_TEST(use_that_is_given_back_can_be_used_again);
    CPPUNIT_TEST(scarcity_ends_later_than_it_begins);
    CPPUNIT_TEST(an_owner_of_a_part_of_the_fleet_grants_that_part);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point start_{seconds{100}};

    static bool
    granted(rate_ledger& ledger, double amount, base::time_point at) {
        return std::holds_alternative<rate_granted>(
            *ledger.request("a", amount, at));
    }

    rate_ledger full_ledger(const rate_terms& terms) const {
        rate_ledger ledger;
        ledger.set("a", terms, start_ - seconds{60});
        return ledger;
    }

    // Guards against an account that gets more than its quota in some window.
    void use_is_limited_to_the_rate_and_the_capacity() {
        auto ledger = full_ledger({1000, 500});
        double used = 0;
        for (int ms = 0; ms < 8000; ++ms) {
            used += granted(ledger, 50, start_ + milliseconds{ms}) ? 50 : 0;
        }
        CPPUNIT_ASSERT(used <= 8 * 1000 + 500);
        CPPUNIT_ASSERT(used >= 8 * 1000 + 500 - 50);
    }

    void a_new_owner_starts_with_little() {
        rate_ledger ledger;
        ledger.set("a", {1000, 1000}, start_);
        CPPUNIT_ASSERT(granted(ledger, 250, start_));
        CPPUNIT_ASSERT(!granted(ledger, 1, start_));
    }

    void a_lower_rate_takes_effect_at_once() {
        auto ledger = full_ledger({1000, 1000});
        ledger.set("a", {100, 100}, start_);
        CPPUNIT_ASSERT(granted(ledger, 100, start_));
        CPPUNIT_ASSERT(!granted(ledger, 100, start_ + milliseconds{900}));
        CPPUNIT_ASSERT(granted(ledger, 100, start_ + milliseconds{1000}));
    }

    // Guards against a long prompt that can never be served, and against its
    // use being forgotten.
    void a_request_over_the_capacity_is_granted_when_nothing_is_used() {
        auto ledger = full_ledger({100, 100});
        CPPUNIT_ASSERT(granted(ledger, 300, start_));
        CPPUNIT_ASSERT(!granted(ledger, 300, start_ + milliseconds{2900}));
        CPPUNIT_ASSERT(granted(ledger, 300, start_ + milliseconds{3000}));
    }

    // Guards against refused callers that all return at the same moment.
    void refused_callers_are_told_different_times() {
        auto ledger = full_ledger({1000, 100});
        CPPUNIT_ASSERT(granted(ledger, 100, start_));
        const auto wait = [&] {
            return std::get<rate_refused>(*ledger.request("a", 100, start_))
                .wait_;
        };
        CPPUNIT_ASSERT(wait() == milliseconds{100});
        CPPUNIT_ASSERT(wait() == milliseconds{200});
        CPPUNIT_ASSERT(wait() == milliseconds{300});
    }

    void use_that_is_given_back_can_be_used_again() {
        auto ledger = full_ledger({100, 100});
        CPPUNIT_ASSERT(granted(ledger, 100, start_));
        ledger.charge("a", -100, start_);
        CPPUNIT_ASSERT(granted(ledger, 100, start_));
        ledger.charge("a", -500, start_);
        CPPUNIT_ASSERT(!granted(ledger, 100, start_) ||
                       !granted(ledger, 100, start_));
    }

    // Guards against gateways that are told to ask and not to ask by turns.
    void scarcity_ends_later_than_it_begins() {
        auto ledger = full_ledger({100, 100});
        CPPUNIT_ASSERT(!ledger.state("a", start_)->scarce_);
        ledger.charge("a", 60, start_);
        CPPUNIT_ASSERT(ledger.state("a", start_)->scarce_);
        CPPUNIT_ASSERT(ledger.state("a", start_ + milliseconds{300})->scarce_);
        CPPUNIT_ASSERT(!ledger.state("a", start_ + milliseconds{400})->scarce_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ledger.scarce(start_).size());
        CPPUNIT_ASSERT(ledger.scarce(start_ + seconds{3}).empty());
    }

    // Guards against the two sides of a partition granting the whole rate each.
    void an_owner_of_a_part_of_the_fleet_grants_that_part() {
        auto ledger = full_ledger({1000, 100});
        CPPUNIT_ASSERT(granted(ledger, 100, start_));
        ledger.set_part(0.5, start_);
        CPPUNIT_ASSERT(!granted(ledger, 100, start_ + milliseconds{190}));
        CPPUNIT_ASSERT(granted(ledger, 100, start_ + milliseconds{200}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_ledger_test);

} // namespace

} // namespace pimentoferry::rates
