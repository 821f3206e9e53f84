// Simulates the loads of the sites with the stream scheduler. The bounds are
// the users' acceptance criterion and comparisons with the baselines.

#include "bench/stream_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::bench {

namespace {

constexpr std::uint64_t seeds = 3;

class stream_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_load_test);
    CPPUNIT_TEST(scheduler_outperforms_baselines_when_memory_is_scarce);
    CPPUNIT_TEST(large_prompts_are_served_at_least_half_as_often);
    CPPUNIT_TEST(low_load_is_served_on_time);
    CPPUNIT_TEST(planned_split_increases_value);
    CPPUNIT_TEST_SUITE_END();

    static double mean_value(const scenario& load,
                             stream_policy (*make)(const scenario&)) {
        double sum = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            sum += run_streams(load, seed, make(load)).value_;
        }
        return sum / static_cast<double>(seeds);
    }

    static stream_policy scheduler(const scenario& load) {
        return scheduler_policy(load);
    }

    // Guards against a loss of the scheduler's advantage in bursts of two to
    // four times the usual load with answers of unknown length: the
    // fewest-streams baseline wastes prefill work, and reserving memory for
    // whole answers leaves memory unused.
    void scheduler_outperforms_baselines_when_memory_is_scarce() {
        for (const auto& load : usual_scenarios()) {
            const double ours = mean_value(load, scheduler);
            CPPUNIT_ASSERT(ours > mean_value(load, fewest_streams_policy));
            CPPUNIT_ASSERT(ours > mean_value(load, whole_answer_policy));
        }
    }

    // Acceptance criterion: the largest prompts are served at least half as
    // often as all prompts.
    void large_prompts_are_served_at_least_half_as_often() {
        for (const auto& usual : usual_scenarios()) {
            const auto load = with_planned_split(usual);
            const auto outcome = run_streams(load, 1, scheduler_policy(load));
            const double served =
                static_cast<double>(outcome.on_time_ + outcome.late_) /
                outcome.requests_;
            CPPUNIT_ASSERT(outcome.large_prompts_served_ >= served / 2);
        }
    }

    void low_load_is_served_on_time() {
        for (auto load : usual_scenarios()) {
            load.bursts_.clear();
            load = with_planned_split(load);
            load.streams_per_second_ /= 2;
            const auto outcome = run_streams(load, 1, scheduler_policy(load));
            CPPUNIT_ASSERT_EQUAL(outcome.requests_, outcome.on_time_);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, outcome.preemptions_);
        }
    }

    void planned_split_increases_value() {
        for (const auto& usual : usual_scenarios()) {
            CPPUNIT_ASSERT(mean_value(with_planned_split(usual), scheduler) >
                           mean_value(usual, scheduler));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_load_test);

} // namespace

} // namespace pimentoferry::bench
