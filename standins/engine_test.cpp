#include "standins/engine_test_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <future>

namespace pimentoferry::standins {
namespace {

// Tests prefill, transfer and decode, and the resources that they hold.
class engine_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_test);
    CPPUNIT_TEST(answer_is_the_documented_one);
    CPPUNIT_TEST(request_runs_over_two_engines);
    CPPUNIT_TEST(result_is_evicted_in_under_a_second);
    CPPUNIT_TEST(full_engines_refuse);
    CPPUNIT_TEST(prefix_cache_shortens_a_prefill);
    CPPUNIT_TEST(higher_priority_goes_first);
    CPPUNIT_TEST(link_limits_the_transfer_rate);
    CPPUNIT_TEST(stalled_import_ends_at_its_deadline);
    CPPUNIT_TEST(import_without_decode_ends_at_its_deadline);
    CPPUNIT_TEST(cancel_during_an_import_answers_at_once);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a change of the output that other tests compare with.
    void answer_is_the_documented_one() {
        const std::string answer = expected_answer("mouldy silage", 2);
        CPPUNIT_ASSERT_EQUAL(answer_token("mouldy silage", 0) +
                                 answer_token("mouldy silage", 1),
                             answer);
        CPPUNIT_ASSERT(answer.starts_with("t0-"));
        CPPUNIT_ASSERT(expected_answer("mouldy  silage", 2) != answer);
        CPPUNIT_ASSERT_EQUAL(3U, answer_length("a answer_tokens=3 b", 9));
        CPPUNIT_ASSERT_EQUAL(2U, answer_length("a answer_tokens=3 b", 2));
        CPPUNIT_ASSERT_EQUAL(3U, count_tokens(" a\tb\n c "));
    }

    void request_runs_over_two_engines() {
        const test_engine prefill{"prefill"};
        const test_engine decode{"decode"};
        const auto prompt = prompt_of(2500);
        const auto result = prefill.prefill("a-1", prompt);
        CPPUNIT_ASSERT_EQUAL(200U, result.status_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2500},
                             number_or(result.body_json(), "prompt_tokens", 0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, prefill.stat("pieces_held"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, prefill.stat("slots_held"));

        CPPUNIT_ASSERT_EQUAL(
            200U, decode.import("a-1", prefill, result, 600).status_);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{4}, decode.stat("pieces_held"));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, decode.stat("slots_held"));

