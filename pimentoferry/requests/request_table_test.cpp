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
    CPPUNIT_TEST(completes_a_request);
    CPPUNIT_TEST(refusal_says_not_run_only_when_no_call_was_sent);
    CPPUNIT_TEST(tries_the_next_owner_and_then_places_autonomously);
    CPPUNIT_TEST(resumes_at_the_exact_position);
    CPPUNIT_TEST(queued_request_is_not_placed_again);
    CPPUNIT_TEST(late_grant_is_released);
    CPPUNIT_TEST(import_result_of_an_earlier_engine_is_ignored);
    CPPUNIT_TEST(drain_completes_running_requests);
    CPPUNIT_TEST(crash_is_not_attributed_to_an_unsent_call);
    CPPUNIT_TEST(crash_is_not_attributed_to_an_idle_prefill_result);
    CPPUNIT_TEST(suspect_waits_for_its_earlier_attempt);
    CPPUNIT_TEST(late_grant_is_released_to_the_owner_that_sent_it);
    CPPUNIT_TEST(crash_during_a_pause_is_attributed_after_queued_events);
    CPPUNIT_TEST(crash_after_a_long_pause_is_attributed_to_a_cancelled_attempt);
    CPPUNIT_TEST_SUITE_END();

    request_table table_{settings()};
    base::time_point now_{std::chrono::hours{1}};
    std::vector<action> actions_;

    static table_settings settings() {
        table_settings s;
        s.instance_ = base::instance_id{1};
        return s;
    }

    void pass(const event& e) { actions_ = table_.handle(e, now_); }

    void wait(milliseconds time) {
        now_ += time;
        pass(tick{});
    }

    template <class Action>
    const Action* find_action() const {
        for (const action& a : actions_) {
            if (const auto* found = std::get_if<Action>(&a)) {
                return found;
            }
        }
        return nullptr;
    }

    template <class Message>
    const Message* find_message() const {
        for (const action& a : actions_) {
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
    const Action& required_action() const {
        CPPUNIT_ASSERT(find_action<Action>() != nullptr);
        return *find_action<Action>();
    }

    template <class Message>
    const Message& required_message() const {
        CPPUNIT_ASSERT(find_message<Message>() != nullptr);
        return *find_message<Message>();
    }

    base::attempt_id receive_request(base::request_id id = request) {
        request_arrived e;
        e.request_ = id;
        e.cell_ = cell;
        e.fingerprint_ = id.value_;
        e.prompt_tokens_ = 2'000;
        e.first_token_budget_ = milliseconds{1'600};
        pass(e);
        const auto* sent_placement =
            find_message<placement::placement_request>();
        return sent_placement == nullptr ? base::attempt_id{}
                                         : sent_placement->attempt_;
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
    // Guards against engine memory or decode slots that stay allocated after a
    // completed request.
    void completes_a_request() {
        const auto attempt = receive_request();
        run_until_decode(attempt);
        CPPUNIT_ASSERT_EQUAL(0U, required_action<start_decode>().position_);
        pass(first_token{attempt});
        CPPUNIT_ASSERT(find_message<placement::decode_started>() != nullptr);
        CPPUNIT_ASSERT(required_action<cancel_attempts>().engine_ == prefill);
        pass(cancel_confirmed{prefill, {attempt}});
        pass(stream_ended{attempt, 9});
        CPPUNIT_ASSERT(find_action<complete_response>() != nullptr);
        CPPUNIT_ASSERT(find_message<placement::placement_release>() != nullptr);
        CPPUNIT_ASSERT(table_.memory_holds().empty());
        CPPUNIT_ASSERT(table_.idle());
    }

    // Guards P4: a refusal after a sent call must not claim that nothing ran.
    void refusal_says_not_run_only_when_no_call_was_sent() {
        auto attempt = receive_request();
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        attempt = required_message<placement::placement_request>().attempt_;
        pass(owner_reply_received{placement::placement_refusal{
            attempt, base::refusal_code::overloaded, milliseconds{5}}});
        CPPUNIT_ASSERT(required_action<refuse>().refusal_.ran_ ==
                       base::ran_state::not_run);

        attempt = receive_request();
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::full});
        attempt = required_message<placement::placement_request>().attempt_;
        pass(owner_reply_received{placement::placement_refusal{attempt}});
        CPPUNIT_ASSERT(required_action<refuse>().refusal_.ran_ ==
                       base::ran_state::unknown);
    }

    // Guards against a request that waits for a crashed owner.
    void tries_the_next_owner_and_then_places_autonomously() {
        pass(engines_updated{cell, {{prefill, false, 3}, {decode, true, 3}}});
        const auto first = receive_request();
        wait(milliseconds{300});
        CPPUNIT_ASSERT(
            required_message<placement::placement_request>().attempt_ != first);
        wait(milliseconds{300});
        CPPUNIT_ASSERT(required_action<start_prefill>().engine_ == prefill);
        const auto autonomous = required_action<start_prefill>().attempt_;
        pass(prefill_done{autonomous, "h", 2'000, 0});
        CPPUNIT_ASSERT(required_action<start_import>().decode_ == decode);
    }

    // Guards against tokens that are repeated or missing after a break of the
    // stream.
    void resumes_at_the_exact_position() {
        const auto attempt = receive_request();
        run_until_decode(attempt);
        pass(first_token{attempt});
        pass(stream_broken{attempt, 5, engine_failure::broken});
        wait(milliseconds{100});
        CPPUNIT_ASSERT(required_action<start_decode>().attempt_ == attempt);
        CPPUNIT_ASSERT_EQUAL(5U, required_action<start_decode>().position_);
        // The engine no longer holds the attempt, and the request is not
        // deterministic.
        pass(stream_broken{attempt, 5, engine_failure::gone});
        CPPUNIT_ASSERT(required_action<refuse>().refusal_.ran_ ==
                       base::ran_state::unknown);
    }

    // Guards against a queued request that is placed twice because its owner
    // queues it for longer than the timeout of a placement request.
    void queued_request_is_not_placed_again() {
        const auto attempt = receive_request();
        pass(owner_reply_received{placement::placement_queued{attempt}});
        wait(milliseconds{1'500});
        CPPUNIT_ASSERT(actions_.empty());
        grant(attempt);
        CPPUNIT_ASSERT(find_action<start_prefill>() != nullptr);
    }

    // Guards against a decode slot that a slow owner keeps reserved.
    void late_grant_is_released() {
        const auto attempt = receive_request();
        wait(milliseconds{300});
        grant(attempt);
        CPPUNIT_ASSERT(find_action<start_prefill>() == nullptr);
        CPPUNIT_ASSERT(
            required_message<placement::placement_release>().attempt_ ==
            attempt);
    }

    // Guards against decoding at an engine whose import is not done.
    void import_result_of_an_earlier_engine_is_ignored() {
        const base::upstream_name other{"d2"};
        const auto attempt = receive_request();
        run_until_import(attempt);
        wait(milliseconds{340});
        CPPUNIT_ASSERT(find_message<placement::engine_lost>() != nullptr);
        pass(owner_reply_received{placement::decode_bound{attempt, other}});
        pass(import_done{attempt, decode});
        CPPUNIT_ASSERT(find_action<start_decode>() == nullptr);
        pass(import_done{attempt, other});
        CPPUNIT_ASSERT(required_action<start_decode>().engine_ == other);
    }

    // Guards P7: a drain refuses new requests and completes the running ones.
    void drain_completes_running_requests() {
        const auto attempt = receive_request();
        run_until_decode(attempt);
        pass(drain_started{});
        CPPUNIT_ASSERT(!table_.idle());
        receive_request(base::request_id{8});
        CPPUNIT_ASSERT(required_action<refuse>().refusal_.code_ ==
                       base::refusal_code::draining);
        pass(first_token{attempt});
        pass(stream_ended{attempt, 3});
        CPPUNIT_ASSERT(find_action<complete_response>() != nullptr);
        pass(cancel_confirmed{prefill, {attempt}});
        CPPUNIT_ASSERT(table_.idle());
    }

    // The tests below cover faults that the stateful tests found with seed
    // 20261204.

    // An engine that was already down refused the connection of a call, and its
    // request was marked for the crash.
    void crash_is_not_attributed_to_an_unsent_call() {
        const auto attempt = receive_request();
        grant(attempt);
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT(find_action<publish_crash_mark>() == nullptr);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        CPPUNIT_ASSERT(find_action<publish_crash_mark>() == nullptr);
        CPPUNIT_ASSERT(table_.memory_holds().empty());
    }

    // A request that was already decoding elsewhere was marked for a crash of
    // its prefill engine.
    void crash_is_not_attributed_to_an_idle_prefill_result() {
        run_until_decode(receive_request());
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT(find_action<publish_crash_mark>() == nullptr);
    }

    // A suspect ran again while a slow engine still ran its earlier attempt,
    // and crashed both engines.
    void suspect_waits_for_its_earlier_attempt() {
        auto attempt = receive_request();
        grant(attempt);
        pass(engine_crashed{prefill});
        pass(prefill_failed{attempt, engine_failure::broken});
        CPPUNIT_ASSERT(
            required_message<placement::placement_request>().suspect_);
        attempt = required_message<placement::placement_request>().attempt_;
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::timed_out});
        wait(milliseconds{250});
        CPPUNIT_ASSERT(find_message<placement::placement_request>() == nullptr);
        pass(cancel_confirmed{prefill, {attempt}});
        CPPUNIT_ASSERT(find_message<placement::placement_request>() != nullptr);
    }

    // Guards against a decode slot that stays reserved: after a change of
    // owners, the rank of the owner that sent the grant belongs to another
    // entry.
    void late_grant_is_released_to_the_owner_that_sent_it() {
        const auto attempt = receive_request();
        pass(owner_changed{cell});
        const base::instance_id granting{99};
        pass(owner_reply_received{
            placement::placement_grant{attempt, prefill, decode, false},
            granting});
        const auto& returned = required_action<send_to_owner>();
        CPPUNIT_ASSERT(std::holds_alternative<placement::placement_release>(
            returned.message_));
        CPPUNIT_ASSERT(returned.recipient_ == std::optional{granting});
    }

    // The deadline of the attribution passed while the entry was paused, and
    // the crash was attributed before the queued failure of the call was
    // handled.
    void crash_during_a_pause_is_attributed_after_queued_events() {
        const auto attempt = receive_request();
        const auto other = receive_request(base::request_id{8});
        grant(attempt);
        pass(engine_crashed{prefill});
        now_ += std::chrono::seconds{2};
        pass(owner_reply_received{placement::placement_queued{other}});
        CPPUNIT_ASSERT(find_action<publish_crash_mark>() == nullptr);
        pass(prefill_failed{attempt, engine_failure::not_sent});
        CPPUNIT_ASSERT(find_action<publish_crash_mark>() == nullptr);
    }

    // The hold time of a cancelled attempt ended while the entry was paused,
    // and the attempt was dropped before the crash that it had caused was
    // reported.
    void crash_after_a_long_pause_is_attributed_to_a_cancelled_attempt() {
        const auto attempt = receive_request();
        const auto other = receive_request(base::request_id{8});
        grant(attempt);
        pass(prefill_failed{attempt, engine_failure::broken});
        now_ += std::chrono::seconds{60};
        pass(owner_reply_received{placement::placement_queued{other}});
        pass(engine_crashed{prefill});
        CPPUNIT_ASSERT_EQUAL(
            request.value_, required_action<publish_crash_mark>().fingerprint_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_table_test);

} // namespace
} // namespace pimentoferry::requests
