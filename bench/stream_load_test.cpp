// Plays the loads of the sites against the stream scheduler. The bounds are
// those of the users' gate and of comparison, not measured figures.

#include "bench/stream_world.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::bench {

namespace {

constexpr std::uint64_t seeds = 3;

class stream_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_load_test);
    CPPUNIT_TEST(memory_that_binds_is_used_better_than_by_the_baselines);
    CPPUNIT_TEST(large_prompts_are_served_at_least_half_as_often);
    CPPUNIT_TEST(a_quiet_load_is_served_on_time);
    CPPUNIT_TEST(the_planned_split_serves_more);
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

    // Bursts of two to four times the usual load, answers whose length is not
    // known: fewest streams reads prompts for nothing, and committing whole
    // answers wastes memory.
    void memory_that_binds_is_used_better_than_by_the_baselines() {
        for (const auto& load : usual_scenarios()) {
            const double ours = mean_value(load, scheduler);
            CPPUNIT_ASSERT(ours > mean_value(load, fewest_streams_policy));
            CPPUNIT_ASSERT(ours > mean_value(load, whole_answer_policy));
        }
    }

    // The gate: the largest are served at least half as often as all.
    void large_prompts_are_served_at_least_half_as_often() {
        for (const auto& usual : usual_scenarios()) {
            const auto load = with_planned_split(usual);
            const auto outcome = run_streams(load, 1, scheduler_policy(load));
            const double served =
                static_cast<double>(outcome.on_time_ + outcome.late_) /
                outcome.asked_;
            CPPUNIT_ASSERT(outcome.large_served_ >= served / 2);
        }
    }

    void a_quiet_load_is_served_on_time() {
        for (auto load : usual_scenarios()) {
            load.bursts_.clear();
            load = with_planned_split(load);
            load.streams_per_second_ /= 2;
            const auto outcome = run_streams(load, 1, scheduler_policy(load));
            CPPUNIT_ASSERT_EQUAL(outcome.asked_, outcome.on_time_);
            CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, outcome.preemptions_);
        }
    }

    void the_planned_split_serves_more() {
        for (const auto& usual : usual_scenarios()) {
            CPPUNIT_ASSERT(mean_value(with_planned_split(usual), scheduler) >
                           mean_value(usual, scheduler));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_load_test);

} // namespace

} // namespace pimentoferry::bench
