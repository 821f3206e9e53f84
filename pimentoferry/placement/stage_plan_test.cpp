#include "pimentoferry/placement/stage_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::placement {

namespace {

/// Prompts of 5,200 tokens with a prefill rate of 55 tokens per ms; answers
/// that hold 7,800 tokens for 3.5 s.
stream_demand usual_demand() {
    return {5200, 55, 7800.0 * 3500, 107'000};
}

planned_engine make_engine(const std::string& id,
                           engine_role role,
                           const std::string& domain,
                           std::uint32_t active_requests) {
    return {base::upstream_name{id}, role, base::failure_domain{domain},
            active_requests};
}

class stage_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stage_plan_test);
    CPPUNIT_TEST(idle_prefill_engines_go_to_decode);
    CPPUNIT_TEST(long_prompts_need_more_prefill);
    CPPUNIT_TEST(neither_role_loses_its_last_engine);
    CPPUNIT_TEST(a_small_drift_keeps_the_split);
    CPPUNIT_TEST(the_least_busy_engine_of_the_largest_domain_changes);
    CPPUNIT_TEST(a_planned_split_needs_no_change);
    CPPUNIT_TEST_SUITE_END();

    void idle_prefill_engines_go_to_decode() {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2},
                             plan_prefill_engines(usual_demand(), 9));
    }

    void long_prompts_need_more_prefill() {
        auto demand = usual_demand();
        demand.prompt_tokens_ *= 4;
        CPPUNIT_ASSERT(plan_prefill_engines(demand, 9) > 3);
    }

    void neither_role_loses_its_last_engine() {
        auto demand = usual_demand();
        for (std::uint32_t engines = 2; engines < 50; ++engines) {
            for (const double prompt : {1.0, 5000.0, 1e9}) {
                demand.prompt_tokens_ = prompt;
                const auto prefill = plan_prefill_engines(demand, engines);
                CPPUNIT_ASSERT(prefill >= 1);
                CPPUNIT_ASSERT(prefill < engines);
            }
        }
    }

    // Guards against role changes, each of which takes an engine out of
    // service, that only follow the noise of the learned means.
    void a_small_drift_keeps_the_split() {
        auto demand = usual_demand();
        for (std::uint32_t engines = 4; engines < 50; ++engines) {
            const auto current = plan_prefill_engines(demand, engines);
            for (const double drift : {0.9, 1.1}) {
                auto drifted = demand;
                drifted.prompt_tokens_ *= drift;
                CPPUNIT_ASSERT_EQUAL(
                    current, plan_prefill_engines(drifted, engines, current));
            }
        }
    }

    void the_least_busy_engine_of_the_largest_domain_changes() {
        const std::vector<planned_engine> engines{
            make_engine("a", engine_role::prefill, "north", 0),
            make_engine("b", engine_role::prefill, "south", 9),
            make_engine("c", engine_role::prefill, "south", 2),
            make_engine("d", engine_role::decode, "north", 0)};
        const auto change = next_stage_change(engines, 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"c"}, change->engine_.value_);
        CPPUNIT_ASSERT(change->role_ == engine_role::decode);
    }

    void a_planned_split_needs_no_change() {
        const std::vector<planned_engine> engines{
            make_engine("a", engine_role::prefill, "north", 0),
            make_engine("d", engine_role::decode, "north", 0)};
        CPPUNIT_ASSERT(!next_stage_change(engines, 1).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_plan_test);

} // namespace

} // namespace pimentoferry::placement
