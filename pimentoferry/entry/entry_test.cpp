#include "pimentoferry/entry/caller_api.hpp"
#include "pimentoferry/entry/drain.hpp"
#include "pimentoferry/entry/engine_reports.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/entry/service_relay.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::entry {
namespace {

using namespace std::chrono_literals;

class entry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_test);
    CPPUNIT_TEST(drain_waits_for_running_work);
    CPPUNIT_TEST(drain_is_cut_off_at_the_limit);
    CPPUNIT_TEST(failing_replica_is_ejected_but_never_the_last);
    CPPUNIT_TEST(service_target_stays_inside_its_prefix);
    CPPUNIT_TEST(attempt_id_survives_the_load_report);
    CPPUNIT_TEST(prefix_hashes_ignore_white_space);
    CPPUNIT_TEST(log_values_cannot_inject_a_line);
    CPPUNIT_TEST_SUITE_END();

    const base::time_point start_{1000s};

public:
    // Guards against an exit that aborts a running request or loses a record.
    void drain_waits_for_running_work() {
        drain shutdown{600s};
        CPPUNIT_ASSERT(shutdown.step({}, start_) == drain_step::serving);
        CPPUNIT_ASSERT(shutdown.signal(start_));
        running_work work;
        work.calls_ = 1;
        CPPUNIT_ASSERT(shutdown.step(work, start_ + 599s) ==
                       drain_step::draining);
        work.calls_ = 0;
        work.once_drained_ = false;
        CPPUNIT_ASSERT(shutdown.step(work, start_ + 599s) ==
                       drain_step::draining);
        work.once_drained_ = true;
        CPPUNIT_ASSERT(shutdown.step(work, start_) == drain_step::done);
        // Callers may still use the cached address of this entry.
        work.others_serve_ = true;
        CPPUNIT_ASSERT(shutdown.step(work, start_ + 1s) ==
                       drain_step::draining);
        CPPUNIT_ASSERT(shutdown.step(work, start_ + 3s) == drain_step::done);
    }

    void drain_is_cut_off_at_the_limit() {
        running_work work;
        work.calls_ = 1;
        drain limited{10s};
        limited.signal(start_);
        CPPUNIT_ASSERT(limited.step(work, start_ + 10s) == drain_step::cut_off);
        drain signalled{600s};
        signalled.signal(start_);
        CPPUNIT_ASSERT(!signalled.signal(start_ + 1s));
        CPPUNIT_ASSERT(signalled.step(work, start_ + 1s) ==
                       drain_step::cut_off);
    }

    // Guards against calls to a failed replica and against a service that loses
    // all of its replicas to ejection.
    void failing_replica_is_ejected_but_never_the_last() {
        const base::failure_domain here{"dilla"};
        const replica bad{{"bad"}, {"127.0.0.1", 1}, here};
        const replica good{{"good"}, {"127.0.0.1", 2}, here};
        replica_set replicas{1};
        for (int i = 0; i < 3; ++i) {
            replicas.call_started(bad.name_);
            replicas.call_ended(bad.name_, true, start_);
        }
        CPPUNIT_ASSERT(replicas.is_ejected(bad.name_, start_ + 1s));
        for (int i = 0; i < 20; ++i) {
            const auto chosen =
                replicas.choose({bad, good}, {}, here, start_ + 1s);
            CPPUNIT_ASSERT(chosen && chosen->name_ == good.name_);
        }
        const auto last = replicas.choose({bad}, {}, here, start_ + 1s);
        CPPUNIT_ASSERT(last && last->name_ == bad.name_);
        CPPUNIT_ASSERT(!replicas.is_ejected(bad.name_, start_ + 3s));
    }

    // Guards against a call that reaches a path that no ticket declares.
    void service_target_stays_inside_its_prefix() {
        const auto target = parse_service_target("/svc/desk/book/7?x=/../y");
        CPPUNIT_ASSERT(target && target->service_.value_ == "desk");
        CPPUNIT_ASSERT_EQUAL(std::string{"/book/7?x=/../y"}, target->target_);
        CPPUNIT_ASSERT(!parse_service_target("/svc/desk/book/../admin"));
        CPPUNIT_ASSERT(!parse_service_target("/svc/desk"));
        CPPUNIT_ASSERT(!parse_service_target("/svc//book"));
        config::service desk;
        desk.calls_ = {{"POST", "/book", false, 1s},
                       {"POST", "/book/dry", true, 1s}};
        const auto* found = find_service_call(desk, "POST", "/book/dry?x");
        CPPUNIT_ASSERT(found != nullptr && found->idempotent_);
        CPPUNIT_ASSERT(find_service_call(desk, "GET", "/book") == nullptr);
    }

    // Guards against attempts of a crashed entry that no owner recognizes.
    void attempt_id_survives_the_load_report() {
        const base::attempt_id attempt{{0xFEDCBA9876543210U}, 42};
        const auto body = R"({"instance":"i","slots":20,"attempts":[")" +
                          base::to_string(attempt) + R"(","x"]})";
        const auto load =
            parse_load({"d1"}, body, base::wall_time{base::milliseconds{5}});
        CPPUNIT_ASSERT(load && load->report_.attempts_.size() == 1);
        CPPUNIT_ASSERT(load->report_.attempts_.front() == attempt);
        CPPUNIT_ASSERT(!parse_load({"d1"}, "{}", {}));
    }

    void prefix_hashes_ignore_white_space() {
        std::string space_separated;
        std::string line_separated;
        for (int i = 0; i < 2500; ++i) {
            space_separated += "w" + std::to_string(i) + " ";
            line_separated += "w" + std::to_string(i) + "\n\t";
        }
        CPPUNIT_ASSERT_EQUAL(2500U, estimate_tokens(line_separated));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             prefix_hashes(space_separated).size());
        CPPUNIT_ASSERT(prefix_hashes(space_separated) ==
                       prefix_hashes(line_separated));
    }

    void log_values_cannot_inject_a_line() {
        CPPUNIT_ASSERT_EQUAL(
            std::string{"event=refuse code=x detail=\"a\\\" b \""},
            format_line("refuse", {{"code", "x"}, {"detail", "a\" b\n"}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_test);

} // namespace
} // namespace pimentoferry::entry
