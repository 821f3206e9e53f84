#include "pimentoferry/requests/request_table.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>

namespace pimentoferry::requests {
namespace {

using std::chrono::milliseconds;

constexpr base::request_id request{7};
const base::cell_name cell{"cell-1"};
const base::upstream_name prefill{"p1"};
const base::upstream_name decode{"d1"};

class request_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(request_table_test);
    CPPUNIT_TEST(answers_a_request);
    CPPUNIT_TEST(says_not_run_only_when_no_engine_was_sent_it);
    CPPUNIT_TEST(repeats_to_the_next_owner_and_then_places_alone);
    CPPUNIT_TEST(resumes_at_the_exact_position);
    CPPUNIT_TEST(keeps_a_queued_request_with_its_owner);
    CPPUNIT_TEST(gives_back_a_late_grant);
    CPPUNIT_TEST(ignores_the_import_answer_of_an_earlier_engine);
    CPPUNIT_TEST(drain_lets_running_requests_end);
    CPPUNIT_TEST(unsent_call_takes_no_blame);
    CPPUNIT_TEST(idle_prefill_result_takes_no_blame);
    CPPUNIT_TEST(suspect_waits_for_its_earlier_attempt);
    CPPUNIT_TEST(late_grant_goes_back_to_the_owner_that_made_it);
    CPPUNIT_TEST(crash_during_a_pause_is_judged_after_waiting_events);
    CPPUNIT_TEST(crash_after_a_long_pause_still_finds_its_culprit);
    CPPUNIT_TEST_SUITE_END();

    request_table table_{settings()};
    base::time_point now_{std::chrono::hours{1}};
    std::vector<action> last_;

    static table_settings settings() {
        table_settings s;
        s.instance_ = base::instance_id{1};
        return s;
    }

    void pass(const event& e) { last_ = table_.handle(e, now_); }

    void wait(milliseconds time) {
        now_ += time;
        pass(tick{});
    }

    template <class Action>
    const Action* last() const {
        for (const action& a : last_) {
            if (const auto* found = std::get_if<Action>(&a)) {
                return found;
            }
        }
        return nullptr;
    }

    template <class Message>
    const Message* last_message() const {
        for (const action& a : last_) {
            const auto* sent = std::get_if<send_to_owner>(&a);
            if (sent == nullptr) {
                continue;
            }
            if (const auto* m = std::get_if<Message>(&sent->message_)) {
                return m;
            }
        }
        return nullptr;
    }

    template <class Action>
    const Action& the() const {
        CPPUNIT_ASSERT(last<Action>() != nullptr);
        return *last<Action>();
    }

    template <class Message>
    const Message& the_message() const {
        CPPUNIT_ASSERT(last_message<Message>() != nullptr);
        return *last_message<Message>();
    }

