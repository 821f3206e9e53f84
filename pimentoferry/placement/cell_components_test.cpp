// Tests of the queue, the prefix index and the estimates of a cell scheduler.

#include "pimentoferry/placement/admission.hpp"
#include "pimentoferry/placement/fair_queue.hpp"
#include "pimentoferry/placement/latency_model.hpp"
#include "pimentoferry/placement/prefix_index.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace {

using namespace pimentoferry;
using namespace pimentoferry::placement;
using namespace std::chrono_literals;

class cell_components_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_components_test);
    CPPUNIT_TEST(burst_of_one_caller_does_not_delay_others);
    CPPUNIT_TEST(returning_caller_gains_no_quantum);
    CPPUNIT_TEST(priority_and_deadline_determine_the_order);
    CPPUNIT_TEST(removed_request_is_never_served);
    CPPUNIT_TEST(sequence_gap_drops_older_prefixes);
    CPPUNIT_TEST(estimate_follows_observations);
    CPPUNIT_TEST(freed_slots_are_a_lower_bound);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point start_{1h};

    queued_item item(std::uint64_t sequence,
                     const std::string& caller,
                     std::uint32_t tokens = 4'000) const {
        return {{base::instance_id{1}, sequence},
                base::caller_name{caller},
                0,
                false,
                start_ + std::chrono::milliseconds{sequence},
                tokens};
    }

    // Guards against a caller whose burst delays all other callers.
    void burst_of_one_caller_does_not_delay_others() {
        fair_queue queue;
        for (std::uint64_t i = 1; i <= 100; ++i) {
            queue.push(item(i, "burst"));
        }
        queue.push(item(200, "other"));
        CPPUNIT_ASSERT(queue.ahead_of(item(300, "third")).tokens_ < 50'000);
        int served = 0;
        while (queue.front()->caller_ != base::caller_name{"other"}) {
            queue.pop();
            ++served;
        }
        CPPUNIT_ASSERT(served <= 4);
    }

    // Guards against a caller that never has two queued requests and is
    // therefore served more often than one with a backlog.
    void returning_caller_gains_no_quantum() {
        fair_queue queue;
        std::uint64_t next = 1;
        for (; next <= 40; ++next) {
            queue.push(item(next, "steady"));
        }
        queue.push(item(next++, "returning"));
        int returning = 0;
        for (int i = 0; i < 40; ++i) {
            const bool again =
                queue.front()->caller_ == base::caller_name{"returning"};
            queue.pop();
            if (again) {
                ++returning;
                queue.push(item(next++, "returning"));
            }
        }
        CPPUNIT_ASSERT(returning >= 18 && returning <= 22);
    }

    // Guards against an order that misses deadlines which could be met.
    void priority_and_deadline_determine_the_order() {
        fair_queue queue;
        queue.push(item(3, "a", 100));
        queue.push(item(2, "a", 100));
        queued_item late = item(1, "b", 100);
        late.late_ = true;
        queue.push(late);
        queued_item urgent = item(9, "c", 100);
        urgent.priority_ = 5;
        queue.push(urgent);
        std::vector<std::uint64_t> order;
        for (; queue.front() != nullptr; queue.pop()) {
            order.push_back(queue.front()->attempt_.sequence_);
        }
        CPPUNIT_ASSERT((order == std::vector<std::uint64_t>{9, 2, 3, 1}));
    }

    // Guards against the prefill of a cancelled request.
    void removed_request_is_never_served() {
        fair_queue queue;
        queue.push(item(1, "a"));
        queue.push(item(2, "a"));
        CPPUNIT_ASSERT(queue.remove({base::instance_id{1}, 1}));
        CPPUNIT_ASSERT(!queue.remove({base::instance_id{1}, 1}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                             queue.front()->attempt_.sequence_);
        queue.pop();
        CPPUNIT_ASSERT(queue.front() == nullptr);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, queue.tokens(), 0.001);
    }

    // Guards against a missed removal, after which requests go to an engine
    // that does not have their prefix.
    void sequence_gap_drops_older_prefixes() {
        prefix_index index{3};
        index.apply(std::vector<cache_change>{{1, 10, true}, {2, 11, true}});
        const std::vector<std::uint64_t> prompt{10, 11, 12};
        CPPUNIT_ASSERT_EQUAL(2U, index.cached_blocks(prompt));
        index.apply(std::vector<cache_change>{{5, 12, true}});
        CPPUNIT_ASSERT_EQUAL(0U, index.cached_blocks(prompt));
        index.add_granted(prompt);
        CPPUNIT_ASSERT_EQUAL(3U, index.cached_blocks(prompt));
        index.add_granted(std::vector<std::uint64_t>{20, 21});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, index.size());
    }

    // Guards against estimates that do not adapt to the engine in use.
    void estimate_follows_observations() {
        linear_estimate step = default_step_estimate();
        for (int i = 0; i < 200; ++i) {
            const double batch = 10 + i % 10;
            step.observe(batch, 16 + 2.7 * batch);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(16 + 2.7 * 20, step.predict(20), 1.0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, step.largest_load_under(70), 0.5);
        const double before = step.predict(15);
        step.observe(15, 60'000);
        CPPUNIT_ASSERT(step.predict(15) < 1.2 * before);
    }

    // Guards against using the mean, which would reserve one slot too many
    // about half of the time.
    void freed_slots_are_a_lower_bound() {
        admission predictor;
        for (int i = 0; i < 1'000; ++i) {
            predictor.record_decode_time(100, 50);
            predictor.record_decode_end();
        }
        // 100 running requests of 5 s each: 20 end per second.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5'000, predictor.mean_decode_ms(), 100);
        const auto optimistic =
            predictor.freed_slots_lower_bound(100, 1'000, 0);
        const auto conservative =
            predictor.freed_slots_lower_bound(100, 1'000, 0.9);
        CPPUNIT_ASSERT(optimistic < 20);
        CPPUNIT_ASSERT(conservative < optimistic);
        CPPUNIT_ASSERT_EQUAL(0U,
                             predictor.freed_slots_lower_bound(100, 1'000, 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_components_test);

} // namespace
