#include "pimentoferry/placement/cell_scheduler.hpp"

#include "pimentoferry/placement/cell_test_rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace pimentoferry;
using namespace pimentoferry::placement;
using namespace std::chrono_literals;

class cell_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_scheduler_test);
    CPPUNIT_TEST(prefill_waits_for_a_decode_slot);
    CPPUNIT_TEST(decode_engine_is_bound_when_the_prefill_ends);
    CPPUNIT_TEST(memory_limits_beside_slots);
    CPPUNIT_TEST(request_beyond_its_target_is_refused_at_once);
    CPPUNIT_TEST(rerun_is_queued_where_a_new_request_is_refused);
    CPPUNIT_TEST(patient_request_waits_beyond_its_target);
    CPPUNIT_TEST(lost_decode_engine_is_replaced_before_queued_requests);
    CPPUNIT_TEST(suspects_share_no_engine);
    CPPUNIT_TEST(new_owner_grants_half_of_the_free_slots);
    CPPUNIT_TEST(superseded_attempts_hold_no_slots);
    CPPUNIT_TEST(superseded_attempts_leave_the_queue);
    CPPUNIT_TEST(new_owner_binds_an_announced_result);
    CPPUNIT_TEST(attempts_of_a_dead_entry_are_cancelled);
    CPPUNIT_TEST(batch_is_limited_by_the_learnt_step_time);
    CPPUNIT_TEST(short_prompt_is_prefilled_at_a_decode_engine);
    CPPUNIT_TEST(leaving_engine_receives_no_new_work);
    CPPUNIT_TEST(slots_of_leaving_engines_are_not_reserved);
    CPPUNIT_TEST(lost_release_does_not_keep_a_slot);
    CPPUNIT_TEST(role_change_needs_a_lasting_imbalance);
    CPPUNIT_TEST(only_the_owner_grants);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<engine_description>
    engines(int prefill,
            int decode,
            std::uint32_t slots,
            std::uint32_t kv_blocks = 100) {
        std::vector<engine_description> all;
        all.reserve(static_cast<std::size_t>(prefill) +
                    static_cast<std::size_t>(decode));
        for (int i = 0; i < prefill; ++i) {
            all.push_back(cell_rig::make_engine("p" + std::to_string(i),
                                                engine_role::prefill, 20, 400));
        }
        for (int i = 0; i < decode; ++i) {
            all.push_back(cell_rig::make_engine("d" + std::to_string(i),
                                                engine_role::decode, slots,
                                                kv_blocks));
        }
        return all;
    }

    /// Runs an attempt up to its first token.
    static void run_to_decode(cell_rig& rig, std::uint64_t sequence) {
        rig.request_placement(sequence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        rig.now_ += 60ms;
        rig.finish_prefill(sequence);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.sent<decode_bound>().size());
        rig.send(decode_started{rig.id(sequence)});
    }

    // Guards against a prefill without a decode slot: its result is evicted,
    // and the work is wasted.
    void prefill_waits_for_a_decode_slot() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(3, 1, 1));
        rig.request_placement(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        rig.request_placement(2);
        CPPUNIT_ASSERT(rig.sent<placement_grant>().empty());
        rig.release(1);
        const auto grants = rig.sent<placement_grant>();
        const bool refused = rig.cell_.usage().attempts_ == 0;
        CPPUNIT_ASSERT(refused || (grants.size() == 1 &&
                                   grants.front().attempt_ == rig.id(2)));
    }

    // Guards against binding the provisional engine, which may have become full
    // during the prefill.
    void decode_engine_is_bound_when_the_prefill_ends() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 2, 4));
        rig.request_placement(1);
        const auto provisional = rig.sent<placement_grant>().at(0).decode_;
        load_report full;
        full.engine_ = provisional;
        full.slots_ = 4;
        full.kv_blocks_ = 100;
        full.free_kv_blocks_ = 50;
        for (std::uint64_t other = 1; other <= 4; ++other) {
            full.attempts_.push_back({base::instance_id{99}, other});
        }
        rig.now_ += 10ms;
        rig.feed(full);
        rig.finish_prefill(1);
        const auto bound = rig.sent<decode_bound>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bound.size());
        CPPUNIT_ASSERT(bound.front().decode_ != provisional);
    }

    // Guards against admitting long prompts for which there are slots but no KV
    // memory.
    void memory_limits_beside_slots() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(3, 2, 8, 10));
        rig.request_placement(1, 5'500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        rig.request_placement(2, 5'500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        // 8 KV blocks are free, but no engine has more than 4.
        rig.request_placement(3, 5'500);
        CPPUNIT_ASSERT(rig.sent<placement_grant>().empty());
        rig.request_placement(4, 50'000);
        const auto refusals = rig.sent<placement_refusal>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.front().code_ ==
                       base::refusal_code::no_upstream);
    }

    // Guards against queueing a request that will miss its target: its caller
    // could have retried elsewhere.
    void request_beyond_its_target_is_refused_at_once() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 1));
        run_to_decode(rig, 1);
        rig.request_placement(2);
        const auto refusals = rig.sent<placement_refusal>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, refusals.size());
        CPPUNIT_ASSERT(refusals.front().code_ ==
                       base::refusal_code::overloaded);
        CPPUNIT_ASSERT(refusals.front().retry_after_ > 0ms);
    }

    // Guards against refusing reruns at admission. After an engine crash, 19 of
    // its 20 requests were refused in the middle of their output, because their
    // reruns looked like a burst of new requests.
    void rerun_is_queued_where_a_new_request_is_refused() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 1));
        run_to_decode(rig, 1);
        placement_request again = rig.make_request(2);
        again.rerun_ = true;
        rig.send(again);
        CPPUNIT_ASSERT(rig.sent<placement_refusal>().empty());
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
    }

    // Guards against refusing a request at its target although its budget is
    // longer. Callers of Gedeo prefer a late verdict to a refusal.
    void patient_request_waits_beyond_its_target() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(3, 1, 20));
        for (std::uint64_t i = 1; i <= 20; ++i) {
            rig.now_ += 100ms;
            run_to_decode(rig, i);
        }
        placement_request patient = rig.make_request(30);
        patient.first_token_budget_ = 200'000ms;
        rig.send(patient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_queued>().size());
        rig.advance(5'000ms);
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
        for (std::uint64_t i = 1; i <= 19; ++i) {
            rig.send(
                placement_release{rig.id(i), release_reason::cancelled, 0});
        }
        CPPUNIT_ASSERT_EQUAL(0U, rig.cell_.usage().queued_);
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().prefilling_);
    }

    // Guards against eviction of a prefill result, within a second, while it
    // waits behind queued requests.
    void lost_decode_engine_is_replaced_before_queued_requests() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(2, 2, 1));
        rig.request_placement(1);
        rig.request_placement(2);
        rig.now_ += 60ms;
        rig.finish_prefill(1);
        const auto lost = rig.sent<decode_bound>().at(0).decode_;
        rig.finish_prefill(2);
        placement_request waiting = rig.make_request(3);
        waiting.first_token_budget_ = 60'000ms;
        rig.send(waiting);
        rig.send(engine_lost{rig.id(1), lost, loss_reason::stalled});
        CPPUNIT_ASSERT(rig.sent<decode_bound>().empty());
        rig.release(2);
        const auto bound = rig.sent<decode_bound>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, bound.size());
        CPPUNIT_ASSERT(bound.front().attempt_ == rig.id(1));
        CPPUNIT_ASSERT(bound.front().decode_ != lost);
    }

    // Guards against two suspects on one engine: a crash of it could not be
    // attributed to either.
    void suspects_share_no_engine() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(2, 1, 8));
        placement_request first = rig.make_request(1);
        first.suspect_ = true;
        placement_request second = rig.make_request(2);
        second.suspect_ = true;
        rig.send(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        rig.send(second);
        CPPUNIT_ASSERT(rig.sent<placement_grant>().empty());
        // A parked suspect does not block the requests behind it.
        rig.request_placement(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.sent<placement_grant>().size());
        rig.release(1);
        const auto grants = rig.sent<placement_grant>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT(grants.front().attempt_ == rig.id(2));
    }

    /// The given attempt, counted from 1, of a request with its own id.
    static placement_request make_attempt_of(const cell_rig& rig,
                                             std::uint64_t request,
                                             std::uint64_t attempt) {
        auto m = rig.make_request(100 * attempt + request);
        m.request_ = base::request_id{request};
        m.rerun_ = true; // Queued where a new request would be refused.
        return m;
    }

    // Guards against leaked slots after a handover. Entries withdrew attempts
    // that the next owner had granted, but the release reached another entry.
    // The slots stayed in use for 30 s, and callers received no reply.
    void superseded_attempts_hold_no_slots() {
        constexpr std::uint64_t slots = 4;
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(4, 1, slots));
        for (std::uint64_t i = 1; i <= slots; ++i) {
            rig.send(make_attempt_of(rig, i, 1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                                 rig.sent<placement_grant>().size());
        }
        std::size_t granted = 0;
        for (std::uint64_t i = 1; i <= slots; ++i) {
            rig.send(make_attempt_of(rig, i, 2));
            granted += rig.sent<placement_grant>().size();
        }
        // All slots are granted again within 1 s.
        for (int i = 0; i < 5; ++i) {
            rig.advance(200ms);
            granted += rig.sent<placement_grant>().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{slots}, granted);
    }

    // Guards against counting a request twice in the queue after a handover,
    // which doubled the predicted wait and refused requests that could be
    // served.
    void superseded_attempts_leave_the_queue() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(3, 1, 1));
        rig.send(make_attempt_of(rig, 1, 1));
        rig.send(make_attempt_of(rig, 2, 1));
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
        rig.send(make_attempt_of(rig, 2, 2));
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
        rig.release(101);
        const auto grants = rig.sent<placement_grant>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT(grants.front().attempt_ == rig.id(202));
    }

    // Guards against eviction of a prefill result that the old owner had not
    // bound to a decode engine yet.
    void new_owner_binds_an_announced_result() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 4));
        attempt_announcement held;
        held.attempt_ = rig.id(1);
        held.prefill_ = base::upstream_name{"p0"};
        held.stage_ = announced_stage::transferring;
        held.prompt_tokens_ = 2'000;
        held.max_output_tokens_ = 100;
        rig.send(held);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, rig.sent<decode_bound>().size());
        CPPUNIT_ASSERT_EQUAL(0U, rig.cell_.usage().reserved_slots_);
    }

    // Guards against overcommitted engines after a handover: grants of the old
    // owner that are not announced yet hold slots too.
    void new_owner_grants_half_of_the_free_slots() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.feed(engines_changed{engines(3, 1, 4)});
        rig.feed(became_owner{});
        rig.send(attempt_announcement{rig.id(50),
                                      {},
                                      {},
                                      base::upstream_name{"p0"},
                                      base::upstream_name{"d0"},
                                      announced_stage::decoding,
                                      2'000,
                                      100,
                                      false});
        std::size_t granted = 0;
        for (std::uint64_t i = 1; i <= 3; ++i) {
            placement_request m = rig.make_request(i);
            m.first_token_budget_ = 200'000ms;
            rig.send(m);
            granted += rig.sent<placement_grant>().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, granted);
        rig.advance(1'000ms);
        CPPUNIT_ASSERT(rig.cell_.usage().prefilling_ > 1);
    }

    // Guards against attempts of a dead entry that hold KV memory for
    // up to 30 s.
    void attempts_of_a_dead_entry_are_cancelled() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 4));
        run_to_decode(rig, 1);
        rig.feed(entry_dead{rig.entry_});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             rig.performed<cancel_attempts>().size());
        CPPUNIT_ASSERT_EQUAL(0U, rig.cell_.usage().attempts_);
        // An attempt that this owner did not grant.
        load_report r;
        r.engine_ = base::upstream_name{"d0"};
        r.attempts_ = {rig.id(77)};
        rig.feed(r);
        const auto cancels = rig.performed<cancel_attempts>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cancels.size());
        CPPUNIT_ASSERT(cancels.front().attempts_ == r.attempts_);
    }

    // Guards against a batch so large that every request in it misses its token
    // interval target.
    void batch_is_limited_by_the_learnt_step_time() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(2, 1, 20));
        for (std::uint64_t i = 1; i <= 60; ++i) {
            run_to_decode(rig, i);
            rig.now_ += 60ms * 49;
            rig.release(i);
        }
        std::size_t granted = 0;
        for (std::uint64_t i = 101; i <= 120; ++i) {
            rig.now_ += 200ms;
            rig.request_placement(i);
            const bool grant = !rig.sent<placement_grant>().empty();
            granted += grant ? 1 : 0;
            if (grant) {
                rig.now_ += 60ms;
                rig.finish_prefill(i);
            }
        }
        // A step takes 60 ms for one request and at least 2 ms per further one.
        CPPUNIT_ASSERT(granted >= 2);
        CPPUNIT_ASSERT(granted <= 8);
    }

    // Guards against a short prompt that waits behind long prefills for many
    // times its own prefill time.
    void short_prompt_is_prefilled_at_a_decode_engine() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 8));
        rig.request_placement(1, 20'000);
        rig.request_placement(2, 300);
        const auto grants = rig.sent<placement_grant>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, grants.size());
        CPPUNIT_ASSERT(grants.front().prefill_at_decode_);
        CPPUNIT_ASSERT(grants.front().decode_ == base::upstream_name{"d0"});
    }

    // Guards P6: an upstream that is leaving receives no new work.
    void leaving_engine_receives_no_new_work() {
        cell_rig rig{cell_rig::conservative_settings()};
        auto all = engines(1, 2, 4);
        rig.become_owner_of(all);
        rig.request_placement(1);
        all.at(1).leaving_ = true;
        rig.feed(engines_changed{all});
        rig.finish_prefill(1);
        CPPUNIT_ASSERT(rig.sent<decode_bound>().at(0).decode_ ==
                       base::upstream_name{"d1"});
    }

    // Guards against counting on slots that will be freed at a leaving engine:
    // a prefill that was granted for one of them is wasted.
    void slots_of_leaving_engines_are_not_reserved() {
        scheduler_settings optimistic = cell_rig::conservative_settings();
        optimistic.policy_ = reserved{0};
        cell_rig rig{optimistic};
        auto all = engines(1, 1, 20);
        rig.become_owner_of(all);
        for (std::uint64_t i = 1; i <= 200; ++i) {
            run_to_decode(rig, i);
            rig.now_ += 100ms;
            rig.send(
                placement_release{rig.id(i), release_reason::cancelled, 0});
        }
        for (std::uint64_t i = 301; i <= 315; ++i) {
            run_to_decode(rig, i);
        }
        placement_request waiting = rig.make_request(401, 20'000);
        waiting.first_token_budget_ = 20'000ms;
        rig.send(waiting);
        waiting.attempt_ = rig.id(402);
        rig.send(waiting);
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
        all.at(1).leaving_ = true;
        rig.feed(engines_changed{all});
        rig.now_ += 600ms;
        rig.finish_prefill(401, 20'000);
        CPPUNIT_ASSERT(rig.sent<placement_grant>().empty());
        CPPUNIT_ASSERT_EQUAL(1U, rig.cell_.usage().queued_);
    }

    // Guards against a decode pool that shrinks for good with every release
    // that is lost with its connection.
    void lost_release_does_not_keep_a_slot() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 1, 4));
        run_to_decode(rig, 1);
        load_report empty;
        empty.engine_ = base::upstream_name{"d0"};
        for (int i = 0; i < 3; ++i) {
            rig.now_ += 2'500ms;
            rig.feed(empty);
        }
        CPPUNIT_ASSERT_EQUAL(0U, rig.cell_.usage().slots_held_);
    }

    // Guards against a proposal, and thus a drain, at every burst of requests.
    void role_change_needs_a_lasting_imbalance() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.become_owner_of(engines(1, 2, 20));
        int proposals = 0;
        std::uint64_t next = 1;
        std::vector<base::attempt_id> granted;
        const auto collect = [&] {
            for (const placement_grant& g : rig.sent<placement_grant>()) {
                granted.push_back(g.attempt_);
            }
        };
        for (int i = 0; i < 400; ++i) {
            placement_request m = rig.make_request(next++, 30'000);
            m.first_token_budget_ = 300'000ms;
            rig.send(m);
            collect();
            rig.advance(250ms);
            collect();
            const auto made = rig.performed<propose_role_change>();
            proposals += static_cast<int>(made.size());
            CPPUNIT_ASSERT(made.empty() || i >= 100);
            // A prefill takes 1 s, four times the gap between requests.
            if (i % 4 == 3) {
                rig.send(placement_release{granted.front(),
                                           release_reason::cancelled, 0});
                granted.erase(granted.begin());
                collect();
            }
        }
        CPPUNIT_ASSERT_EQUAL(1, proposals);
    }

    // Guards against two entries that grant in one cell and overcommit its
    // engines.
    void only_the_owner_grants() {
        cell_rig rig{cell_rig::conservative_settings()};
        rig.feed(engines_changed{engines(1, 1, 4)});
        rig.request_placement(1);
        CPPUNIT_ASSERT(rig.sent<placement_refusal>().at(0).code_ ==
                       base::refusal_code::not_owner);
        rig.feed(became_owner{});
        rig.advance(1'000ms);
        run_to_decode(rig, 2);
        rig.feed(lost_ownership{});
        CPPUNIT_ASSERT_EQUAL(0U, rig.cell_.usage().attempts_);
        rig.request_placement(3);
        CPPUNIT_ASSERT(rig.sent<placement_refusal>().at(0).code_ ==
                       base::refusal_code::not_owner);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_scheduler_test);

} // namespace
