#include "pimentoferry/once/once_service.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace pimentoferry::once {
namespace {

using std::chrono::milliseconds;

/// One entry with a store that completes each operation immediately.
class single_entry {
public:
    std::vector<action> handle(const event& e) {
        std::vector<action> remaining;
        perform(service_.handle(e, now_), remaining);
        return remaining;
    }

    void advance(milliseconds time) {
        const auto end = now_ + time;
        while (now_ < end) {
            now_ += milliseconds{10};
            wall_ += milliseconds{10};
            handle(tick{wall_});
        }
    }

    void start() {
        handle(view_changed{{{instance_, false}}, {}});
        advance(milliseconds{100});
    }

    base::instance_id instance_{11};
    bool store_is_up_{true};
    int writes_{0};
    base::time_point now_{};
    base::wall_time wall_{std::chrono::hours{1000}};
    std::map<std::string, store::found> values_;
    once_service service_{settings{}, instance_};

private:
    void perform(const std::vector<action>& actions,
                 std::vector<action>& remaining) {
        for (const auto& next : actions) {
            if (const auto* op = std::get_if<use_store>(&next)) {
                perform(service_.handle(
                            store_answered{{op->operation_.token_,
                                            run(op->operation_.request_)}},
                            now_),
                        remaining);
            } else {
                remaining.push_back(next);
            }
        }
    }

    store::outcome run(const store::request& request) {
        if (!store_is_up_) {
            return store::unavailable{};
        }
        if (const auto* get = std::get_if<store::get>(&request)) {
            const auto found = values_.find(get->key_);
            return found == values_.end() ? store::outcome{store::not_found{}}
                                          : store::outcome{found->second};
        }
        if (const auto* put = std::get_if<store::put>(&request)) {
            ++writes_;
            auto& value = values_[put->key_];
            if (value.revision_ != put->expected_) {
                return store::conflict{value.revision_};
            }
            value = {put->value_, ++revision_};
            return store::written{revision_};
        }
        return store::unavailable{};
    }

    store::revision revision_{0};
};

key_id key_number(std::uint64_t number) {
    return {number * 8, number, base::wall_time{std::chrono::hours{1000}}};
}

call_arrived call_of(std::uint64_t request, std::uint64_t key) {
    return {{request}, key_number(key), 1};
}

base::refusal refusal_in(const std::vector<action>& actions) {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
    return std::get<refuse_call>(actions[0]).refusal_;
}

class once_service_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(once_service_test);
    CPPUNIT_TEST(runs_a_key_once_and_replays_it);
    CPPUNIT_TEST(runs_an_abandoned_key_again);
    CPPUNIT_TEST(refuses_another_body);
    CPPUNIT_TEST(refuses_while_the_store_is_down);
    CPPUNIT_TEST(batches_claims_within_the_write_interval);
    CPPUNIT_TEST(drains);
    CPPUNIT_TEST_SUITE_END();

public:
    void runs_a_key_once_and_replays_it() {
        single_entry entry;
        entry.start();
        const auto first = entry.handle(call_of(1, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first.size());
        const auto attempt = std::get<send_call>(first[0]).attempt_;
        CPPUNIT_ASSERT(refusal_in(entry.handle(call_of(2, 5))).code_ ==
                       base::refusal_code::in_progress);

        entry.handle(upstream_answered{attempt, {200, "text/plain", "ok"}});
        const auto again = entry.handle(call_of(3, 5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"ok"},
                             std::get<replay_result>(again[0]).result_.body_);
        entry.advance(milliseconds{500});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry.service_.open_calls());
    }

    void runs_an_abandoned_key_again() {
        single_entry entry;
        entry.start();
        const auto first = entry.handle(call_of(1, 5));
        const auto attempt = std::get<send_call>(first[0]).attempt_;
        const auto refusal =
            refusal_in(entry.handle(upstream_not_reached{attempt}));
        CPPUNIT_ASSERT(refusal.ran_ == base::ran_state::not_run);
        entry.advance(milliseconds{500});
        const auto again = entry.handle(call_of(2, 5));
        CPPUNIT_ASSERT(std::get<send_call>(again[0]).attempt_ != attempt);
    }

    void refuses_another_body() {
        single_entry entry;
        entry.start();
        entry.handle(call_of(1, 5));
        auto other = call_of(2, 5);
        other.body_hash_ = 2;
        const auto refusal = refusal_in(entry.handle(other));
        CPPUNIT_ASSERT(refusal.code_ == base::refusal_code::key_reused);
    }

    // Guards against sending a call whose claim could not be recorded.
    void refuses_while_the_store_is_down() {
        single_entry entry;
        entry.start();
        entry.store_is_up_ = false;
        const auto refusal = refusal_in(entry.handle(call_of(1, 5)));
        CPPUNIT_ASSERT(refusal.code_ == base::refusal_code::store_unavailable);
        CPPUNIT_ASSERT(refusal.ran_ == base::ran_state::not_run);
        entry.store_is_up_ = true;
        entry.advance(milliseconds{10'000});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, entry.service_.open_calls());
    }

    // Guards against one store write per call.
    void batches_claims_within_the_write_interval() {
        single_entry entry;
        entry.start();
        entry.writes_ = 0;
        entry.handle(call_of(1, 1));
        for (std::uint64_t i = 2; i <= 100; ++i) {
            entry.handle(call_of(i, i));
        }
        entry.advance(milliseconds{190});
        CPPUNIT_ASSERT_EQUAL(1, entry.writes_);
        entry.advance(milliseconds{20});
        CPPUNIT_ASSERT_EQUAL(2, entry.writes_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, entry.service_.record_count());
    }

    void drains() {
        single_entry entry;
        entry.start();
        CPPUNIT_ASSERT_EQUAL(std::size_t{8},
                             entry.service_.owned_shards().size());
        const auto actions = entry.handle(drain_started{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, actions.size());
        for (const auto& next : actions) {
            const auto& ownership = std::get<announce_owner>(next).ownership_;
            CPPUNIT_ASSERT(ownership.owner_ == base::instance_id{});
            CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, ownership.epoch_);
        }
        CPPUNIT_ASSERT(entry.service_.drained());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(once_service_test);

} // namespace
} // namespace pimentoferry::once
