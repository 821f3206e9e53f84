#include "pimentoferry/placement/stream_scheduler.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace pimentoferry::placement {

namespace {

using base::milliseconds;

constexpr std::uint64_t engine_tokens = 100'000;
constexpr std::uint32_t per_event = 70;

class stream_scheduler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(stream_scheduler_test);
    CPPUNIT_TEST(a_grant_names_both_engines);
    CPPUNIT_TEST(memory_is_counted_before_the_prefill);
    CPPUNIT_TEST(a_request_waits_for_memory_that_comes_free);
    CPPUNIT_TEST(a_request_without_hope_is_refused_at_once);
    CPPUNIT_TEST(a_returning_caller_waits_behind_fresh_ones);
    CPPUNIT_TEST(prompts_do_not_pile_up_at_an_engine);
    CPPUNIT_TEST(a_paused_prefill_engine_is_not_replaced_by_decode);
    CPPUNIT_TEST(decode_reads_when_there_is_no_prefill_engine);
    CPPUNIT_TEST(a_rejected_stream_gets_another_engine);
    CPPUNIT_TEST(streams_of_a_lost_gateway_are_forgotten);
    CPPUNIT_TEST(a_slow_prefill_engine_gets_few_prompts);
    CPPUNIT_TEST(a_silent_prefill_engine_gets_no_more_prompts);
    CPPUNIT_TEST(slow_prefill_engines_ask_for_more_of_them);
    CPPUNIT_TEST(a_decode_engine_reads_one_prompt_at_a_time);
    CPPUNIT_TEST(an_engine_that_is_gone_does_not_attract_streams);
    CPPUNIT_TEST(a_stream_announced_twice_is_counted_once);
    CPPUNIT_TEST(a_stream_announced_at_another_engine_has_moved);
    CPPUNIT_TEST(an_engine_that_changes_its_role_gets_nothing);
    CPPUNIT_TEST(a_request_larger_than_any_engine_is_refused_for_good);
    CPPUNIT_TEST(an_answer_that_cannot_end_in_time_is_not_begun);
    CPPUNIT_TEST_SUITE_END();

    stream_scheduler scheduler_{[] {
        stream_settings settings;
        settings.tokens_per_event_ = per_event;
        return settings;
    }()};
    base::time_point now_{std::chrono::hours{1}};
    std::uint64_t sequence_{0};

    static stream_engine engine(const std::string& id, engine_role role) {
        return {base::upstream_name{id}, role, {}, 64, engine_tokens};
    }

    void use(const std::vector<stream_engine>& engines) {
        scheduler_.set_engines(engines, now_);
    }

    stream_request make_request(std::uint32_t prompt,
                                std::uint64_t prompt_id = 0) {
        stream_request made;
        made.attempt_ = {base::instance_id{1}, ++sequence_};
        made.prompt_tokens_ = prompt;
        made.max_output_tokens_ = 130 * per_event;
        made.expected_output_tokens_ = 60 * per_event;
        made.budget_ = milliseconds{900};
        made.patience_ = milliseconds{3200};
        made.prompt_id_ = prompt_id;
        return made;
    }

    std::optional<stream_grant> granted(const stream_request& wanted) {
        for (const auto& decision : scheduler_.request(wanted, now_)) {
            if (const auto* grant = std::get_if<stream_grant>(&decision)) {
                return *grant;
            }
        }
        return std::nullopt;
    }

    /// Requests of 5,000 tokens until one is not granted; prompts are read at
    /// once.
    std::vector<base::attempt_id> fill() {
        std::vector<base::attempt_id> running;
        while (true) {
            const auto grant = granted(make_request(5000));
            if (!grant) {
                scheduler_.ended({base::instance_id{1}, sequence_}, 0, now_);
                return running;
            }
            running.push_back(grant->attempt_);
            now_ += milliseconds{100};
            scheduler_.prefill_finished(grant->attempt_, now_);
            scheduler_.decode_started(grant->attempt_, now_);
        }
    }

    void use_two_engines() {
        use({engine("p", engine_role::prefill),
             engine("d", engine_role::decode)});
    }