    base::attempt_id arrive(base::request_id id = request) {
        request_arrived e;
        e.request_ = id;
        e.cell_ = cell;
        e.fingerprint_ = id.value_;
        e.prompt_tokens_ = 2'000;
        e.first_token_budget_ = milliseconds{1'600};
        pass(e);
        const auto* asked = last_message<placement::placement_request>();
        return asked == nullptr ? base::attempt_id{} : asked->attempt_;
    }

    void grant(base::attempt_id attempt) {
        pass(owner_reply_received{
            placement::placement_grant{attempt, prefill, decode, false}});
    }

    void run_until_import(base::attempt_id attempt) {
        grant(attempt);
        pass(prefill_done{attempt, "h", 2'000, 0});
        pass(owner_reply_received{placement::decode_bound{attempt, decode}});
    }

    void run_until_decode(base::attempt_id attempt) {
        run_until_import(attempt);
        pass(import_done{attempt, decode});
    }

public:
    // Guards against memory or places that outlive a plain request.
    void answers_a_request() {
        const auto attempt = arrive();
        run_until_decode(attempt);
        CPPUNIT_ASSERT_EQUAL(0U, the<start_decode>().position_);
        pass(first_token{attempt});
        CPPUNIT_ASSERT(last_message<placement::decode_started>() != nullptr);
        CPPUNIT_ASSERT(the<cancel_attempts>().engine_ == prefill);
        pass(cancel_confirmed{prefill, {attempt}});
        pass(stream_ended{attempt, 9});
        CPPUNIT_ASSERT(last<complete_response>() != nullptr);
        CPPUNIT_ASSERT(last_message<placement::placement_release>() != nullptr);
        CPPUNIT_ASSERT(table_.memory_holds().empty());
        CPPUNIT_ASSERT(table_.idle());
    }

    // Guards P4: a refusal that follows a sent call must not claim that
    // nothing ran.
    void says_not_run_only_when_no_engine_was_sent_it() {
        auto attempt = arrive();
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        attempt = the_message<placement::placement_request>().attempt_;
        pass(owner_reply_received{placement::placement_refusal{
            attempt, base::refusal_code::overloaded, milliseconds{5}}});
        CPPUNIT_ASSERT(the<refuse>().refusal_.ran_ == base::ran_state::not_run);

        attempt = arrive();
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::full});
        attempt = the_message<placement::placement_request>().attempt_;
        pass(owner_reply_received{placement::placement_refusal{attempt}});
        CPPUNIT_ASSERT(the<refuse>().refusal_.ran_ == base::ran_state::unknown);
    }

    // Guards against a request that waits for a dead owner.
    void repeats_to_the_next_owner_and_then_places_alone() {
        pass(engines_updated{cell, {{prefill, false, 3}, {decode, true, 3}}});
        const auto first = arrive();
        wait(milliseconds{300});
        CPPUNIT_ASSERT(the_message<placement::placement_request>().attempt_ !=
                       first);
        wait(milliseconds{300});
        CPPUNIT_ASSERT(the<start_prefill>().engine_ == prefill);
        const auto own = the<start_prefill>().attempt_;
        pass(prefill_done{own, "h", 2'000, 0});
        CPPUNIT_ASSERT(the<start_import>().decode_ == decode);
    }

    // Guards against repeated and missing tokens after a break.
    void resumes_at_the_exact_position() {
        const auto attempt = arrive();
        run_until_decode(attempt);
        pass(first_token{attempt});
        pass(stream_broken{attempt, 5, engine_failure::broken});
        wait(milliseconds{100});
        CPPUNIT_ASSERT(the<start_decode>().attempt_ == attempt);
        CPPUNIT_ASSERT_EQUAL(5U, the<start_decode>().position_);
        // The engine no longer holds it, and its answers vary.
        pass(stream_broken{attempt, 5, engine_failure::gone});
        CPPUNIT_ASSERT(the<refuse>().refusal_.ran_ == base::ran_state::unknown);
    }

    // Guards against a patient request that is placed twice because its
    // owner lets it wait for longer than the timeout of a place request.
    void keeps_a_queued_request_with_its_owner() {
        const auto attempt = arrive();
        pass(owner_reply_received{placement::placement_queued{attempt}});
        wait(milliseconds{1'500});
        CPPUNIT_ASSERT(last_.empty());
        grant(attempt);
        CPPUNIT_ASSERT(last<start_prefill>() != nullptr);
    }

    // Guards against a place that stays reserved by a slow owner.
    void gives_back_a_late_grant() {
        const auto attempt = arrive();
        wait(milliseconds{300});
        grant(attempt);
        CPPUNIT_ASSERT(last<start_prefill>() == nullptr);
        CPPUNIT_ASSERT(the_message<placement::placement_release>().attempt_ ==
                       attempt);
    }

    // Guards against decoding at an engine whose own import is not done.
    void ignores_the_import_answer_of_an_earlier_engine() {
        const base::upstream_name other{"d2"};
        const auto attempt = arrive();
        run_until_import(attempt);
        wait(milliseconds{340});
        CPPUNIT_ASSERT(last_message<placement::engine_lost>() != nullptr);
        pass(owner_reply_received{placement::decode_bound{attempt, other}});
        pass(import_done{attempt, decode});
        CPPUNIT_ASSERT(last<start_decode>() == nullptr);
        pass(import_done{attempt, other});
        CPPUNIT_ASSERT(the<start_decode>().engine_ == other);
    }

    // Guards P7: a drain refuses what is new and ends only with the rest.
    void drain_lets_running_requests_end() {
        const auto attempt = arrive();
        run_until_decode(attempt);
        pass(drain_started{});
        CPPUNIT_ASSERT(!table_.idle());
        arrive(base::request_id{8});
        CPPUNIT_ASSERT(the<refuse>().refusal_.code_ ==
                       base::refusal_code::draining);
        pass(first_token{attempt});
        pass(stream_ended{attempt, 3});
        CPPUNIT_ASSERT(last<complete_response>() != nullptr);
        pass(cancel_confirmed{prefill, {attempt}});
        CPPUNIT_ASSERT(table_.idle());
    }

    // The tests below keep faults that the stateful tests found with seed
    // 20261204.

    // An engine that was already down refused the call of an innocent
    // request, which was marked for the crash.
    void unsent_call_takes_no_blame() {
        const auto attempt = arrive();
        grant(attempt);
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT(last<publish_crash_mark>() == nullptr);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        CPPUNIT_ASSERT(last<publish_crash_mark>() == nullptr);
        CPPUNIT_ASSERT(table_.memory_holds().empty());
    }

    // A request whose prefill was long done was marked for a crash of the
    // prefill engine.
    void idle_prefill_result_takes_no_blame() {
        run_until_decode(arrive());
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT(last<publish_crash_mark>() == nullptr);
    }

    // A suspect ran again while a slow engine still ran its earlier attempt,
    // and crashed both.
    void suspect_waits_for_its_earlier_attempt() {
        auto attempt = arrive();
        grant(attempt);
        pass(engine_crashed{prefill});
        pass(prefill_failed{attempt, engine_failure::broken});
        CPPUNIT_ASSERT(the_message<placement::placement_request>().suspect_);
        attempt = the_message<placement::placement_request>().attempt_;
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::timed_out});
        wait(milliseconds{250});
        CPPUNIT_ASSERT(last_message<placement::placement_request>() == nullptr);
        pass(cancel_confirmed{prefill, {attempt}});
        CPPUNIT_ASSERT(last_message<placement::placement_request>() != nullptr);
    }

    // Guards against a place that nobody uses: when the owner changed, the
    // rank of the one that granted it is that of another entry.
    void late_grant_goes_back_to_the_owner_that_made_it() {
        const auto attempt = arrive();
        pass(owner_changed{cell});
        const base::instance_id granting{99};
        pass(owner_reply_received{
            placement::placement_grant{attempt, prefill, decode, false},
            granting});
        const auto& returned = the<send_to_owner>();
        CPPUNIT_ASSERT(std::holds_alternative<placement::placement_release>(
            returned.message_));
        CPPUNIT_ASSERT(returned.recipient_ == std::optional{granting});
    }

    // The deadline of a judgement passed while the entry was paused, and the
    // crash was judged before the failure that waited behind it.
    void crash_during_a_pause_is_judged_after_waiting_events() {
        const auto attempt = arrive();
        const auto other = arrive(base::request_id{8});
        grant(attempt);
        pass(engine_crashed{prefill});
        now_ += std::chrono::seconds{2};
        pass(owner_reply_received{placement::placement_queued{other}});
        CPPUNIT_ASSERT(last<publish_crash_mark>() == nullptr);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        CPPUNIT_ASSERT(last<publish_crash_mark>() == nullptr);
    }

    // The hold of a cancelled attempt ended while the entry was paused, and
    // the attempt was forgotten before the crash that it had caused.
    void crash_after_a_long_pause_still_finds_its_culprit() {
        const auto attempt = arrive();
        const auto other = arrive(base::request_id{8});
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::broken});
        now_ += std::chrono::seconds{60};
        pass(owner_reply_received{placement::placement_queued{other}});
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT_EQUAL(request.value_,
                             the<publish_crash_mark>().fingerprint_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_table_test);

} // namespace
} // namespace pimentoferry::requests
