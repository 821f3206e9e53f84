#include "pimentoferry/routing/announced_limits.hpp"

#include <algorithm>

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::upstream_name replica{"i-1"};

class announced_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(announced_limits_test);
    CPPUNIT_TEST(limit_holds_until_a_later_answer_comes_without_it);
    CPPUNIT_TEST(answer_that_was_overtaken_does_not_end_a_limit);
    CPPUNIT_TEST(stricter_of_two_overlapping_answers_holds);
    CPPUNIT_TEST(late_message_does_not_restore_an_ended_limit);
    CPPUNIT_TEST(evidence_converges_in_any_order);
    CPPUNIT_TEST(new_run_of_an_instance_has_no_limit);
    CPPUNIT_TEST(answers_without_limit_leave_no_record);
    CPPUNIT_TEST_SUITE_END();

    base::time_point start_{std::chrono::hours{1}};
    announced_limits limits_;

    /// An answer to a request sent at `sent` and received at `received`.
    announced_limit answer(std::optional<double> limit,
                           milliseconds sent,
                           milliseconds received,
                           std::uint64_t run = 1) const {
        return {replica, run, limit, start_ + sent, start_ + received};
    }

    void check_limit(std::optional<double> expected) {
        CPPUNIT_ASSERT(limits_.limit_of(replica) == expected);
    }

    void limit_holds_until_a_later_answer_comes_without_it() {
        CPPUNIT_ASSERT(limits_.merge(answer(14.0, seconds{1}, seconds{2})) ==
                       limit_change::begun);
        check_limit(14.0);
        CPPUNIT_ASSERT(limits_.merge(answer(7.0, seconds{3}, seconds{4})) ==
                       limit_change::changed);
        check_limit(7.0);
        CPPUNIT_ASSERT(
            limits_.merge(answer(std::nullopt, seconds{5}, seconds{6})) ==
            limit_change::ended);
        check_limit(std::nullopt);
    }

    // Guards against an answer from before the limit that arrives after it and
    // ends it.
    void answer_that_was_overtaken_does_not_end_a_limit() {
        limits_.merge(answer(14.0, seconds{1}, seconds{2}));
        CPPUNIT_ASSERT(limits_.merge(answer(std::nullopt, milliseconds{500},
                                            seconds{3})) == limit_change::none);
        check_limit(14.0);
    }

    void stricter_of_two_overlapping_answers_holds() {
        limits_.merge(answer(7.0, seconds{1}, seconds{3}));
        CPPUNIT_ASSERT(limits_.merge(answer(14.0, seconds{2}, seconds{4})) ==
                       limit_change::none);
        check_limit(7.0);
        // A request that was sent after both answers decides.
        limits_.merge(answer(14.0, seconds{4}, seconds{5}));
        check_limit(14.0);
    }

    // Guards against gateways that tell each other of an ended limit for good.
    void late_message_does_not_restore_an_ended_limit() {
        const auto begun = answer(14.0, seconds{1}, seconds{2});
        limits_.merge(begun);
        limits_.merge(answer(std::nullopt, seconds{2}, seconds{3}));
        CPPUNIT_ASSERT(limits_.merge(begun) == limit_change::none);
        check_limit(std::nullopt);
    }

    void evidence_converges_in_any_order() {
        const std::vector<announced_limit> heard{
            answer(14.0, seconds{1}, seconds{2}),
            answer(7.0, milliseconds{1500}, seconds{3}),
            answer(std::nullopt, milliseconds{3500}, seconds{5}),
            answer(9.0, seconds{4}, milliseconds{4500})};
        std::vector<std::size_t> order{0, 1, 2, 3};
        do {
            announced_limits each;
            // Every gateway hears all evidence again from the others.
            for (int round = 0; round < 2; ++round) {
                for (const auto i : order) {
                    each.merge(heard[i]);
                }
            }
            CPPUNIT_ASSERT(each.limit_of(replica) == std::optional{9.0});
        } while (std::ranges::next_permutation(order).found);
    }

    void new_run_of_an_instance_has_no_limit() {
        limits_.merge(answer(14.0, seconds{1}, seconds{9}));
        CPPUNIT_ASSERT(
            limits_.merge(answer(std::nullopt, seconds{5}, seconds{6}, 2)) ==
            limit_change::ended);
        // An answer of the earlier run says nothing about this one.
        CPPUNIT_ASSERT(limits_.merge(answer(3.0, seconds{7}, seconds{8}, 1)) ==
                       limit_change::none);
        check_limit(std::nullopt);
    }

    void answers_without_limit_leave_no_record() {
        limits_.merge(answer(std::nullopt, seconds{1}, seconds{2}));
        CPPUNIT_ASSERT(limits_.all().empty());
        limits_.merge(answer(14.0, seconds{3}, seconds{4}));
        limits_.merge(answer(std::nullopt, seconds{5}, seconds{6}));
        const auto always = [](const announced_limit&) { return true; };
        limits_.retain(always, start_ + seconds{7});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, limits_.all().size());
        limits_.retain(always, start_ + seconds{60});
        CPPUNIT_ASSERT(limits_.all().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(announced_limits_test);

} // namespace
} // namespace pimentoferry::routing
