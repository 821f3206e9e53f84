#include "pimentoferry/orders/fencing_lease.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::orders {
namespace {

using std::chrono::seconds;

class fencing_lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fencing_lease_test);
    CPPUNIT_TEST(acquires_when_nobody_holds_it);
    CPPUNIT_TEST(waits_while_another_holds_it);
    CPPUNIT_TEST(reads_its_mark_back_after_a_lost_answer);
    CPPUNIT_TEST(counts_from_the_start_of_a_slow_renewal);
    CPPUNIT_TEST(stops_before_the_lease_can_lapse);
    CPPUNIT_TEST(drops_late_answers);
    CPPUNIT_TEST_SUITE_END();

    fencing_lease lease_{base::instance_id{7}};
    base::time_point now_{seconds{100}};

    store::operation only(const std::vector<store::operation>& operations) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations.size());
        return operations.front();
    }

    store::operation start_to_acquire() {
        const auto read = only(lease_.tick(true, now_));
        const auto grant =
            only(lease_.handle({read.token_, store::not_found{}}, now_));
        return only(lease_.handle(
            {grant.token_, store::lease_granted{store::lease_id{3}}}, now_));
    }

    void acquire() {
        const auto write = start_to_acquire();
        lease_.handle({write.token_, store::written{41}}, now_);
    }

public:
    void acquires_when_nobody_holds_it() {
        acquire();
        CPPUNIT_ASSERT(lease_.fencing_number(now_) == std::uint64_t{41});
    }

    void waits_while_another_holds_it() {
        const auto read = only(lease_.tick(true, now_));
        const auto next =
            lease_.handle({read.token_, store::found{"other", 12}}, now_);
        CPPUNIT_ASSERT(next.empty());
        CPPUNIT_ASSERT(!lease_.fencing_number(now_));
    }

    void reads_its_mark_back_after_a_lost_answer() {
        const auto write = start_to_acquire();
        const auto value = std::get<store::put>(write.request_).value_;
        const auto read =
            only(lease_.handle({write.token_, store::unavailable{}}, now_));
        lease_.handle({read.token_, store::found{value, 44}}, now_);
        CPPUNIT_ASSERT(lease_.fencing_number(now_) == std::uint64_t{44});
    }

    // Guards against counting from the answer: the store may have renewed the
    // lease seconds before a slow answer arrived.
    void counts_from_the_start_of_a_slow_renewal() {
        acquire();
        const auto renew = only(lease_.tick(true, now_ + seconds{3}));
        lease_.handle({renew.token_, store::lease_granted{store::lease_id{3}}},
                      now_ + seconds{6});
        CPPUNIT_ASSERT(lease_.fencing_number(now_ + seconds{8}));
        CPPUNIT_ASSERT(!lease_.fencing_number(now_ + seconds{9}));
    }

    void stops_before_the_lease_can_lapse() {
        acquire();
        CPPUNIT_ASSERT(!lease_.fencing_number(now_ + lease_margin));
        CPPUNIT_ASSERT(lease_margin < lease_ttl);
    }

    // Guards against a paused process that takes an old answer for a new one.
    void drops_late_answers() {
        const auto read = only(lease_.tick(true, now_));
        const auto later = now_ + lease_operation_timeout + seconds{1};
        only(lease_.tick(true, later));
        const auto next =
            lease_.handle({read.token_, store::not_found{}}, later);
        CPPUNIT_ASSERT(next.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fencing_lease_test);

} // namespace
} // namespace pimentoferry::orders
