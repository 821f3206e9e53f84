#include "pimentoferry/http/server.hpp"

#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/test_support.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <optional>
#include <thread>

namespace pimentoferry::http {
namespace {

awaitable<void> sleep_for(base::milliseconds time) {
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer{executor, time};
    boost::system::error_code ignored;
    co_await timer.async_wait(internal::into(ignored));
}

awaitable<void> echo(exchange& call) {
    const auto answer = json_response(200, call.call().body_);
    co_await call.respond(answer);
}

bool contains(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

std::string post(std::string_view body, std::string_view fields = {}) {
    std::string text{"POST /x HTTP/1.1\r\nHost: h\r\n"};
    text.append(fields);
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return text.append(body);
}

constexpr std::string_view close_field = "Connection: close\r\n";

class server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(keeps_the_connection_between_requests);
    CPPUNIT_TEST(refuses_malformed_input);
    CPPUNIT_TEST(refuses_oversized_input);
    CPPUNIT_TEST(bodies_held_together_are_bounded);
    CPPUNIT_TEST(request_behind_an_ambiguous_body_is_not_read);
    CPPUNIT_TEST(truncated_input_closes_only_its_connection);
    CPPUNIT_TEST(closes_the_connection_of_an_unresponsive_caller);
    CPPUNIT_TEST(notifies_a_waiting_handler_of_a_disconnect);
    CPPUNIT_TEST(notifies_a_streaming_handler_of_a_disconnect);
    CPPUNIT_TEST(sends_a_stream_without_buffering);
    CPPUNIT_TEST(slow_caller_applies_backpressure);
    CPPUNIT_TEST(incomplete_stream_has_no_last_chunk);
    CPPUNIT_TEST(response_that_would_end_its_head_early_is_not_written);
    CPPUNIT_TEST(failing_handler_results_in_status_500);
    CPPUNIT_TEST(request_that_arrives_with_the_stop_is_answered);
    CPPUNIT_TEST(connection_that_is_accepted_with_the_stop_is_closed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against pipelined requests that are lost because the watch for a
    // disconnect has read them ahead.
    void keeps_the_connection_between_requests() {
        running_server server{echo};
        raw_connection caller{server.address()};
        caller.send(post("first") + post("second"));
        caller.send(post("third", close_field));
        const auto text = caller.receive_all();
        CPPUNIT_ASSERT(contains(text, "first"));
        CPPUNIT_ASSERT(contains(text, "second"));
        CPPUNIT_ASSERT(contains(text, "third"));
    }

    // Guards against many large bodies that together exceed the memory, and
    // against a budget that is not returned.
    void bodies_held_together_are_bounded() {
        server_limits limits;
        limits.body_budget_bytes_ = 100;
        running_server server{echo, limits};
        const std::string body(60, 'x');
        const std::string chunked =
            "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
            "chunked\r\n\r\n3c\r\n" +
            body + "\r\n";
        for (int round = 0; round < 3; ++round) {
            raw_connection holder{server.address()};
            // The budget counts the whole length from the head on.
            const auto held = post(body, close_field);
            holder.send(held.substr(0, held.size() - 1));
            std::this_thread::sleep_for(std::chrono::milliseconds{100});
            raw_connection refused{server.address()};
            refused.send(post(body));
            const auto answer = refused.receive_all();
            CPPUNIT_ASSERT_MESSAGE(answer, contains(answer, " 503 "));
            CPPUNIT_ASSERT(contains(answer, "\"not_run\""));
            CPPUNIT_ASSERT(contains(answer, "Retry-After"));
            raw_connection in_chunks{server.address()};
            in_chunks.send(chunked + "0\r\n\r\n");
            const auto chunks_answer = in_chunks.receive_all();
            CPPUNIT_ASSERT_MESSAGE(chunks_answer,
                                   contains(chunks_answer, " 503 "));
            holder.send("x");
            CPPUNIT_ASSERT(contains(holder.receive_all(), " 200 "));
        }
    }

    // Guards against a request that is smuggled in the body of another one.
    void request_behind_an_ambiguous_body_is_not_read() {
        std::atomic<int> requests{0};
        running_server server{[&requests](exchange& call) {
            ++requests;
            return echo(call);
        }};
        for (const std::string_view framing :
             {"Transfer-Encoding: identity\r\n", "Transfer-Encoding: gzip\r\n",
              "Transfer-Encoding: xchunked\r\n",
              "Transfer-Encoding: chunked, identity\r\n",
              "Transfer-Encoding: gzip, chunked\r\n",
              "Transfer-Encoding: identity\r\nContent-Length: 4\r\n",
              "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
              "Transfer-Encoding: identity\r\nExpect: 100-continue\r\n"}) {
            raw_connection caller{server.address()};
            caller.send("POST /a HTTP/1.1\r\nHost: a\r\n" +
                        std::string{framing} +
                        "\r\nPOST /b HTTP/1.1\r\nHost: a\r\n"
                        "Content-Length: 0\r\n\r\n");
            const auto text = caller.receive_all();
            CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 400 "));
            CPPUNIT_ASSERT(contains(text, "Connection: close"));
            CPPUNIT_ASSERT(text.find("HTTP/1.1 ", 1) == std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(0, requests.load());
    }

    void refuses_malformed_input() {
        running_server server{echo};
        for (const std::string_view input :
             {"nonsense\r\n\r\n", "GET / HTTP/9.9\r\n\r\n",
              "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
              "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"}) {
            raw_connection caller{server.address()};
            caller.send(input);
            const auto text = caller.receive_all();
            CPPUNIT_ASSERT_MESSAGE(text, contains(text, " 400 "));
            CPPUNIT_ASSERT(contains(text, "\"malformed_request\""));
            CPPUNIT_ASSERT(contains(text, "\"not_run\""));
        }
    }

    // Guards against a refusal that is lost because closing a connection with
    // unread input resets it.
    void refuses_oversized_input() {
        running_server server{echo, {.body_bytes_ = 1000}};
        raw_connection long_body{server.address()};
        long_body.send(post(std::string(500000, 'x')));
        CPPUNIT_ASSERT(contains(long_body.receive_all(), "body_too_large"));
        raw_connection long_header{server.address()};
        long_header.send("GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n");
        CPPUNIT_ASSERT(contains(long_header.receive_all(), "header exceeds"));
    }

    void truncated_input_closes_only_its_connection() {
        running_server server{echo};
        raw_connection truncated{server.address()};
        truncated.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        truncated.end_sending();
        CPPUNIT_ASSERT(contains(truncated.receive_all(), "ended early"));
        raw_connection next{server.address()};
        next.send(post("next", close_field));
        CPPUNIT_ASSERT(contains(next.receive_all(), "next"));
    }

    // Guards against connections that stay open for callers that send only a
    // part of a request.
    void closes_the_connection_of_an_unresponsive_caller() {
        running_server server{echo,
                              {.receive_timeout_ = base::milliseconds{100}}};
        raw_connection caller{server.address()};
        caller.send("POST / HTTP/1.1\r\n");
        const auto start = base::clock::now();
        caller.receive_all();
        CPPUNIT_ASSERT(base::clock::now() - start < std::chrono::seconds{3});
    }

    void notifies_a_waiting_handler_of_a_disconnect() {
        std::atomic<bool> disconnected{false};
        running_server server{
            [&disconnected](exchange& call) -> awaitable<void> {
                const subscription watch{call.caller_gone(), [&disconnected] {
                                             disconnected = true;
                                         }};
                co_await sleep_for(std::chrono::seconds{5});
            }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        std::this_thread::sleep_for(base::milliseconds{50});
        CPPUNIT_ASSERT(!disconnected);
        const auto start = base::clock::now();
        caller.close();
        CPPUNIT_ASSERT(
            becomes_true([&disconnected] { return disconnected.load(); }));
        CPPUNIT_ASSERT(base::clock::now() - start < std::chrono::seconds{1});
    }

    void notifies_a_streaming_handler_of_a_disconnect() {
        std::atomic<bool> disconnected{false};
        running_server server{
            [&disconnected](exchange& call) -> awaitable<void> {
                const response_head head;
                auto result = co_await call.begin_stream(head);
                while (result == write_result::written) {
                    result = co_await call.write("data: x\n\n");
                    co_await sleep_for(base::milliseconds{1});
                }
                disconnected = true;
            }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        caller.receive(200);
        CPPUNIT_ASSERT(!disconnected);
        caller.close();
        CPPUNIT_ASSERT(
            becomes_true([&disconnected] { return disconnected.load(); }));
    }

    // Guards against a stream that is buffered until its end.
    void sends_a_stream_without_buffering() {
        std::atomic<bool> may_end{false};
        running_server server{[&may_end](exchange& call) -> awaitable<void> {
            const response_head head;
            co_await call.begin_stream(head);
            co_await call.write("early");
            while (!may_end) {
                co_await sleep_for(base::milliseconds{1});
            }
            co_await call.end_stream();
        }};
        raw_connection caller{server.address()};
        caller.send(post("x", close_field));
        std::string text;
        while (!contains(text, "early")) {
            text += caller.receive(1);
        }
        may_end = true;
        CPPUNIT_ASSERT(contains(caller.receive_all(), "0\r\n\r\n"));
    }

    // Guards against a relay that buffers without limit.
    void slow_caller_applies_backpressure() {
        std::atomic<std::size_t> written{0};
        running_server server{[&written](exchange& call) -> awaitable<void> {
            const response_head head;
            const std::string piece(std::size_t{64} << 10, 'x');
            auto result = co_await call.begin_stream(head);
            while (result == write_result::written) {
                result = co_await call.write(piece);
                written += piece.size();
            }
        }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        std::this_thread::sleep_for(base::milliseconds{300});
        const auto before = written.load();
        std::this_thread::sleep_for(base::milliseconds{100});
        CPPUNIT_ASSERT_EQUAL(before, written.load());
        caller.receive(std::size_t{8} << 20);
        CPPUNIT_ASSERT(becomes_true([&] { return written.load() > before; }));
    }

    // Guards against a caller that takes an incomplete stream for a complete
    // one.
    void incomplete_stream_has_no_last_chunk() {
        running_server server{[](exchange& call) -> awaitable<void> {
            const response_head head;
            co_await call.begin_stream(head);
            co_await call.write("part");
        }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        const auto text = caller.receive_all();
        CPPUNIT_ASSERT(contains(text, "part"));
        CPPUNIT_ASSERT(!contains(text, "0\r\n\r\n"));
    }

    // Guards against text of an upstream that a caller takes for an answer to
    // its next request.
    void response_that_would_end_its_head_early_is_not_written() {
        const response_head forged{
            200, {{"Name", "value\r\n\r\nHTTP/1.1 200 OK\r\nForged: 1"}}};
        const auto whole = [&forged](exchange& call) -> awaitable<void> {
            const response answer{forged.status_, forged.fields_, "body"};
            co_await call.respond(answer);
        };
        const auto stream = [&forged](exchange& call) -> awaitable<void> {
            const auto begun = co_await call.begin_stream(forged);
            CPPUNIT_ASSERT(begun == write_result::gone);
        };
        for (const handler& each : {handler{whole}, handler{stream}}) {
            running_server server{each};
            raw_connection caller{server.address()};
            caller.send(post("x", close_field));
            const auto text = caller.receive_all();
            CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("HTTP/1.1 502 "));
            CPPUNIT_ASSERT(!contains(text, "Forged"));
        }
    }

    // Guards against a request that is handled although its connection was
    // closed as idle: it was received, but its reader had not resumed.
    void request_that_arrives_with_the_stop_is_answered() {
        constexpr int most_steps = 12;
        for (int steps = 0; steps < most_steps; ++steps) {
            std::atomic<bool> handled{false};
            std::optional<running_server> server;
            server.emplace([&](exchange& call) -> awaitable<void> {
                handled = handled || call.call().body_ == "second";
                const auto answer = json_response(200, call.call().body_);
                co_await call.respond(answer);
                if (call.call().body_ == "first") {
                    // The second request arrives meanwhile.
                    std::this_thread::sleep_for(base::milliseconds{50});
                    server->stop_after(steps);
                }
            });
            raw_connection caller{server->address()};
            caller.send(post("first"));
            caller.receive(1);
            std::this_thread::sleep_for(base::milliseconds{10});
            caller.send(post("second"));
            const bool answered = contains(caller.receive_all(), "second");
            CPPUNIT_ASSERT_EQUAL(handled.load(), answered);
        }
    }

    // Guards against a connection that stays open for its idle timeout after
    // the stop, because its reader had not begun.
    void connection_that_is_accepted_with_the_stop_is_closed() {
        constexpr int most_steps = 12;
        const server_limits limits{.idle_timeout_ = base::milliseconds{5000}};
        const auto began = base::clock::now();
        for (int steps = 0; steps < most_steps; ++steps) {
            std::optional<running_server> server;
            server.emplace(
                [&](exchange& call) -> awaitable<void> {
                    // The second caller connects meanwhile.
                    std::this_thread::sleep_for(base::milliseconds{30});
                    server->stop_after(steps);
                    const auto answer = json_response(200, "");
                    co_await call.respond(answer);
                },
                limits);
            raw_connection first{server->address()};
            first.send(post("first"));
            std::this_thread::sleep_for(base::milliseconds{10});
            raw_connection second{server->address()};
            second.receive_all();
        }
        CPPUNIT_ASSERT(base::clock::now() - began < limits.idle_timeout_);
    }

    void failing_handler_results_in_status_500() {
        running_server server{[](exchange&) -> awaitable<void> {
            throw std::runtime_error{"fault in a handler"};
            co_return;
        }};
        raw_connection caller{server.address()};
        caller.send(post("x", close_field));
        CPPUNIT_ASSERT(contains(caller.receive_all(), " 500 "));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace
} // namespace pimentoferry::http
