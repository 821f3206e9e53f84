#include "pimentoferry/routing/instance_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::routing {

namespace {

const base::service_name desk{"desk"};

instance make_instance(const std::string& id, bool draining = false) {
    instance made;
    made.id_ = base::upstream_name{id};
    made.service_ = desk;
    made.draining_ = draining;
    return made;
}

class instance_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(instance_table_test);
    CPPUNIT_TEST(a_draining_instance_gets_no_new_requests);
    CPPUNIT_TEST(a_removed_instance_gets_no_new_requests);
    CPPUNIT_TEST(an_expired_registration_is_kept_for_a_while);
    CPPUNIT_TEST(a_draining_instance_is_removed_at_once);
    CPPUNIT_TEST(retain_removes_instances_that_are_not_listed);
    CPPUNIT_TEST(a_draining_instance_is_not_taken_back_by_an_old_entry);
    CPPUNIT_TEST(an_earlier_run_does_not_replace_a_later_one);
    CPPUNIT_TEST(a_removed_instance_is_not_used_by_an_old_entry);
    CPPUNIT_TEST(an_instance_that_says_it_leaves_gets_no_new_requests);
    CPPUNIT_TEST(a_later_run_of_an_instance_that_left_is_used);
    CPPUNIT_TEST(an_earlier_run_does_not_stop_a_later_one);
    CPPUNIT_TEST(a_statement_that_precedes_the_registration_holds);
    CPPUNIT_TEST(a_new_registration_without_start_time_is_a_new_run);
    CPPUNIT_TEST(an_instance_that_was_never_registered_is_unknown);
    CPPUNIT_TEST_SUITE_END();

    instance_table table_;
    base::time_point now_{};

    static instance make_run(std::uint64_t started_at_ms, bool draining) {
        auto made = make_instance("a", draining);
        made.started_at_ms_ = started_at_ms;
        return made;
    }

    // Guards against requests to an instance that leaves, after the source has
    // come back from a copy in which it does not.
    void a_draining_instance_is_not_taken_back_by_an_old_entry() {
        table_.put(make_run(7, true));
        CPPUNIT_ASSERT(put_result::drains_already ==
                       table_.put_from_copy(make_run(7, false), now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(put_result::taken == table_.put(make_run(8, false)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void an_earlier_run_does_not_replace_a_later_one() {
        table_.put(make_run(8, false));
        CPPUNIT_ASSERT(put_result::earlier_run ==
                       table_.put_from_copy(make_run(7, true), now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    // Guards against a new instance that is reported as ended by a gateway that
    // has not heard of it yet.
    void an_instance_that_was_never_registered_is_unknown() {
        const base::upstream_name id{"a"};
        CPPUNIT_ASSERT(table_.is_unknown(id));
        table_.put(make_run(7, true));
        CPPUNIT_ASSERT(!table_.is_unknown(id));
        table_.remove(id, now_);
        CPPUNIT_ASSERT(!table_.is_unknown(id));
    }

    // Guards against requests to an instance that says that it leaves, while
    // its registration does not say so yet or lapses.
    void an_instance_that_says_it_leaves_gets_no_new_requests() {
        table_.put(make_run(7, false));
        table_.keep_lapsed_until(now_ + base::milliseconds{2000});
        CPPUNIT_ASSERT(
            table_.note_leaving({base::upstream_name{"a"}, 7, now_}));
        CPPUNIT_ASSERT(
            !table_.note_leaving({base::upstream_name{"a"}, 7, now_}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, table_.leaving().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        table_.put(make_run(7, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        table_.remove(base::upstream_name{"a"}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.size());
        CPPUNIT_ASSERT(table_.leaving().empty());
        table_.put(make_run(7, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    void a_later_run_of_an_instance_that_left_is_used() {
        table_.put(make_run(7, false));
        table_.note_leaving({base::upstream_name{"a"}, 7, now_});
        table_.put(make_run(8, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        table_.expire(now_);
        CPPUNIT_ASSERT(table_.leaving().empty());
    }

    // Guards against a message about an earlier run that stops a sound one.
    void an_earlier_run_does_not_stop_a_later_one() {
        table_.put(make_run(8, false));
        CPPUNIT_ASSERT(
            !table_.note_leaving({base::upstream_name{"a"}, 7, now_}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    void a_statement_that_precedes_the_registration_holds() {
        CPPUNIT_ASSERT(
            table_.note_leaving({base::upstream_name{"a"}, 7, now_}));
        table_.put(make_run(7, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    void a_new_registration_without_start_time_is_a_new_run() {
        table_.put(make_run(0, false));
        table_.note_leaving({base::upstream_name{"a"}, 0, now_});
        table_.put(make_run(0, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        table_.remove(base::upstream_name{"a"}, now_);
        table_.put(make_run(0, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    // Guards against requests to an instance that has left, until its old entry
    // expires.
    void a_removed_instance_is_not_used_by_an_old_entry() {
        const base::upstream_name id{"a"};
        table_.put(make_run(7, false));
        table_.remove(id, now_);
        CPPUNIT_ASSERT(put_result::gone_already ==
                       table_.put_from_copy(make_run(7, false), now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        // It lives if it registers again, or if its entry does not expire.
        auto other = table_;
        other.put(make_run(7, false));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, other.usable(desk, now_).size());
        now_ += base::milliseconds{6000};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        CPPUNIT_ASSERT(table_.expire(now_));
        CPPUNIT_ASSERT(!table_.expire(now_));
        table_.remove(id, now_);
        CPPUNIT_ASSERT(put_result::taken ==
                       table_.put_from_copy(make_run(9, false), now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
    }

    std::size_t usable() const { return table_.usable(desk, now_).size(); }

    void a_draining_instance_gets_no_new_requests() {
        table_.put(make_instance("a"));
        table_.put(make_instance("a", true));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    // Guards against requests to a replica that leaves without draining first.
    void a_removed_instance_gets_no_new_requests() {
        table_.put(make_instance("a"));
        table_.remove(base::upstream_name{"a"}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
    }

    // Guards against the removal of every replica after an outage of the store.
    void an_expired_registration_is_kept_for_a_while() {
        table_.put(make_instance("a"));
        constexpr base::milliseconds kept{2000};
        table_.keep_lapsed_until(now_ + kept);
        table_.remove(base::upstream_name{"a"}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        now_ += kept;
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, usable());
        CPPUNIT_ASSERT(table_.expire(now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.size());
    }

    void a_draining_instance_is_removed_at_once() {
        table_.put(make_instance("a", true));
        table_.keep_lapsed_until(now_ + base::milliseconds{2000});
        table_.remove(base::upstream_name{"a"}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table_.size());
    }

    void retain_removes_instances_that_are_not_listed() {
        table_.put(make_instance("a"));
        table_.put(make_instance("b"));
        table_.retain({base::upstream_name{"b"}}, now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, usable());
        CPPUNIT_ASSERT(table_.find_usable(base::upstream_name{"b"}, now_) !=
                       nullptr);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(instance_table_test);

} // namespace

} // namespace pimentoferry::routing
