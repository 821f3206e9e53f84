#include "pimentoferry/store/availability.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::store {

namespace {

using base::milliseconds;

class availability_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(availability_test);
    CPPUNIT_TEST(first_answer_of_a_process_is_not_a_return);
    CPPUNIT_TEST(answer_after_unanswered_calls_is_a_return);
    CPPUNIT_TEST(short_loss_of_the_link_is_not_an_outage);
    CPPUNIT_TEST(peer_refutes_an_outage_of_the_own_link);
    CPPUNIT_TEST(confirmed_gateway_does_not_report_a_return);
    CPPUNIT_TEST(earliest_notice_of_a_return_counts);
    CPPUNIT_TEST(peer_that_started_after_an_outage_does_not_hide_it);
    CPPUNIT_TEST(late_report_of_a_time_before_the_outage_is_ignored);
    CPPUNIT_TEST(only_own_answers_are_reported);
    CPPUNIT_TEST(outage_is_reported_by_a_gateway_that_heard_of_it);
    CPPUNIT_TEST_SUITE_END();

    availability known_;

    static base::time_point at(double seconds) {
        return base::time_point{
            milliseconds{static_cast<std::int64_t>(seconds * 1000)}};
    }

    void answers(double from, double until) {
        for (double t = from; t <= until; t += 1) {
            known_.record_answer(at(t));
        }
        known_.record_answer(at(until));
    }

    // Guards against instances that are kept after their removal by a gateway
    // that has just started.
    void first_answer_of_a_process_is_not_a_return() {
        known_.record_answer(at(1000));
        CPPUNIT_ASSERT(!known_.returned_at());
    }

    // Guards against the loss of all instances after an outage of the store.
    void answer_after_unanswered_calls_is_a_return() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.record_failure(at(12));
        known_.record_answer(at(14));
        CPPUNIT_ASSERT(known_.returned_at() == at(14));
        answers(15, 20);
        CPPUNIT_ASSERT(known_.returned_at() == at(14));
    }

    void short_loss_of_the_link_is_not_an_outage() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.record_answer(at(11.2));
        CPPUNIT_ASSERT(!known_.returned_at());
    }

    // Guards against instances that are kept after their removal by a gateway
    // that was cut off while the store worked.
    void peer_refutes_an_outage_of_the_own_link() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.record_answer(at(17));
        CPPUNIT_ASSERT(known_.returned_at() == at(17));
        known_.merge({at(-5), at(16), false});
        CPPUNIT_ASSERT(!known_.returned_at());
    }

    // Guards against a belief in an outage that lasts for the life of the
    // process, because a gateway that peers confirm makes no calls of its own.
    void confirmed_gateway_does_not_report_a_return() {
        answers(0, 10);
        known_.record_failure(at(11));
        for (double t = 11; t < 30; t += 1) {
            known_.merge({at(-5), at(t), false});
        }
        CPPUNIT_ASSERT(!known_.own_link_up());
        known_.record_answer(at(30.5));
        CPPUNIT_ASSERT(!known_.returned_at());
    }

    // Guards against a time of keeping that begins with the late notice of the
    // store's return.
    void earliest_notice_of_a_return_counts() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.record_answer(at(15));
        known_.merge({at(14.2), at(15.3), true});
        CPPUNIT_ASSERT(known_.returned_at() == at(14.2));
        CPPUNIT_ASSERT(known_.source() == told_by::peer);
        known_.merge({at(15.6), at(15.7), true});
        CPPUNIT_ASSERT(known_.returned_at() == at(14.2));
    }

    void peer_that_started_after_an_outage_does_not_hide_it() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.merge({at(14), at(14), false});
        CPPUNIT_ASSERT(known_.returned_at() == at(14));
        known_.merge({at(13.9), at(14.5), false});
        CPPUNIT_ASSERT(known_.returned_at() == at(13.9));
    }

    void late_report_of_a_time_before_the_outage_is_ignored() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.record_answer(at(14));
        known_.merge({at(-5), at(10.5), false});
        CPPUNIT_ASSERT(known_.returned_at() == at(14));
    }

    // Guards against reports that refresh each other after the last answer.
    void only_own_answers_are_reported() {
        known_.merge({at(0), at(5), false});
        CPPUNIT_ASSERT(known_.report()->last_answer_ == at(0));
        known_.record_answer(at(6));
        known_.merge({at(0), at(9), false});
        CPPUNIT_ASSERT(known_.report()->last_answer_ == at(6));
        CPPUNIT_ASSERT(known_.span()->last_answer_ == at(9));
    }

    // Guards against a gateway that receives the removals of an outage from a
    // peer that has not called the store since, and takes them as final.
    void outage_is_reported_by_a_gateway_that_heard_of_it() {
        answers(0, 10);
        known_.record_failure(at(11));
        known_.merge({at(14), at(14.5), true});
        availability told;
        told.record_answer(at(10));
        told.merge(*known_.report());
        CPPUNIT_ASSERT(told.returned_at() == at(14));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(availability_test);

} // namespace

} // namespace pimentoferry::store
