#include "standins/engine_test_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>
#include <unistd.h>

#include <future>
#include <vector>

namespace pimentoferry::standins {
namespace {

// Tests streams, cancellation, load reports and orders.
class engine_stream_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_stream_test);
    CPPUNIT_TEST(step_time_grows_with_the_batch);
    CPPUNIT_TEST(stream_resumes_exactly);
    CPPUNIT_TEST(broken_stream_is_freed_after_its_hold);
    CPPUNIT_TEST(second_stream_takes_over);
    CPPUNIT_TEST(cancel_ends_a_stream_and_rejects_the_attempt);
    CPPUNIT_TEST(stopped_reader_cancels_the_attempt);
    CPPUNIT_TEST(load_report_lags);
    CPPUNIT_TEST(old_fencing_number_is_rejected_if_checked);
    CPPUNIT_TEST(role_change_waits_for_running_requests);
    CPPUNIT_TEST(model_order_downloads_the_weights);
    CPPUNIT_TEST(crashing_prompt_ends_the_process);
    CPPUNIT_TEST_SUITE_END();

    static milliseconds time_of_streams(int count) {
        const test_engine decode{
            "decode", R"(,"step_base_us":1000,"step_per_request_us":1000)"};
        const auto start = std::chrono::steady_clock::now();
        std::vector<std::future<bool>> running;
        running.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            running.push_back(std::async(std::launch::async, [&decode, i] {
                auto stream = decode.decode_inline(std::to_string(i), "x", 50);
                return read_tokens(stream).done_;
            }));
        }
        for (auto& stream : running) {
            CPPUNIT_ASSERT(stream.get());
        }
        return std::chrono::duration_cast<milliseconds>(
            std::chrono::steady_clock::now() - start);
    }

    static json::object role_order(int fencing, const char* role) {
        return {{"fencing", json{fencing}},
                {"order", json{"change_role"}},
                {"role", json{role}}};
    }

