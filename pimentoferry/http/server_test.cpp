#include "pimentoferry/http/server.hpp"

#include "pimentoferry/http/error_token.hpp"
#include "pimentoferry/http/test_rig.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>

namespace pimentoferry::http {
namespace {

awaitable<void> wait(base::milliseconds time) {
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
    CPPUNIT_TEST(bad_input_gets_a_clear_refusal);
    CPPUNIT_TEST(oversized_input_gets_a_clear_refusal);
    CPPUNIT_TEST(truncated_input_ends_only_its_connection);
    CPPUNIT_TEST(silent_caller_is_dropped);
    CPPUNIT_TEST(waiting_handler_learns_that_the_caller_left);
    CPPUNIT_TEST(streaming_handler_learns_that_the_caller_left);
    CPPUNIT_TEST(stream_arrives_piece_by_piece);
    CPPUNIT_TEST(slow_caller_slows_the_stream);
    CPPUNIT_TEST(broken_stream_has_no_proper_end);
    CPPUNIT_TEST(failing_handler_answers_500);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against pipelined bytes lost by the watch for the caller.
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

    void bad_input_gets_a_clear_refusal() {
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

    // Guards against a refusal lost in the reset of a connection with unread
    // input.
    void oversized_input_gets_a_clear_refusal() {
        running_server server{echo, {.body_bytes_ = 1000}};
        raw_connection long_body{server.address()};
        long_body.send(post(std::string(500000, 'x')));
        CPPUNIT_ASSERT(contains(long_body.receive_all(), "body_too_large"));
        raw_connection long_header{server.address()};
        long_header.send("GET /" + std::string(20000, 'x') + " HTTP/1.1\r\n");
        CPPUNIT_ASSERT(contains(long_header.receive_all(), "header exceeds"));
    }

    void truncated_input_ends_only_its_connection() {
        running_server server{echo};
        raw_connection truncated{server.address()};
        truncated.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc");
        truncated.end_sending();
        CPPUNIT_ASSERT(contains(truncated.receive_all(), "ended early"));
        raw_connection next{server.address()};
        next.send(post("next", close_field));
        CPPUNIT_ASSERT(contains(next.receive_all(), "next"));
    }

    // Guards against connections held by callers that send half a request.
    void silent_caller_is_dropped() {
        running_server server{echo,
                              {.receive_timeout_ = base::milliseconds{100}}};
        raw_connection caller{server.address()};
        caller.send("POST / HTTP/1.1\r\n");
        const auto start = base::clock::now();
        caller.receive_all();
        CPPUNIT_ASSERT(base::clock::now() - start < std::chrono::seconds{3});
    }

    void waiting_handler_learns_that_the_caller_left() {
        std::atomic<bool> gone{false};
        running_server server{[&gone](exchange& call) -> awaitable<void> {
            const subscription watch{call.caller_gone(),
                                     [&gone] { gone = true; }};
            co_await wait(std::chrono::seconds{5});
        }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        std::this_thread::sleep_for(base::milliseconds{50});
        CPPUNIT_ASSERT(!gone);
        const auto start = base::clock::now();
        caller.close();
        CPPUNIT_ASSERT(becomes_true([&gone] { return gone.load(); }));
        CPPUNIT_ASSERT(base::clock::now() - start < std::chrono::seconds{1});
    }

    void streaming_handler_learns_that_the_caller_left() {
        std::atomic<bool> gone{false};
        running_server server{[&gone](exchange& call) -> awaitable<void> {
            const response_head head;
            auto result = co_await call.begin_stream(head);
            while (result == write_result::written) {
                result = co_await call.write("data: x\n\n");
                co_await wait(base::milliseconds{1});
            }
            gone = true;
        }};
        raw_connection caller{server.address()};
        caller.send(post("x"));
        caller.receive(200);
        CPPUNIT_ASSERT(!gone);
        caller.close();
        CPPUNIT_ASSERT(becomes_true([&gone] { return gone.load(); }));
    }

    // Guards against a stream that is held back until its end.
    void stream_arrives_piece_by_piece() {
        std::atomic<bool> may_end{false};
        running_server server{[&may_end](exchange& call) -> awaitable<void> {
            const response_head head;
            co_await call.begin_stream(head);
            co_await call.write("early");
            while (!may_end) {
                co_await wait(base::milliseconds{1});
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
    void slow_caller_slows_the_stream() {
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

    // Guards against a caller that takes a part for the whole.
    void broken_stream_has_no_proper_end() {
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

    void failing_handler_answers_500() {
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
