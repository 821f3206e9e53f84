#include "pimentoferry/orders/fencing_lease.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::orders {
namespace {

using std::chrono::seconds;

class fencing_lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fencing_lease_test);
    CPPUNIT_TEST(acquires_a_lease_without_holder);
    CPPUNIT_TEST(does_not_acquire_a_held_lease);
    CPPUNIT_TEST(confirms_the_key_after_a_lost_write_result);
    CPPUNIT_TEST(validity_starts_when_a_renewal_is_sent);
    CPPUNIT_TEST(no_fencing_number_close_to_lease_expiry);
    CPPUNIT_TEST(ignores_results_of_abandoned_operations);
    CPPUNIT_TEST_SUITE_END();

    fencing_lease lease_{base::instance_id{7}};
    base::time_point now_{seconds{100}};

    store::operation
    single_operation(const std::vector<store::operation>& operations) {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, operations.size());
        return operations.front();
    }

    store::operation start_to_acquire() {
        const auto read = single_operation(lease_.tick(true, now_));
        const auto grant = single_operation(
            lease_.handle({read.token_, store::not_found{}}, now_));
        return single_operation(lease_.handle(
            {grant.token_, store::lease_granted{store::lease_id{3}}}, now_));
    }

    void acquire() {
        const auto write = start_to_acquire();
        lease_.handle({write.token_, store::written{41}}, now_);
    }

public:
    void acquires_a_lease_without_holder() {
        acquire();
        CPPUNIT_ASSERT(lease_.fencing_number(now_) == std::uint64_t{41});
    }

    void does_not_acquire_a_held_lease() {
        const auto read = single_operation(lease_.tick(true, now_));
        const auto next =
            lease_.handle({read.token_, store::found{"other", 12}}, now_);
        CPPUNIT_ASSERT(next.empty());
        CPPUNIT_ASSERT(!lease_.fencing_number(now_));
    }

    void confirms_the_key_after_a_lost_write_result() {
        const auto write = start_to_acquire();
        const auto value = std::get<store::put>(write.request_).value_;
        const auto read = single_operation(
            lease_.handle({write.token_, store::unavailable{}}, now_));
        lease_.handle({read.token_, store::found{value, 44}}, now_);
        CPPUNIT_ASSERT(lease_.fencing_number(now_) == std::uint64_t{44});
    }

    // Guards against a validity that starts at the reply: the store may have
    // renewed the lease seconds before a slow reply arrived.
    void validity_starts_when_a_renewal_is_sent() {
        acquire();
        const auto renew =
            single_operation(lease_.tick(true, now_ + seconds{3}));
        lease_.handle({renew.token_, store::lease_granted{store::lease_id{3}}},
                      now_ + seconds{6});
        CPPUNIT_ASSERT(lease_.fencing_number(now_ + seconds{8}));
        CPPUNIT_ASSERT(!lease_.fencing_number(now_ + seconds{9}));
    }

    void no_fencing_number_close_to_lease_expiry() {
        acquire();
        CPPUNIT_ASSERT(!lease_.fencing_number(now_ + lease_margin));
        CPPUNIT_ASSERT(lease_margin < lease_ttl);
    }

    // Guards against a paused process that mistakes the reply to an abandoned
    // operation for the reply to the pending one.
    void ignores_results_of_abandoned_operations() {
        const auto read = single_operation(lease_.tick(true, now_));
        const auto later = now_ + lease_operation_timeout + seconds{1};
        single_operation(lease_.tick(true, later));
        const auto next =
            lease_.handle({read.token_, store::not_found{}}, later);
        CPPUNIT_ASSERT(next.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fencing_lease_test);

} // namespace
} // namespace pimentoferry::orders