public:
    void step_time_grows_with_the_batch() {
        // 50 steps of 2 ms for one stream, 11 ms for ten streams.
        CPPUNIT_ASSERT(time_of_streams(1) >= milliseconds{100});
        CPPUNIT_ASSERT(time_of_streams(10) >= milliseconds{400});
    }

    // Guards against a lost or repeated token when a stream is resumed.
    void stream_resumes_exactly() {
        const test_engine decode{"decode"};
        const std::string prompt = "a b c";
        std::string text;
        {
            auto stream = decode.decode_inline("a", prompt, 60);
            text = read_tokens(stream, 7).text_;
        }
        auto stream = decode.decode("a", 7, 60);
        const auto rest = read_tokens(stream);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, rest.first_position_);
        CPPUNIT_ASSERT(rest.done_);
        CPPUNIT_ASSERT_EQUAL(expected_answer(prompt, 60), text + rest.text_);
        CPPUNIT_ASSERT(decode.becomes_empty());
    }

    void broken_stream_is_freed_after_its_hold() {
        const test_engine decode{"decode", R"(,"broken_stream_hold_ms":200)"};
        {
            auto stream = decode.decode_inline("a", "x", 100'000);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{3},
                                 read_tokens(stream, 3).tokens_);
        }
        std::this_thread::sleep_for(milliseconds{50});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, decode.stat("slots_held"));
        CPPUNIT_ASSERT(decode.becomes_empty());
        CPPUNIT_ASSERT_EQUAL(404U, decode.decode("a", 3, 10).status());
    }

    void second_stream_takes_over() {
        const test_engine decode{"decode"};
        auto first = decode.decode_inline("a", "x", 200);
        read_tokens(first, 2);
        auto second = decode.decode("a", 0, 200);
        CPPUNIT_ASSERT_EQUAL(expected_answer("x", 200),
                             read_tokens(second).text_);
        CPPUNIT_ASSERT(!read_tokens(first).done_);
        CPPUNIT_ASSERT(!first.ended());
        CPPUNIT_ASSERT(decode.becomes_empty());
    }

    void cancel_ends_a_stream_and_rejects_the_attempt() {
        const test_engine decode{"decode"};
        auto stream = decode.decode_inline("a", "x", 100'000);
        read_tokens(stream, 2);
        CPPUNIT_ASSERT_EQUAL(200U, decode.cancel("a").status_);
        CPPUNIT_ASSERT(decode.holds_nothing());
        CPPUNIT_ASSERT(!read_tokens(stream).done_);
        CPPUNIT_ASSERT_EQUAL(410U, decode.decode("a", 2, 10).status());
        CPPUNIT_ASSERT_EQUAL(410U, decode.decode_inline("a", "x", 1).status());
        const test_engine prefill{"prefill"};
        prefill.cancel("b");
        CPPUNIT_ASSERT_EQUAL(410U, prefill.prefill("b", "x").status_);
    }

    // Guards against an attempt that is never released because its reader
    // keeps the connection open but reads nothing.
    void stopped_reader_cancels_the_attempt() {
        const test_engine decode{"decode",
                                 R"(,"write_stall_ms":300,"step_base_us":10,
                          "step_per_request_us":0,"send_buffer_bytes":4096)"};
        auto stream = decode.decode_inline("a", "x", 390'000);
        CPPUNIT_ASSERT_EQUAL(200U, stream.status());
        constexpr int tries = 800;
        for (int i = 0; i < tries && !decode.holds_nothing(); ++i) {
            std::this_thread::sleep_for(milliseconds{10});
        }
        CPPUNIT_ASSERT(decode.holds_nothing());
        CPPUNIT_ASSERT_EQUAL(410U, decode.decode("a", 0, 10).status());
    }

    void load_report_lags() {
        const test_engine decode{"decode", R"(,"load_lag_ms":400,"model":"m")"};
        const auto running = [&] {
            const auto load = http_get(decode.port(), "/v1/load").body_json();
            CPPUNIT_ASSERT_EQUAL(std::string{"m"}, text_or(load, "model", ""));
            return array_of(load, "attempts").size();
        };
        auto stream = decode.decode_inline("a", "x", 100'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, running());
        std::this_thread::sleep_for(milliseconds{600});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running());
    }

    void old_fencing_number_is_rejected_if_checked() {
        for (const bool checks : {true, false}) {
            const test_engine engine{"decode",
                                     checks ? R"(,"checks_fencing":true)"
                                            : R"(,"checks_fencing":false)"};
            const auto post = [&](int fencing, const char* role) {
                return engine.post("/v1/orders", role_order(fencing, role))
                    .status_;
            };
            CPPUNIT_ASSERT_EQUAL(200U, post(7, "decode"));
            CPPUNIT_ASSERT_EQUAL(checks ? 412U : 200U, post(6, "prefill"));
            CPPUNIT_ASSERT_EQUAL(400U, post(8, ""));
            std::this_thread::sleep_for(milliseconds{200});
            const std::string role = checks ? "decode" : "prefill";
            CPPUNIT_ASSERT_EQUAL(role, text_or(engine.stats(), "role", ""));
            const auto log = http_get(engine.port(), "/orders").body_json();
            CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                                 array_of(log, "orders").size());
        }
    }

    void role_change_waits_for_running_requests() {
        const test_engine engine{"decode"};
        auto stream = engine.decode_inline("a", "x", 100);
        engine.post("/v1/orders", role_order(1, "prefill"));
        std::this_thread::sleep_for(milliseconds{30});
        CPPUNIT_ASSERT_EQUAL(503U, engine.decode_inline("b", "x", 1).status());
        CPPUNIT_ASSERT_EQUAL(expected_answer("x", 100),
                             read_tokens(stream).text_);
        std::this_thread::sleep_for(milliseconds{200});
        CPPUNIT_ASSERT_EQUAL(200U, engine.prefill("c", "x").status_);
    }

    void model_order_downloads_the_weights() {
        const running_standin weights{R"({"standin":"weights"})"};
        const test_engine engine{
            "prefill", R"(,"model":"m","version":"1","weights":"127.0.0.1:)" +
                           std::to_string(weights.port()) + "\""};
        const json::object order{{"fencing", json{1}},
                                 {"order", json{"load_version"}},
                                 {"version", json{"2"}}};
        engine.post("/v1/orders", order);
        engine.post("/v1/orders", order);
        std::this_thread::sleep_for(milliseconds{300});
        const auto prefill = [&](const char* version) {
            return engine
                .post("/v1/prefill", {{"attempt", json{version}},
                                      {"model", json{"m"}},
                                      {"version", json{version}},
                                      {"prompt", json{"x"}}})
                .status_;
        };
        CPPUNIT_ASSERT_EQUAL(409U, prefill("1"));
        CPPUNIT_ASSERT_EQUAL(200U, prefill("2"));
        const auto stats = http_get(weights.port(), "/stats").body_json();
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, number_or(stats, "downloads", 0));
    }

    void crashing_prompt_ends_the_process() {
        int ports[2];
        CPPUNIT_ASSERT_EQUAL(0, pipe(ports));
        const auto child = fork();
        if (child == 0) {
            const test_engine engine{"prefill", R"(,"crash_on":"mould")"};
            const auto port = engine.port();
            if (write(ports[1], &port, sizeof port) == sizeof port) {
                std::this_thread::sleep_for(std::chrono::seconds{10});
            }
            _exit(0);
        }
        std::uint16_t port = 0;
        CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(sizeof port),
                             read(ports[0], &port, sizeof port));
        CPPUNIT_ASSERT_EQUAL(
            0U, http_post(port, "/v1/prefill",
                          R"({"attempt":"a","prompt":"some mould"})")
                    .status_);
        int status = 0;
        waitpid(child, &status, 0);
        CPPUNIT_ASSERT(WIFEXITED(status) && WEXITSTATUS(status) == 70);
        close(ports[0]);
        close(ports[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_stream_test);

} // namespace
} // namespace pimentoferry::standins
