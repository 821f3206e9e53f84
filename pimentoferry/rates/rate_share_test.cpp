#include "pimentoferry/rates/rate_share.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::rates {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class rate_share_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(rate_share_test);
    CPPUNIT_TEST(requests_far_below_the_rate_need_no_owner);
    CPPUNIT_TEST(use_without_a_confirmation_is_limited);
    CPPUNIT_TEST(a_scarce_rate_needs_the_owner);
    CPPUNIT_TEST(a_refusal_answers_for_some_requests);
    CPPUNIT_TEST(unconfirmed_use_is_reported_again);
    CPPUNIT_TEST(gateways_without_an_owner_use_the_rate_together);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point start_{seconds{100}};

    rate_share make_share(const rate_terms& terms,
                          std::uint32_t fleet,
                          std::uint64_t seed = 1) const {
        rate_share share{seed};
        share.set("a", terms, start_);
        share.set_fleet(fleet);
        return share;
    }

    static bool is_admitted(const share_decision& decided) {
        return std::holds_alternative<admitted>(decided);
    }
    static bool asks(const share_decision& decided) {
        return std::holds_alternative<ask_owner>(decided);
    }

    void requests_far_below_the_rate_need_no_owner() {
        auto share = make_share({1000, 1000}, 10);
        CPPUNIT_ASSERT(is_admitted(share.admit("a", 100, start_)));
        const auto reports = share.take_reports(start_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, reports.front().amount_, 1e-9);
        share.confirmed("a", reports.front().sequence_);
        CPPUNIT_ASSERT(is_admitted(share.admit("a", 100, start_)));
        CPPUNIT_ASSERT(is_admitted(share.admit("unknown", 1e9, start_)));
    }

    // Guards against a gateway that is cut off from the owner and goes on
    // admitting.
    void use_without_a_confirmation_is_limited() {
        auto share = make_share({1000, 1000}, 10);
        CPPUNIT_ASSERT(is_admitted(share.admit("a", 400, start_)));
        CPPUNIT_ASSERT(asks(share.admit("a", 1, start_ + seconds{5})));
        auto small = make_share({1000, 1000}, 10);
        for (int i = 0; i < 5; ++i) {
            CPPUNIT_ASSERT(is_admitted(small.admit("a", 10, start_)));
        }
        CPPUNIT_ASSERT(asks(small.admit("a", 10, start_)));
    }

    void a_scarce_rate_needs_the_owner() {
        auto share = make_share({1000, 1000}, 10);
        share.owner_said("a", true);
        CPPUNIT_ASSERT(asks(share.admit("a", 1, start_)));
        CPPUNIT_ASSERT(asks(share.admit("a", 1, start_ + seconds{60})));
        share.owner_said("a", false);
        CPPUNIT_ASSERT(is_admitted(share.admit("a", 1, start_ + seconds{60})));
        CPPUNIT_ASSERT(asks(share.admit("a", 600, start_ + seconds{60})));
        const auto reports = share.take_reports(start_ + seconds{61});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
        share.confirmed("a", reports.front().sequence_);
        share.set_detached(true);
        CPPUNIT_ASSERT(asks(share.admit("a", 1, start_ + seconds{60})));
    }

    // Guards against an owner that is asked for each request of an account
    // that sends many times its quota.
    void a_refusal_answers_for_some_requests() {
        auto share = make_share({1000, 1000}, 10);
        share.owner_refused("a", seconds{1}, start_);
        const auto decided = share.admit("a", 1, start_ + milliseconds{50});
        CPPUNIT_ASSERT(std::get<over_rate>(decided).wait_ == milliseconds{950});
        CPPUNIT_ASSERT(!std::holds_alternative<over_rate>(
            share.admit("a", 1, start_ + milliseconds{100})));
    }

    // Guards against use that a new owner never learns of because its report
    // went to one that had ended.
    void unconfirmed_use_is_reported_again() {
        auto share = make_share({1000, 1000}, 10);
        CPPUNIT_ASSERT(is_admitted(share.admit("a", 100, start_)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, share.take_reports(start_).size());
        CPPUNIT_ASSERT(share.take_unconfirmed(start_).empty());
        const auto later = start_ + milliseconds{300};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             share.take_unconfirmed(later).size());
        const auto again = share.take_reports(later);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, again.front().amount_, 1e-9);
    }

    // Guards against many gateways that lose the owner at once and each admit
    // a request, and against none of them admitting any.
    void gateways_without_an_owner_use_the_rate_together() {
        constexpr std::uint32_t gateways = 84;
        constexpr double rate = 18'000;
        constexpr double amount = 6400;
        double used = 0;
        for (std::uint32_t i = 0; i < gateways; ++i) {
            auto share = make_share({rate, rate}, gateways, i + 1);
            for (int ms = 0; ms < 8000; ms += 100) {
                used += is_admitted(share.admit_alone(
                            "a", amount, start_ + milliseconds{ms}))
                            ? amount
                            : 0;
            }
        }
        CPPUNIT_ASSERT(used <= (rate * 8 + rate) * 1.1 + 73'000);
        CPPUNIT_ASSERT(used >= rate * 8 / 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rate_share_test);

} // namespace

} // namespace pimentoferry::rates
