#include "pimentoferry/orders/reconciler.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::orders {
namespace {

using config::engine_role;

class reconciler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reconciler_test);
    CPPUNIT_TEST(orders_what_differs_once);
    CPPUNIT_TEST(paces_loads);
    CPPUNIT_TEST(never_takes_the_last_replica_of_a_pool);
    CPPUNIT_TEST(waits_until_a_replica_is_idle);
    CPPUNIT_TEST(orders_again_after_a_restart);
    CPPUNIT_TEST(ignores_old_observations);
    CPPUNIT_TEST_SUITE_END();

    reconciler plan_;
    config::state state_;
    base::time_point now_{std::chrono::seconds{100}};

    void add_engine(const std::string& name, engine_role role) {
        config::upstream engine;
        engine.name_ = {name};
        engine.deployment_ = {"verdicts"};
        engine.cell_ = {"verdicts"};
        engine.role_ = role;
        state_.upstreams_[engine.name_] = engine;
        plan_.set_state(state_);
    }

    observation seen(const std::string& name,
                     engine_role role,
                     const std::string& version = "1") const {
        observation value;
        value.engine_ = {name};
        value.engine_instance_ = 1;
        value.role_ = role;
        value.model_ = "silage";
        value.version_ = version;
        return value;
    }

public:
    void setUp() override {
        config::deployment served;
        served.name_ = {"verdicts"};
        served.target_ = {"silage", "", "1"};
        state_.deployments_[served.name_] = served;
        add_engine("a", engine_role::decode);
        add_engine("b", engine_role::decode);
        add_engine("c", engine_role::decode);
    }

    void orders_what_differs_once() {
        plan_.observe(seen("a", engine_role::decode, "0"), now_);
        plan_.observe(seen("b", engine_role::decode), now_);
        const auto orders = plan_.next_orders(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(
            (orders.front().body_ == order_body{load_model{"silage", "1"}}));
        CPPUNIT_ASSERT(plan_.next_orders(now_).empty());
    }

    // Guards against a fleet-wide load that saturates the weight store.
    void paces_loads() {
        for (const char* name : {"a", "b", "c"}) {
            plan_.observe(seen(name, engine_role::decode, "0"), now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, plan_.next_orders(now_).size());
        plan_.observe(seen("a", engine_role::decode), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_.next_orders(now_).size());
    }

    void never_takes_the_last_replica_of_a_pool() {
        add_engine("p", engine_role::decode);
        plan_.observe(seen("p", engine_role::prefill), now_);
        CPPUNIT_ASSERT(plan_.next_orders(now_).empty());
        add_engine("q", engine_role::prefill);
        plan_.observe(seen("q", engine_role::prefill), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_.next_orders(now_).size());
    }

    void waits_until_a_replica_is_idle() {
        add_engine("p", engine_role::decode);
        add_engine("q", engine_role::prefill);
        plan_.observe(seen("q", engine_role::prefill), now_);
        auto busy = seen("p", engine_role::prefill);
        busy.running_ = 1;
        plan_.observe(busy, now_);
        CPPUNIT_ASSERT(plan_.next_orders(now_).empty());
    }

    void orders_again_after_a_restart() {
        plan_.observe(seen("a", engine_role::decode, "0"), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_.next_orders(now_).size());
        auto restarted = seen("a", engine_role::decode, "0");
        restarted.engine_instance_ = 2;
        plan_.observe(restarted, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, plan_.next_orders(now_).size());
    }

    void ignores_old_observations() {
        plan_.observe(seen("a", engine_role::decode, "0"), now_);
        CPPUNIT_ASSERT(plan_.next_orders(now_ + observation_limit).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reconciler_test);

} // namespace
} // namespace pimentoferry::orders
