// Streams on engines that announced how many requests a second they accept.

#include "pimentoferry/placement/stream_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pimentoferry::placement {

namespace {

using base::milliseconds;

class engine_limits_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_limits_test);
    CPPUNIT_TEST(limited_engines_are_granted_what_they_announce);
    CPPUNIT_TEST(streams_go_to_engines_without_a_limit);
    CPPUNIT_TEST(stream_that_limits_delay_for_too_long_is_refused_at_once);
    CPPUNIT_TEST(replacement_counts_at_its_engine);
    CPPUNIT_TEST_SUITE_END();

    base::time_point now_{std::chrono::hours{1}};
    requests::allowance_table allowances_;
    stream_scheduler scheduler_{stream_settings{}};
    std::uint64_t sequence_{0};
    std::map<base::upstream_name, int> grants_;

    static stream_engine engine(const std::string& id, engine_role role) {
        return {base::upstream_name{id}, role, {}, 64, 100'000};
    }

    void limit(const std::string& id, double per_second) {
        allowances_.set(base::upstream_name{id}, per_second, 0, now_);
    }

    stream_request make_request() {
        stream_request made;
        made.attempt_ = {base::instance_id{1}, ++sequence_};
        made.prompt_tokens_ = 1000;
        made.max_output_tokens_ = 500;
        made.budget_ = milliseconds{900};
        made.patience_ = milliseconds{3200};
        return made;
    }

    void count(const stream_scheduler::decisions& decisions) {
        for (const auto& decision : decisions) {
            if (const auto* grant = std::get_if<stream_grant>(&decision)) {
                ++grants_[grant->prefill_];
                ++grants_[grant->decode_];
                scheduler_.prefill_finished(grant->attempt_, now_);
                scheduler_.ended(grant->attempt_, 5, now_);
            }
        }
    }

    /// Sends `per_second` requests a second for `duration`.
    void run(int per_second, std::chrono::seconds duration) {
        const auto interval = milliseconds{1000} / per_second;
        auto next = now_;
        for (const auto end = now_ + duration; now_ < end;
             now_ += milliseconds{10}) {
            if (now_ >= next) {
                next += interval;
                count(scheduler_.request(make_request(), now_));
            }
            count(scheduler_.tick(now_));
        }
    }

public:
    void setUp() override {
        scheduler_.use_allowances(allowances_);
        scheduler_.set_engines({engine("p", engine_role::prefill),
                                engine("d1", engine_role::decode),
                                engine("d2", engine_role::decode)},
                               now_);
    }

    // Guards against a scheduler that places streams by memory alone.
    void limited_engines_are_granted_what_they_announce() {
        limit("d1", 1);
        limit("d2", 2);
        run(10, std::chrono::seconds{10});
        const auto first = grants_[base::upstream_name{"d1"}];
        const auto second = grants_[base::upstream_name{"d2"}];
        CPPUNIT_ASSERT(first >= 9 && first <= 11);
        CPPUNIT_ASSERT(second >= 18 && second <= 21);
    }

    void streams_go_to_engines_without_a_limit() {
        limit("d1", 1);
        run(8, std::chrono::seconds{5});
        CPPUNIT_ASSERT(grants_[base::upstream_name{"d1"}] <= 6);
        CPPUNIT_ASSERT(grants_[base::upstream_name{"p"}] >= 39);
    }

    // Guards against requests that wait for memory which a limit keeps from
    // being used, and are refused at their deadline.
    void stream_that_limits_delay_for_too_long_is_refused_at_once() {
        limit("d1", 0.1);
        limit("d2", 0.1);
        const auto decided = scheduler_.request(make_request(), now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decided.size());
        const auto& refused = std::get<stream_refusal>(decided.front());
        CPPUNIT_ASSERT(refused.reason_ == refusal_reason::limited);
        CPPUNIT_ASSERT(refused.retry_after_ >= milliseconds{3000});
        CPPUNIT_ASSERT(refused.room_.withheld_decode_tokens_ > 0);
    }

    void replacement_counts_at_its_engine() {
        limit("d2", 1);
        const auto decided = scheduler_.request(make_request(), now_);
        const auto& grant = std::get<stream_grant>(decided.front());
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grant.decode_.value_);
        // The other engine has no allowance yet.
        const auto replaced = scheduler_.decode_rejected(
            grant.attempt_, decode_rejection::full, now_);
        CPPUNIT_ASSERT(
            std::holds_alternative<stream_refusal>(replaced.front()));
        now_ += milliseconds{1100};
        const auto later = scheduler_.request(make_request(), now_);
        const auto& next = std::get<stream_grant>(later.front());
        scheduler_.decode_rejected(next.attempt_, decode_rejection::full, now_);
        CPPUNIT_ASSERT(!allowances_.available(base::upstream_name{"d2"}, now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_limits_test);

} // namespace

} // namespace pimentoferry::placement
