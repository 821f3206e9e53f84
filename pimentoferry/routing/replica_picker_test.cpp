#include "pimentoferry/routing/replica_picker.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pimentoferry::routing {

namespace {

using base::milliseconds;

class replica_picker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_picker_test);
    CPPUNIT_TEST(the_own_failure_domain_comes_first);
    CPPUNIT_TEST(a_busy_replica_is_left_for_another_domain);
    CPPUNIT_TEST(a_replica_that_fails_most_calls_is_avoided);
    CPPUNIT_TEST(occasional_errors_do_not_make_a_replica_unhealthy);
    CPPUNIT_TEST(a_slow_replica_is_avoided);
    CPPUNIT_TEST(a_call_that_may_not_be_repeated_is_not_a_probe);
    CPPUNIT_TEST(the_last_replica_is_used_although_it_fails);
    CPPUNIT_TEST(a_replica_that_refuses_connections_is_tried_with_pauses);
    CPPUNIT_TEST(no_replica_is_chosen_if_all_refuse_connections);
    CPPUNIT_TEST(the_last_running_replica_is_known);
    CPPUNIT_TEST_SUITE_END();

    replica_picker picker_{7};
    std::vector<instance> replicas_{make("a", "north"), make("b", "south"),
                                    make("c", "south")};
    base::time_point now_{};

    static instance make(const std::string& id, const std::string& domain) {
        instance made;
        made.id_ = base::upstream_name{id};
        made.failure_domain_ = base::failure_domain{domain};
        made.slots_ = 6;
        return made;
    }

    std::string choose(bool may_repeat = true) {
        std::vector<const instance*> candidates;
        candidates.reserve(replicas_.size());
        for (const auto& each : replicas_) {
            candidates.push_back(&each);
        }
        const auto* chosen = picker_.choose(
            candidates, {}, base::failure_domain{"north"}, may_repeat, now_);
        return chosen != nullptr ? chosen->id_.value_ : "none";
    }

    void end(const std::string& id, call_result result, milliseconds took) {
        now_ += milliseconds{10};
        picker_.ended(base::upstream_name{id}, result, took, now_);
    }

    // Guards against every call being sent to a replica that has ended, until
    // its registration lapses.
    void a_replica_that_refuses_connections_is_tried_with_pauses() {
        const base::upstream_name ended{"a"};
        int trials = 0;
        for (int i = 0; i < 350; ++i) {
            if (choose() == "a") {
                ++trials;
                const bool news = picker_.connection_refused(ended, now_);
                CPPUNIT_ASSERT_EQUAL(trials == 1, news);
            }
            now_ += milliseconds{10};
        }
        CPPUNIT_ASSERT_EQUAL(4, trials);
        // It has started again under its id.
        now_ += milliseconds{2000};
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, choose());
        end("a", call_result::answered, milliseconds{10});
        CPPUNIT_ASSERT(picker_.connection_refused(ended, now_));
    }

    // Guards against callers that wait for connections that are certain to be
    // refused.
    void no_replica_is_chosen_if_all_refuse_connections() {
        for (const auto& each : replicas_) {
            picker_.connection_refused(each.id_, now_);
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, choose());
        CPPUNIT_ASSERT_EQUAL(std::string{"none"}, choose(false));
        now_ += milliseconds{250};
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, choose());
    }

    // Guards against a call that takes the last replica of a service with it.
    void the_last_running_replica_is_known() {
        std::vector<const instance*> all{&replicas_[0], &replicas_[1],
                                         &replicas_[2]};
        picker_.connection_refused(base::upstream_name{"a"}, now_);
        CPPUNIT_ASSERT(!picker_.is_last_running(all));
        picker_.connection_refused(base::upstream_name{"b"}, now_);
        CPPUNIT_ASSERT(picker_.is_last_running(all));
        now_ += milliseconds{300};
        CPPUNIT_ASSERT(picker_.is_last_running(all));
        // A service of one replica has to serve all calls with it.
        CPPUNIT_ASSERT(!picker_.is_last_running({&replicas_[2]}));
    }

    void the_own_failure_domain_comes_first() {
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, choose());
    }

    void a_busy_replica_is_left_for_another_domain() {
        for (int i = 0; i < 5; ++i) {
            picker_.started(base::upstream_name{"a"});
        }
        CPPUNIT_ASSERT(choose() != "a");
    }

    // Guards against calls to a replica that passes its health checks but fails
    // most calls.
    void a_replica_that_fails_most_calls_is_avoided() {
        for (int i = 0; i < 10; ++i) {
            end("a", i % 3 == 0 ? call_result::answered : call_result::failed,
                milliseconds{30});
        }
        std::map<std::string, int> chosen;
        for (int i = 0; i < 100; ++i) {
            now_ += milliseconds{10};
            const auto id = choose();
            ++chosen[id];
            end(id, id == "a" ? call_result::failed : call_result::answered,
                milliseconds{30});
        }
        CPPUNIT_ASSERT(chosen["a"] <= 5);
    }

    // Guards against the exclusion of replicas for application errors: one
    // lookup in seven fails at every replica.
    void occasional_errors_do_not_make_a_replica_unhealthy() {
        int own = 0;
        for (int i = 0; i < 200; ++i) {
            now_ += milliseconds{50};
            const auto id = choose();
            own += id == "a" ? 1 : 0;
            end(id, i % 7 == 0 ? call_result::failed : call_result::answered,
                milliseconds{30});
        }
        CPPUNIT_ASSERT(own >= 190);
    }

    void a_slow_replica_is_avoided() {
        for (int i = 0; i < 10; ++i) {
            end("a", call_result::answered, milliseconds{400});
            end("b", call_result::answered, milliseconds{30});
            end("c", call_result::answered, milliseconds{30});
        }
        (void)choose(); // May be the probe.
        CPPUNIT_ASSERT(choose() != "a");
    }

    // Guards against a non-idempotent call, such as a booking, that is lost as
    // the probe of an unhealthy replica.
    void a_call_that_may_not_be_repeated_is_not_a_probe() {
        for (int i = 0; i < 5; ++i) {
            end("a", call_result::failed, milliseconds{30});
        }
        for (int i = 0; i < 300; ++i) {
            now_ += milliseconds{5};
            CPPUNIT_ASSERT(choose(false) != "a");
        }
    }

    void the_last_replica_is_used_although_it_fails() {
        replicas_.resize(1);
        for (int i = 0; i < 5; ++i) {
            end("a", call_result::failed, milliseconds{30});
        }
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, choose(false));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_picker_test);

} // namespace

} // namespace pimentoferry::routing