    void a_grant_names_both_engines() {
        use_two_engines();
        const auto grant = granted(make_request(5000));
        CPPUNIT_ASSERT(grant.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"p"}, grant->prefill_.value_);
        CPPUNIT_ASSERT_EQUAL(std::string{"d"}, grant->decode_.value_);
    }

    // Guards against prompts that are read although their streams do not fit.
    void memory_is_counted_before_the_prefill() {
        use_two_engines();
        std::uint64_t prompts = 0;
        for (int i = 0; i < 100; ++i) {
            now_ += milliseconds{1};
            prompts += granted(make_request(11'000)) ? 11'000 : 0;
            now_ += milliseconds{250};
        }
        CPPUNIT_ASSERT(prompts < engine_tokens);
    }

    void a_request_waits_for_memory_that_comes_free() {
        use_two_engines();
        const auto running = fill();
        const auto waiting = make_request(5000);
        CPPUNIT_ASSERT(scheduler_.request(waiting, now_).empty());
        stream_scheduler::decisions made;
        for (std::size_t i = 0; i < running.size() / 2; ++i) {
            const auto more = scheduler_.ended(running[i], 60, now_);
            made.insert(made.end(), more.begin(), more.end());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, made.size());
        CPPUNIT_ASSERT(std::holds_alternative<stream_grant>(made.front()));
    }

    // Guards against callers that wait for their refusal.
    void a_request_without_hope_is_refused_at_once() {
        use_two_engines();
        fill();
        bool refused = false;
        for (int i = 0; i < 200 && !refused; ++i) {
            for (const auto& each :
                 scheduler_.request(make_request(5000), now_)) {
                const auto* refusal = std::get_if<stream_refusal>(&each);
                refused = refused || refusal != nullptr;
                CPPUNIT_ASSERT(refusal == nullptr ||
                               refusal->retry_after_ > milliseconds{1000});
            }
        }
        CPPUNIT_ASSERT(refused);
    }

    // Guards against late answers that make others late in a burst.
    void a_returning_caller_waits_behind_fresh_ones() {
        use_two_engines();
        const auto running = fill();
        const std::uint64_t prompt = 77;
        auto first = make_request(5000, prompt);
        first.budget_ = milliseconds{0};
        first.patience_ = milliseconds{0};
        const auto refusal = scheduler_.request(first, now_);
        CPPUNIT_ASSERT(std::holds_alternative<stream_refusal>(refusal.at(0)));
        const auto returning = make_request(5000, prompt);
        const auto fresh = make_request(5000);
        for (const auto& each : scheduler_.request(returning, now_)) {
            CPPUNIT_ASSERT(std::holds_alternative<stream_refusal>(each));
        }
        CPPUNIT_ASSERT(scheduler_.request(fresh, now_).empty());
        const auto made = scheduler_.ended(running.front(), 60, now_);
        for (const auto& each : made) {
            const auto& grant = std::get<stream_grant>(each);
            CPPUNIT_ASSERT(grant.attempt_ == fresh.attempt_);
        }
    }

    void prompts_do_not_pile_up_at_an_engine() {
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        int granted_at_once = 0;
        for (int i = 0; i < 10; ++i) {
            granted_at_once += granted(make_request(5000)) ? 1 : 0;
        }
        // A prompt takes 100 ms, and at most 150 ms may be waiting.
        CPPUNIT_ASSERT(granted_at_once >= 2);
        CPPUNIT_ASSERT(granted_at_once <= 3);
    }

    // Guards against decode engines that read prompts between the tokens of
    // their streams: every stream there pauses.
    void a_paused_prefill_engine_is_not_replaced_by_decode() {
        use_two_engines();
        scheduler_.engine_failed(base::upstream_name{"p"}, now_);
        CPPUNIT_ASSERT(!granted(make_request(5000)).has_value());
    }

    void decode_reads_when_there_is_no_prefill_engine() {
        use({engine("d", engine_role::decode)});
        const auto grant = granted(make_request(5000));
        CPPUNIT_ASSERT(grant.has_value());
        CPPUNIT_ASSERT(grant->prefill_.value_.empty());
    }

    void a_rejected_stream_gets_another_engine() {
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        const auto grant = granted(make_request(5000));
        const auto made = scheduler_.decode_rejected(
            grant->attempt_, decode_rejection::full, now_);
        const auto& other = std::get<stream_grant>(made.at(0));
        CPPUNIT_ASSERT(other.decode_ != grant->decode_);
        CPPUNIT_ASSERT(other.prefill_ == grant->prefill_);
        const auto none = scheduler_.decode_rejected(
            grant->attempt_, decode_rejection::full, now_);
        CPPUNIT_ASSERT(std::holds_alternative<stream_refusal>(none.at(0)));
    }

    void streams_of_a_lost_gateway_are_forgotten() {
        use_two_engines();
        fill();
        scheduler_.gateway_lost(base::instance_id{1}, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, scheduler_.usage(now_).running_);
        CPPUNIT_ASSERT(granted(make_request(5000)).has_value());
    }

    // A gateway announces its streams to every new owner, also to one that
    // placed some of them itself.
    /// Prompts of 5,000 tokens arrive every 60 ms, and each engine reads one
    /// after the other in its own time; returns how many each got.
    std::map<std::string, int>
    read_prompts(std::map<std::string, milliseconds> time_of, int prompts) {
        std::map<std::string, int> count;
        std::multimap<base::time_point, base::attempt_id> ends;
        std::map<std::string, base::time_point> free;
        for (int i = 0; i < prompts; ++i) {
            now_ += milliseconds{60};
            while (!ends.empty() && ends.begin()->first <= now_) {
                const auto [at, attempt] = *ends.begin();
                ends.erase(ends.begin());
                scheduler_.prefill_finished(attempt, at);
                scheduler_.ended(attempt, 0, at);
            }
            if (const auto grant = granted(make_request(5000))) {
                const auto& engine = grant->prefill_.value_;
                ++count[engine];
                auto& end = free[engine];
                end = std::max(end, now_) + time_of.at(engine);
                ends.emplace(end, grant->attempt_);
            }
        }
        return count;
    }

    void use_three_readers() {
        std::vector<stream_engine> engines;
        for (const auto* id : {"p1", "p2", "p3"}) {
            engines.push_back(engine(id, engine_role::prefill));
        }
        for (const auto* id : {"d1", "d2", "d3", "d4"}) {
            engines.push_back(engine(id, engine_role::decode));
        }
        use(engines);
    }

    // Guards against prompts that wait for a slow engine while a usual one
    // would have read them in time: on a played day three of five prefill
    // engines took 550 ms instead of 110 ms and got as many prompts.
    void a_slow_prefill_engine_gets_few_prompts() {
        use_three_readers();
        const auto count = read_prompts({{"p1", milliseconds{550}},
                                         {"p2", milliseconds{100}},
                                         {"p3", milliseconds{100}}},
                                        200);
        CPPUNIT_ASSERT(count.at("p2") + count.at("p3") > 160);
        CPPUNIT_ASSERT(count.at("p1") < 20);
    }

    // Guards against a series of prompts that time out one after the other.
    void a_silent_prefill_engine_gets_no_more_prompts() {
        use_three_readers();
        const auto count = read_prompts({{"p1", milliseconds{100'000}},
                                         {"p2", milliseconds{100}},
                                         {"p3", milliseconds{100}}},
                                        100);
        CPPUNIT_ASSERT(count.at("p1") <= 2);
        CPPUNIT_ASSERT(count.at("p2") + count.at("p3") > 90);
    }

    void slow_prefill_engines_ask_for_more_of_them() {
        use_three_readers();
        const auto before = scheduler_.demand(now_);
        CPPUNIT_ASSERT_EQUAL(0.0, before.prefill_shortfall_);
        read_prompts({{"p1", milliseconds{1000}},
                      {"p2", milliseconds{100}},
                      {"p3", milliseconds{100}}},
                     60);
        const auto after = scheduler_.demand(now_);
        CPPUNIT_ASSERT(after.prefill_shortfall_ > 0.5);
        CPPUNIT_ASSERT(after.prefill_shortfall_ < 1);
    }

    // Guards against pauses in all streams of an engine that reads several
    // prompts itself: on a played day without a prefill engine nearly every
    // stream had a pause of more than 300 ms.
    void a_decode_engine_reads_one_prompt_at_a_time() {
        use({engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        const auto first = granted(make_request(5000));
        const auto second = granted(make_request(5000));
        CPPUNIT_ASSERT(first && second);
        CPPUNIT_ASSERT(first->decode_ != second->decode_);
        CPPUNIT_ASSERT(!granted(make_request(5000)));
        scheduler_.decode_started(first->attempt_, now_);
        const auto third = scheduler_.tick(now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, third.size());
        CPPUNIT_ASSERT(std::get<stream_grant>(third.front()).decode_ ==
                       first->decode_);
    }

    // Guards against a crashed engine that is chosen first because it is
    // empty: on a played day prompts were read for nothing for 10 s.
    void an_engine_that_is_gone_does_not_attract_streams() {
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        int gone = 0;
        int placed = 0;
        for (int i = 0; i < 80; ++i) {
            now_ += milliseconds{100};
            auto grant = granted(make_request(5000));
            if (!grant) {
                scheduler_.ended({base::instance_id{1}, sequence_}, 0, now_);
                continue;
            }
            ++placed;
            const auto attempt = grant->attempt_;
            scheduler_.prefill_finished(attempt, now_);
            if (grant->decode_.value_ == "d1") {
                ++gone;
                scheduler_.decode_rejected(attempt,
                                           decode_rejection::unreachable, now_);
            }
            scheduler_.decode_started(attempt, now_);
            scheduler_.ended(attempt, 0, now_);
        }
        CPPUNIT_ASSERT(placed > 70);
        // Asked again after 1.5 s, 3 s and 6 s only.
        CPPUNIT_ASSERT(gone <= 3);
    }

    void a_stream_announced_twice_is_counted_once() {
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        const auto grant = granted(make_request(5000));
        stream_announcement hold;
        hold.attempt_ = grant->attempt_;
        hold.prefill_ = grant->prefill_;
        hold.decode_ = base::upstream_name{"d2"};
        hold.prompt_tokens_ = 5000;
        hold.max_output_tokens_ = 130 * per_event;
        scheduler_.stream_announced(hold, now_);
        scheduler_.ended(grant->attempt_, 0, now_);
        scheduler_.stream_announced(hold, now_);
        scheduler_.stream_announced(hold, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{1}, scheduler_.usage(now_).running_);
        scheduler_.ended(grant->attempt_, 0, now_);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t{0}, scheduler_.usage(now_).running_);
        CPPUNIT_ASSERT(granted(make_request(5000)).has_value());
    }

    // Guards against an owner that goes on counting a stream at the engine
    // that rejected it.
    void a_stream_announced_at_another_engine_has_moved() {
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode)});
        const auto running = fill();
        use({engine("p", engine_role::prefill),
             engine("d1", engine_role::decode),
             engine("d2", engine_role::decode)});
        stream_announcement hold;
        hold.attempt_ = running.front();
        hold.decode_ = base::upstream_name{"d2"};
        hold.prompt_tokens_ = 5000;
        hold.max_output_tokens_ = 130 * per_event;
        scheduler_.stream_announced(hold, now_);
        scheduler_.engine_failed(base::upstream_name{"d2"}, now_);
        const auto grant = granted(make_request(5000));
        CPPUNIT_ASSERT(grant.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{"d1"}, grant->decode_.value_);
    }

    void an_engine_that_changes_its_role_gets_nothing() {
        use_two_engines();
        const auto until = now_ + milliseconds{6000};
        scheduler_.begin_role_change(base::upstream_name{"d"},
                                     engine_role::prefill, until);
        CPPUNIT_ASSERT(!granted(make_request(5000)).has_value());
        const auto planned = scheduler_.planned_engines(now_);
        CPPUNIT_ASSERT(planned.front().role_ == engine_role::prefill);
        scheduler_.ended({base::instance_id{1}, sequence_}, 0, now_);
        now_ = until;
        CPPUNIT_ASSERT(granted(make_request(5000)).has_value());
    }

    // Guards against answers that are cut off by the limit of their route after
    // their prompt was read.
    void an_answer_that_cannot_end_in_time_is_not_begun() {
        use_two_engines();
        auto wanted = make_request(5000);
        wanted.time_left_ = milliseconds{1000};
        const auto made = scheduler_.request(wanted, now_);
        CPPUNIT_ASSERT(std::holds_alternative<stream_refusal>(made.at(0)));
        wanted = make_request(5000);
        wanted.time_left_ = milliseconds{8000};
        CPPUNIT_ASSERT(granted(wanted).has_value());
    }

    void a_request_larger_than_any_engine_is_refused_for_good() {
        use_two_engines();
        const auto made =
            scheduler_.request(make_request(engine_tokens + 1), now_);
        const auto& refusal = std::get<stream_refusal>(made.at(0));
        CPPUNIT_ASSERT(refusal.reason_ == refusal_reason::too_large);
        CPPUNIT_ASSERT(refusal.retry_after_ == milliseconds{0});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stream_scheduler_test);

} // namespace

} // namespace pimentoferry::placement
