#include "pimentoferry/orders/reconciler.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::orders {
namespace {

using config::engine_role;

class reconciler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reconciler_test);
    CPPUNIT_TEST(orders_each_difference_once);
    CPPUNIT_TEST(limits_concurrent_loads);
    CPPUNIT_TEST(keeps_the_last_engine_of_a_pool);
    CPPUNIT_TEST(changes_the_role_only_of_an_idle_engine);
    CPPUNIT_TEST(repeats_an_order_after_an_engine_restart);
    CPPUNIT_TEST(ignores_old_observations);
    CPPUNIT_TEST_SUITE_END();

    reconciler reconciler_;
    config::state state_;
    base::time_point now_{std::chrono::seconds{100}};

    void add_engine(const std::string& name, engine_role role) {
        config::upstream engine;
        engine.name_ = {name};
        engine.deployment_ = {"verdicts"};
        engine.cell_ = {"verdicts"};
        engine.role_ = role;
        state_.upstreams_[engine.name_] = engine;
        reconciler_.set_state(state_);
    }

    observation make_observation(const std::string& name,
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

    void orders_each_difference_once() {
        reconciler_.observe(make_observation("a", engine_role::decode, "0"),
                            now_);
        reconciler_.observe(make_observation("b", engine_role::decode), now_);
        const auto orders = reconciler_.next_orders(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(
            (orders.front().body_ == order_body{load_model{"silage", "1"}}));
        CPPUNIT_ASSERT(reconciler_.next_orders(now_).empty());
    }

    // Guards against a concurrent load of the whole fleet that saturates the
    // weight store.
    void limits_concurrent_loads() {
        for (const char* name : {"a", "b", "c"}) {
            reconciler_.observe(
                make_observation(name, engine_role::decode, "0"), now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             reconciler_.next_orders(now_).size());
        reconciler_.observe(make_observation("a", engine_role::decode), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             reconciler_.next_orders(now_).size());
    }

    void keeps_the_last_engine_of_a_pool() {
        add_engine("p", engine_role::decode);
        reconciler_.observe(make_observation("p", engine_role::prefill), now_);
        CPPUNIT_ASSERT(reconciler_.next_orders(now_).empty());
        add_engine("q", engine_role::prefill);
        reconciler_.observe(make_observation("q", engine_role::prefill), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             reconciler_.next_orders(now_).size());
    }

    void changes_the_role_only_of_an_idle_engine() {
        add_engine("p", engine_role::decode);
        add_engine("q", engine_role::prefill);
        reconciler_.observe(make_observation("q", engine_role::prefill), now_);
        auto busy = make_observation("p", engine_role::prefill);
        busy.running_ = 1;
        reconciler_.observe(busy, now_);
        CPPUNIT_ASSERT(reconciler_.next_orders(now_).empty());
    }

    void repeats_an_order_after_an_engine_restart() {
        reconciler_.observe(make_observation("a", engine_role::decode, "0"),
                            now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             reconciler_.next_orders(now_).size());
        auto restarted = make_observation("a", engine_role::decode, "0");
        restarted.engine_instance_ = 2;
        reconciler_.observe(restarted, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             reconciler_.next_orders(now_).size());
    }

    void ignores_old_observations() {
        reconciler_.observe(make_observation("a", engine_role::decode, "0"),
                            now_);
        CPPUNIT_ASSERT(
            reconciler_.next_orders(now_ + observation_limit).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reconciler_test);

} // namespace
} // namespace pimentoferry::orders
