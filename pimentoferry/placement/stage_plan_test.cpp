#include "pimentoferry/placement/stage_plan.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace pimentoferry::placement {

namespace {

/// Prompts of 5,200 tokens with a prefill rate of 55 tokens per ms; answers
/// that hold 7,800 tokens for 3.5 s.
stream_demand usual_demand() {
    return {fractional_ms{5200.0 / 55}, 7800.0 * 3500, 107'000};
}

planned_engine make_engine(const std::string& id,
                           engine_role role,
                           const std::string& domain,
                           std::uint32_t active_requests) {
    return {base::upstream_name{id}, role, base::failure_domain{domain},
            active_requests,         true, std::nullopt};
}

class stage_plan_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stage_plan_test);
    CPPUNIT_TEST(idle_prefill_engines_go_to_decode);
    CPPUNIT_TEST(long_prompts_need_more_prefill);
    CPPUNIT_TEST(neither_role_loses_its_last_engine);
    CPPUNIT_TEST(a_small_drift_keeps_the_split);
    CPPUNIT_TEST(the_least_busy_engine_of_the_largest_domain_changes);
    CPPUNIT_TEST(a_planned_split_needs_no_change);
    CPPUNIT_TEST(limits_of_decode_engines_count_in_the_plan);
    CPPUNIT_TEST(limited_prefill_engines_are_replaced);
    CPPUNIT_TEST(a_pool_of_any_size_is_changed_at_once);
    CPPUNIT_TEST(an_unresponsive_engine_is_not_changed);
    CPPUNIT_TEST(few_slots_need_more_decode_engines);
    CPPUNIT_TEST_SUITE_END();

    void idle_prefill_engines_go_to_decode() {
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{2},
                             plan_prefill_engines(usual_demand(), 9));
    }

    void long_prompts_need_more_prefill() {
        auto demand = usual_demand();
        demand.prefill_time_ *= 4;
        CPPUNIT_ASSERT(plan_prefill_engines(demand, 9) > 3);
    }

    void neither_role_loses_its_last_engine() {
        auto demand = usual_demand();
        for (std::uint32_t engines = 2; engines < 50; ++engines) {
            for (const double prompt : {1.0, 5000.0, 1e9}) {
                demand.prefill_time_ = fractional_ms{prompt / 55};
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
                drifted.prefill_time_ *= drift;
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

    /// Nine engines, of which the prefill engines are `limited_prefill` of
    /// three and the decode engines `limited_decode` of six.
    static std::vector<planned_engine>
    partly_limited(double per_s, int limited_prefill, int limited_decode) {
        std::vector<planned_engine> engines;
        for (int i = 0; i < 9; ++i) {
            const bool prefill = i < 3;
            engines.push_back(make_engine(std::to_string(i),
                                          prefill ? engine_role::prefill
                                                  : engine_role::decode,
                                          std::to_string(i % 3), 1));
            const int number = prefill ? i : i - 3;
            if (number < (prefill ? limited_prefill : limited_decode)) {
                engines.back().requests_per_s_ = per_s;
            }
        }
        return engines;
    }

    // Guards against decode engines that are given to prefill although the
    // limits of the other decode engines are what binds.
    void limits_of_decode_engines_count_in_the_plan() {
        CPPUNIT_ASSERT(plan_prefill_engines(usual_demand(),
                                            partly_limited(1.0, 2, 4)) <= 3);
    }

    void limited_prefill_engines_are_replaced() {
        const auto engines = partly_limited(0.5, 3, 0);
        CPPUNIT_ASSERT(plan_prefill_engines(usual_demand(), engines) > 3);
        const auto change = next_stage_change(engines, 4);
        CPPUNIT_ASSERT(change->role_ == engine_role::prefill);
        // The limited engine becomes the decode engine.
        const auto back = next_stage_change(partly_limited(0.5, 1, 0), 2);
        CPPUNIT_ASSERT_EQUAL(std::string{"0"}, back->engine_.value_);
    }

    // Guards against a split that follows its plan one engine at a time: with
    // 140 engines and 7 s a change that takes minutes.
    void a_pool_of_any_size_is_changed_at_once() {
        for (const std::uint32_t count : {9U, 40U, 140U, 860U}) {
            std::vector<planned_engine> engines;
            for (std::uint32_t i = 0; i < count; ++i) {
                // One in fifty prefills.
                engines.push_back(make_engine(std::to_string(i),
                                              i % 50 == 0 ? engine_role::prefill
                                                          : engine_role::decode,
                                              std::to_string(i % 4), i % 7));
            }
            const auto before = static_cast<std::uint32_t>(std::ranges::count(
                engines, engine_role::prefill, &planned_engine::role_));
            const auto target = count / 3;
            const auto changes = stage_changes(engines, target);
            CPPUNIT_ASSERT_EQUAL(std::size_t{target - before}, changes.size());
            std::set<base::upstream_name> changed;
            for (const auto& change : changes) {
                CPPUNIT_ASSERT(change.role_ == engine_role::prefill);
                changed.insert(change.engine_);
            }
            CPPUNIT_ASSERT_EQUAL(changes.size(), changed.size());
        }
    }

    // Guards against an order that is repeated to an engine in trouble while
    // others could take it.
    void an_unresponsive_engine_is_not_changed() {
        std::vector<planned_engine> engines{
            make_engine("a", engine_role::prefill, "north", 0),
            make_engine("b", engine_role::prefill, "north", 5),
            make_engine("d", engine_role::decode, "north", 0)};
        engines[0].responsive_ = false;
        const auto changes = stage_changes(engines, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"b"}, changes[0].engine_.value_);
        engines[1].responsive_ = false;
        CPPUNIT_ASSERT(stage_changes(engines, 1).empty());
    }

    // Guards against a plan by memory alone for engines whose slots are taken
    // before their memory.
    void few_slots_need_more_decode_engines() {
        auto demand = usual_demand();
        const auto by_memory = plan_prefill_engines(demand, 40);
        demand.answer_time_ = fractional_ms{3500};
        demand.slots_ = 4;
        CPPUNIT_ASSERT(plan_prefill_engines(demand, 40) < by_memory);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stage_plan_test);

} // namespace

} // namespace pimentoferry::placement
