#include "pimentoferry/requests/prompt_quarantine.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::requests {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Shared by all requests of a route.
constexpr std::uint64_t common = 1;
constexpr std::uint64_t deadly = 2;
constexpr std::uint64_t rare = 3;

class prompt_quarantine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(prompt_quarantine_test);
    CPPUNIT_TEST(part_is_refused_after_two_crashes_of_different_requests);
    CPPUNIT_TEST(parts_shared_with_sound_requests_are_not_refused);
    CPPUNIT_TEST(request_beside_a_crash_is_not_refused);
    CPPUNIT_TEST(request_with_one_of_several_tied_parts_is_tried);
    CPPUNIT_TEST(part_that_turns_bad_later_is_refused);
    CPPUNIT_TEST(engines_lost_together_count_as_one_crash);
    CPPUNIT_TEST(repeated_request_is_refused_by_its_own_part);
    CPPUNIT_TEST(answer_that_begins_clears_a_wrong_quarantine);
    CPPUNIT_TEST(marks_of_peers_refuse_and_are_refuted);
    CPPUNIT_TEST(crashes_seen_by_different_gateways_add_up);
    CPPUNIT_TEST(refusal_ends_when_the_part_comes_no_more);
    CPPUNIT_TEST(one_request_is_tried_after_a_quarantine);
    CPPUNIT_TEST(forgets_the_oldest_parts);
    CPPUNIT_TEST(call_is_refused_after_two_crashes);
    CPPUNIT_TEST(call_that_was_sent_again_counts_each_crash);
    CPPUNIT_TEST(one_call_of_the_fleet_is_tried_after_a_quarantine);
    CPPUNIT_TEST(call_that_was_answered_is_not_blamed_by_old_marks);
    CPPUNIT_TEST_SUITE_END();

    base::time_point now_{std::chrono::hours{1}};
    std::uint64_t last_own_{1000};
    prompt_quarantine guard_{
        quarantine_limits{.first_quarantine_ = seconds{20},
                          .longest_quarantine_ = std::chrono::hours{2}}};

    prompt_parts request(std::vector<std::uint64_t> shared) {
        return {std::move(shared), ++last_own_};
    }

    void sound(std::vector<std::uint64_t> shared) {
        guard_.record_begin(request(std::move(shared)), now_);
    }

    std::vector<crash_mark> crash(std::vector<std::uint64_t> shared) {
        now_ += seconds{1};
        return guard_.record_crash(request(std::move(shared)), now_);
    }

    bool refused(std::vector<std::uint64_t> shared) {
        return guard_.refused_for(request(std::move(shared)), now_).has_value();
    }

    // A call without a prompt has its fingerprint alone.
    const prompt_parts call_{{}, deadly};

    bool call_refused() { return guard_.refused_for(call_, now_).has_value(); }

    void crash_call() {
        now_ += seconds{1};
        guard_.record_crash(call_, now_);
    }

    // Guards against a call that crashes one replica after the other.
    void call_is_refused_after_two_crashes() {
        crash_call();
        CPPUNIT_ASSERT(!call_refused());
        crash_call();
        CPPUNIT_ASSERT(call_refused());
        CPPUNIT_ASSERT(!guard_.refused_for({{}, rare}, now_));
    }

    // Guards against two crashes that count as one because the call was sent
    // again at once.
    void call_that_was_sent_again_counts_each_crash() {
        guard_.record_crash(call_, now_, now_ - milliseconds{50});
        // Another run that broke off in the same crash.
        guard_.record_crash(call_, now_ + milliseconds{5},
                            now_ - milliseconds{50});
        now_ += milliseconds{60};
        CPPUNIT_ASSERT(!call_refused());
        guard_.record_crash(call_, now_, now_ - milliseconds{55});
        CPPUNIT_ASSERT(call_refused());
    }

    // Guards against a trial at each gateway when a quarantine ends.
    void one_call_of_the_fleet_is_tried_after_a_quarantine() {
        crash_call();
        crash_call();
        now_ += seconds{21};
        prompt_quarantine other = guard_;
        const auto tried = guard_.admit(call_, now_);
        CPPUNIT_ASSERT(!tried.refused_for_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, tried.tried_.size());
        CPPUNIT_ASSERT(guard_.admit(call_, now_).refused_for_);
        other.merge_trial(tried.tried_.front(), now_);
        CPPUNIT_ASSERT(other.admit(call_, now_).refused_for_);
        CPPUNIT_ASSERT(!other.admit({{}, rare}, now_).refused_for_);
        // A trial without an end does not last for ever.
        CPPUNIT_ASSERT(!other.admit(call_, now_ + seconds{4}).refused_for_);
    }

    // Guards against a quarantine that returns from a gateway that has not
    // heard of its end.
    void call_that_was_answered_is_not_blamed_by_old_marks() {
        crash_call();
        crash_call();
        const auto old = guard_.marks(now_);
        now_ += seconds{21};
        CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                             guard_.record_begin(call_, now_).size());
        CPPUNIT_ASSERT(
            merge_result::refuted ==
            guard_.merge({deadly, old.front().crashes_, milliseconds{100}},
                         now_));
        CPPUNIT_ASSERT(!call_refused());
    }

    // Guards against a part that crashes one engine after the other.
    void part_is_refused_after_two_crashes_of_different_requests() {
        sound({common});
        crash({common, deadly});
        CPPUNIT_ASSERT(!refused({common, deadly}));
        crash({common, deadly});
        CPPUNIT_ASSERT(refused({common, deadly}));
        CPPUNIT_ASSERT(refused({deadly, rare}));
    }

    // Guards against a refusal of all requests that share a part with one that
    // crashes engines.
    void parts_shared_with_sound_requests_are_not_refused() {
        for (int i = 0; i < 10; ++i) {
            sound({common});
            crash({common, deadly});
        }
        CPPUNIT_ASSERT(!refused({common}));
        CPPUNIT_ASSERT(!refused({common, rare}));
    }

    void request_beside_a_crash_is_not_refused() {
        sound({common});
        crash({common, deadly});
        guard_.record_crash(request({common, rare}), now_);
        sound({common, rare});
        crash({common, deadly});
        guard_.record_crash(request({common, rare}), now_);
        CPPUNIT_ASSERT(refused({common, deadly}));
        CPPUNIT_ASSERT(!refused({common, rare}));
    }

    // Guards against the refusal of sound requests by a gateway that has not
    // seen an answer begin with the part that they share with the bad ones.
    void request_with_one_of_several_tied_parts_is_tried() {
        crash({common, deadly});
        crash({common, deadly});
        CPPUNIT_ASSERT(refused({common, deadly}));
        CPPUNIT_ASSERT(!refused({common}));
        CPPUNIT_ASSERT(!refused({rare, deadly}));
        crash({rare, deadly});
        CPPUNIT_ASSERT(refused({deadly}));
        sound({common});
        CPPUNIT_ASSERT(!refused({common}));
        CPPUNIT_ASSERT(refused({common, deadly}));
    }

    void part_that_turns_bad_later_is_refused() {
        sound({common});
        sound({common, rare});
        for (int i = 0; i < 3; ++i) {
            crash({common, rare});
            sound({common});
        }
        CPPUNIT_ASSERT(refused({common, rare}));
        CPPUNIT_ASSERT(!refused({common}));
    }

    // Guards against the refusal of a whole route after the loss of a failure
    // domain.
    void engines_lost_together_count_as_one_crash() {
        sound({common});
        crash({common});
        for (int i = 0; i < 5; ++i) {
            guard_.record_crash(request({common}), now_);
            now_ += milliseconds{20};
        }
        CPPUNIT_ASSERT(!refused({common}));
    }

    void repeated_request_is_refused_by_its_own_part() {
        const auto repeated = request({common});
        sound({common});
        for (int i = 0; i < 2; ++i) {
            now_ += seconds{1};
            sound({common});
            guard_.record_crash(repeated, now_);
        }
        CPPUNIT_ASSERT(guard_.refused_for(repeated, now_).has_value());
        CPPUNIT_ASSERT(!refused({common}));
    }

    void answer_that_begins_clears_a_wrong_quarantine() {
        crash({rare});
        crash({rare});
        CPPUNIT_ASSERT(refused({rare}));
        const auto cleared = guard_.record_begin(request({rare}), now_);
        CPPUNIT_ASSERT((cleared == std::vector<std::uint64_t>{rare}));
        CPPUNIT_ASSERT(!refused({rare}));
    }

    void marks_of_peers_refuse_and_are_refuted() {
        prompt_quarantine peer{quarantine_limits{}};
        const auto own = request({common});
        guard_.record_begin(own, now_);
        now_ += seconds{1};
        crash_mark mark{deadly, 2, seconds{20}};
        CPPUNIT_ASSERT(guard_.merge(mark, now_) == merge_result::changed);
        CPPUNIT_ASSERT(refused({deadly}));
        // Set 2 s ago; an answer has begun with the part 1 s ago.
        mark = {common, 2, seconds{18}};
        CPPUNIT_ASSERT(guard_.merge(mark, now_) == merge_result::refuted);
        guard_.merge_sound(deadly, now_);
        CPPUNIT_ASSERT(!refused({deadly}));
    }

    // Guards against a count in each of many gateways.
    void crashes_seen_by_different_gateways_add_up() {
        prompt_quarantine peer{quarantine_limits{}};
        peer.record_begin(request({common}), now_);
        for (const auto& mark :
             peer.record_crash(request({common, deadly}), now_)) {
            guard_.merge(mark, now_);
        }
        sound({common});
        crash({common, deadly});
        CPPUNIT_ASSERT(refused({common, deadly}));
    }

    void refusal_ends_when_the_part_comes_no_more() {
        crash({deadly});
        crash({deadly});
        now_ += seconds{20};
        CPPUNIT_ASSERT(!refused({deadly}));
        crash({deadly});
        now_ += seconds{39};
        CPPUNIT_ASSERT(refused({deadly}));
    }

    // Guards against callers that all come back at the end of a quarantine and
    // crash an engine each.
    void one_request_is_tried_after_a_quarantine() {
        crash({deadly});
        crash({deadly});
        now_ += seconds{20};
        CPPUNIT_ASSERT(!guard_.admit(request({deadly}), now_).refused_for_);
        CPPUNIT_ASSERT(guard_.admit(request({deadly}), now_).refused_for_);
        CPPUNIT_ASSERT(!guard_.admit(request({common}), now_).refused_for_);
        now_ += seconds{3};
        CPPUNIT_ASSERT(!guard_.admit(request({deadly}), now_).refused_for_);
        sound({deadly});
        CPPUNIT_ASSERT(!guard_.admit(request({deadly}), now_).refused_for_);
        CPPUNIT_ASSERT(!guard_.admit(request({deadly}), now_).refused_for_);
    }

    // Guards against memory that grows with the prompts of callers.
    void forgets_the_oldest_parts() {
        sound({common});
        for (std::uint64_t part = 10'000; part < 15'000; ++part) {
            now_ += milliseconds{1};
            sound({part});
        }
        crash({common});
        CPPUNIT_ASSERT(guard_.is_suspect(request({common}), now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(prompt_quarantine_test);

} // namespace
} // namespace pimentoferry::requests