        auto stream = decode.decode("a-1", 0, 40);
        const auto received_tokens = read_tokens(stream);
        CPPUNIT_ASSERT(received_tokens.done_);
        CPPUNIT_ASSERT_EQUAL(expected_answer(prompt, 40),
                             received_tokens.text_);
        CPPUNIT_ASSERT(decode.becomes_empty());
        CPPUNIT_ASSERT(prefill.becomes_empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, prefill.stat("wasted_tokens"));
    }

    void result_is_evicted_in_under_a_second() {
        const test_engine prefill{"prefill"};
        const test_engine decode{"decode"};
        const auto result = prefill.prefill("a-1", prompt_of(1500), 100);
        const auto long_hold = prefill.prefill("a-2", prompt_of(10), 60'000);
        std::this_thread::sleep_for(milliseconds{150});
        CPPUNIT_ASSERT_EQUAL(404U,
                             decode.import("a-1", prefill, result, 10).status_);
        CPPUNIT_ASSERT(decode.holds_nothing());
        std::this_thread::sleep_for(milliseconds{850});
        CPPUNIT_ASSERT(prefill.holds_nothing());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1510}, prefill.stat("wasted_tokens"));
    }

    // Guards against admitting more requests or KV blocks than the engine has.
    void full_engines_refuse() {
        const test_engine prefill{"prefill", R"(,"pieces":4)"};
        CPPUNIT_ASSERT_EQUAL(200U,
                             prefill.prefill("a", prompt_of(2500)).status_);
        CPPUNIT_ASSERT_EQUAL(429U,
                             prefill.prefill("b", prompt_of(1500)).status_);
        CPPUNIT_ASSERT_EQUAL(200U,
                             prefill.prefill("c", prompt_of(900)).status_);
        const test_engine decode{"decode", R"(,"slots":1)"};
        const auto running = std::make_unique<http_stream>(
            decode.decode_inline("a", "x", 100'000 / 1000));
        CPPUNIT_ASSERT_EQUAL(200U, running->status());
        CPPUNIT_ASSERT_EQUAL(429U, decode.decode_inline("b", "x", 1).status());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, decode.stat("refused_full"));
    }

    void prefix_cache_shortens_a_prefill() {
        const test_engine prefill{
            "prefill", R"(,"event_lag_ms":0,"event_gap":2,"pieces":40)"};
        const auto shared = prompt_of(3000);
        prefill.prefill("a", shared + " first", 0);
        CPPUNIT_ASSERT(prefill.becomes_empty());
        const auto second =
            prefill.prefill("b", shared + " second").body_json();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3000},
                             number_or(second, "cached_tokens", 0));
        // Three blocks were added; the second event is lost.
        const auto body =
            http_get(prefill.port(), "/v1/cache_events?after=0").body_json();
        const auto events = array_of(body, "events");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, number_or(events[1], "seq", 0));
        CPPUNIT_ASSERT_EQUAL(base::to_hex(prefix_hashes(shared).at(2)),
                             text_or(events[1], "prefix", ""));
        // Attempts that need KV blocks evict them from the cache.
        prefill.prefill("c", prompt_of(36'500, "other"));
        CPPUNIT_ASSERT(
            prefill.stat("pieces_held") + prefill.stat("pieces_cached") <= 40);
    }

    void higher_priority_goes_first() {
        const test_engine prefill{"prefill", R"(,"prefill_base_us":100000)"};
        const auto begin = [&](const char* id, int priority) {
            auto running =
                std::async(std::launch::async, [&prefill, id, priority] {
                    prefill.prefill(id, "x", 900, priority);
                    return std::chrono::steady_clock::now();
                });
            std::this_thread::sleep_for(milliseconds{20});
            return running;
        };
        auto first = begin("a", 0);
        auto low = begin("b", 0);
        auto high = begin("c", 5);
        const auto low_end = low.get();
        CPPUNIT_ASSERT(high.get() < low_end);
        CPPUNIT_ASSERT(first.get() < low_end);
    }

    void link_limits_the_transfer_rate() {
        const test_engine prefill{"prefill", R"(,"link_tokens_per_s":10000)"};
        const test_engine decode{"decode"};
        const auto result = prefill.prefill("a", prompt_of(2000));
        const auto start = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(200U,
                             decode.import("a", prefill, result, 10).status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start >=
                       milliseconds{200});
    }

    // Guards against a stalled transfer that keeps KV blocks on either engine.
    void stalled_import_ends_at_its_deadline() {
        const test_engine prefill{"prefill", R"(,"stall_transfers":true)"};
        const test_engine decode{"decode"};
        const auto result = prefill.prefill("a", "x y z", 100);
        CPPUNIT_ASSERT_EQUAL(
            504U, decode.import("a", prefill, result, 10, 200).status_);
        CPPUNIT_ASSERT(decode.holds_nothing());
        CPPUNIT_ASSERT(prefill.becomes_empty());
    }

    void import_without_decode_ends_at_its_deadline() {
        const test_engine prefill{"prefill"};
        const test_engine decode{"decode"};
        const auto result = prefill.prefill("a", "x y z");
        CPPUNIT_ASSERT_EQUAL(
            200U, decode.import("a", prefill, result, 10, 100).status_);
        std::this_thread::sleep_for(milliseconds{150});
        CPPUNIT_ASSERT(decode.holds_nothing());
        CPPUNIT_ASSERT_EQUAL(404U, decode.decode("a", 0, 10).status());
    }

    void cancel_during_an_import_answers_at_once() {
        const test_engine prefill{"prefill", R"(,"stall_transfers":true)"};
        const test_engine decode{"decode"};
        const auto result = prefill.prefill("a", "x y z");
        auto waiting = std::async(std::launch::async, [&] {
            return decode.import("a", prefill, result, 10, 4000);
        });
        std::this_thread::sleep_for(milliseconds{100});
        const auto start = std::chrono::steady_clock::now();
        decode.cancel("a");
        CPPUNIT_ASSERT(decode.holds_nothing());
        CPPUNIT_ASSERT_EQUAL(410U, waiting.get().status_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start <
                       milliseconds{1000});
        CPPUNIT_ASSERT_EQUAL(410U,
                             decode.import("a", prefill, result, 10).status_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_test);

} // namespace
} // namespace pimentoferry::standins
