#include "pimentoferry/http/client.hpp"

#include "pimentoferry/http/raw_upstream.hpp"

#include <boost/asio/co_spawn.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::http {
namespace {

using call_result = std::variant<response, call_failure>;

template <class T>
T run(boost::asio::io_context& context, awaitable<T> operation) {
    return run_until_complete(context, std::move(operation));
}

void read_request(raw_upstream::tcp::socket& socket) {
    std::array<char, 4096> bytes{};
    boost::system::error_code ignored;
    socket.read_some(boost::asio::buffer(bytes), ignored);
}

call_options with_deadline_in(base::milliseconds time) {
    call_options options;
    options.deadline_ = base::clock::now() + time;
    return options;
}

class client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(client_test);
    CPPUNIT_TEST(reads_complete_responses_on_a_pooled_connection);
    CPPUNIT_TEST(refused_connection_reports_not_sent);
    CPPUNIT_TEST(connection_closed_after_sending_reports_sent);
    CPPUNIT_TEST(closed_pooled_connection_is_replaced);
    CPPUNIT_TEST(timeout_after_sending_reports_sent);
    CPPUNIT_TEST(cancellation_ends_a_call_in_progress);
    CPPUNIT_TEST(cancellation_before_the_call_reports_not_sent);
    CPPUNIT_TEST(malformed_response_is_a_failure);
    CPPUNIT_TEST(ambiguous_response_is_a_failure);
    CPPUNIT_TEST(events_are_delivered_before_the_stream_ends);
    CPPUNIT_TEST(truncated_event_stream_is_a_failure);
    CPPUNIT_TEST(input_without_end_is_cut_off);
    CPPUNIT_TEST(several_bodies_without_end_share_one_limit);
    CPPUNIT_TEST(body_that_is_always_ready_ends_at_the_deadline);
    CPPUNIT_TEST(repeated_response_to_an_earlier_call_is_skipped);
    CPPUNIT_TEST(responses_to_other_calls_without_end_are_a_failure);
    CPPUNIT_TEST(head_that_ends_early_is_a_failure);
    CPPUNIT_TEST(status_outside_of_the_protocol_is_a_failure);
    CPPUNIT_TEST(request_that_would_end_its_head_early_is_not_sent);
    CPPUNIT_TEST(answer_that_is_reset_during_an_upload_is_a_failure);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context context_;
    client client_{context_};

    call_result call(const base::endpoint& address, call_options options) {
        return run(context_, client_.call(address, json_request("/x", "{}"),
                                          std::move(options)));
    }

    static const call_failure& failure(const call_result& result) {
        CPPUNIT_ASSERT(std::holds_alternative<call_failure>(result));
        return std::get<call_failure>(result);
    }

public:
    void reads_complete_responses_on_a_pooled_connection() {
        running_server server{[](exchange& call) -> awaitable<void> {
            const auto answer = json_response(200, call.call().body_);
            co_await call.respond(answer);
        }};
        for (int i = 0; i < 3; ++i) {
            const auto result = call(server.address(),
                                     with_deadline_in(std::chrono::seconds{2}));
            CPPUNIT_ASSERT(std::holds_alternative<response>(result));
            CPPUNIT_ASSERT_EQUAL(std::string{"{}"},
                                 std::get<response>(result).body_);
        }
    }

    void refused_connection_reports_not_sent() {
        base::endpoint closed;
        {
            raw_upstream upstream{[](auto&) {}};
            closed = upstream.address();
        }
        const auto result =
            call(closed, with_deadline_in(std::chrono::seconds{2}));
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::refused);
        CPPUNIT_ASSERT(!failure(result).sent_);
    }

    // Guards against a retry of a call that the upstream may have executed.
    void connection_closed_after_sending_reports_sent() {
        raw_upstream upstream{[](auto& socket) { read_request(socket); }};
        const auto result =
            call(upstream.address(), with_deadline_in(std::chrono::seconds{2}));
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::broken);
        CPPUNIT_ASSERT(failure(result).sent_);
    }

    // Guards against calls that fail because the upstream closed a connection
    // while it was idle in the pool.
    void closed_pooled_connection_is_replaced() {
        raw_upstream upstream{[](auto& socket) {
            read_request(socket);
            send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        }};
        for (int i = 0; i < 3; ++i) {
            const auto result = call(upstream.address(),
                                     with_deadline_in(std::chrono::seconds{2}));
            CPPUNIT_ASSERT(std::holds_alternative<response>(result));
            std::this_thread::sleep_for(base::milliseconds{20});
        }
    }

    void timeout_after_sending_reports_sent() {
        raw_upstream upstream{[](auto& socket) {
            read_request(socket);
            read_request(socket);
        }};
        const auto result =
            call(upstream.address(), with_deadline_in(base::milliseconds{100}));
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::timed_out);
        CPPUNIT_ASSERT(failure(result).sent_);
    }

    void cancellation_ends_a_call_in_progress() {
        raw_upstream upstream{[](auto& socket) {
            read_request(socket);
            read_request(socket);
        }};
        auto options = with_deadline_in(std::chrono::seconds{20});
        options.cancel_ = std::make_shared<cancellation>();
        boost::asio::steady_timer timer{context_, base::milliseconds{50}};
        timer.async_wait(
            [cancel = options.cancel_](auto) { cancel->request(); });
        const auto result = call(upstream.address(), options);
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::cancelled);
        CPPUNIT_ASSERT(failure(result).sent_);
    }

    void cancellation_before_the_call_reports_not_sent() {
        raw_upstream upstream{[](auto&) {}};
        auto options = with_deadline_in(std::chrono::seconds{2});
        options.cancel_ = std::make_shared<cancellation>();
        options.cancel_->request();
        const auto result = call(upstream.address(), options);
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::cancelled);
        CPPUNIT_ASSERT(!failure(result).sent_);
    }

    // Guards against bytes of one response that answer the next call.
    void ambiguous_response_is_a_failure() {
        for (const std::string framing :
             {"Transfer-Encoding: identity\r\nContent-Length: 5\r\n",
              "Transfer-Encoding: gzip\r\n",
              "Transfer-Encoding: chunked, identity\r\n",
              "Content-Length: 5\r\nContent-Length: 50\r\n"}) {
            raw_upstream upstream{[framing](auto& socket) {
                read_request(socket);
                send(socket, "HTTP/1.1 200 OK\r\n" + framing + "\r\nhello");
            }};
            const auto result = call(upstream.address(),
                                     with_deadline_in(std::chrono::seconds{2}));
            CPPUNIT_ASSERT_MESSAGE(framing, failure(result).kind_ ==
                                                failure_kind::malformed);
            CPPUNIT_ASSERT(failure(result).sent_);
        }
    }

    void malformed_response_is_a_failure() {
        raw_upstream upstream{[](auto& socket) {
            read_request(socket);
            send(socket, "no http at all\r\n\r\n");
        }};
        const auto result =
            call(upstream.address(), with_deadline_in(std::chrono::seconds{2}));
        CPPUNIT_ASSERT(failure(result).kind_ == failure_kind::malformed);
        CPPUNIT_ASSERT(failure(result).sent_);
    }

    // Guards against events that are buffered until the stream ends.
    void events_are_delivered_before_the_stream_ends() {
        std::atomic<bool> all_received{false};
        std::atomic<bool> ended_after_all_received{false};
        raw_upstream upstream{[&](auto& socket) {
            read_request(socket);
            send(socket, "HTTP/1.1 200 OK\r\n\r\ndata: 1\n\ndata: 2\n\n");
            ended_after_all_received =
                becomes_true([&all_received] { return all_received.load(); });
        }};
        const auto count = run(context_, count_events(upstream, all_received));
        CPPUNIT_ASSERT_EQUAL(2, count);
        CPPUNIT_ASSERT(ended_after_all_received);
    }

    awaitable<int> count_events(const raw_upstream& upstream,
                                std::atomic<bool>& all_received) {
        const auto options = with_deadline_in(std::chrono::seconds{2});
        const auto call = json_request("/x", "{}");
        auto opened = co_await client_.open(upstream.address(), call, options);
        auto& answer = std::get<open_answer>(opened);
        event_reader reader{answer};
        int count = 0;
        auto next = co_await reader.next();
        while (std::holds_alternative<sse_event>(next)) {
            ++count;
            all_received = count == 2;
            next = co_await reader.next();
        }
        co_return count;
    }

    // Guards against an incomplete stream that is taken for a complete one.
    void truncated_event_stream_is_a_failure() {
        raw_upstream upstream{[](auto& socket) {
            read_request(socket);
            send(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "9\r\ndata: 1\n\n\r\n");
        }};
        const auto kind = run(context_, read_until_failure(upstream));
        CPPUNIT_ASSERT(kind == failure_kind::broken);
    }

    awaitable<failure_kind> read_until_failure(const raw_upstream& upstream) {
        const auto options = with_deadline_in(std::chrono::seconds{2});
        const auto call = json_request("/x", "{}");
        auto opened = co_await client_.open(upstream.address(), call, options);
        auto& answer = std::get<open_answer>(opened);
        event_reader reader{answer};
        auto next = co_await reader.next();
        while (std::holds_alternative<sse_event>(next)) {
            next = co_await reader.next();
        }
        co_return std::get<call_failure>(next).kind_;
    }

    /// Sends `head` and then `filler` until the client closes. Returns the
    /// result of the call and the number of bytes that were sent.
    std::pair<call_result, std::size_t>
    call_endless(const std::string& head, const std::string& filler) {
        std::atomic<std::size_t> sent{0};
        call_result result{call_failure{}};
        {
            raw_upstream upstream{[&](auto& socket) {
                read_request(socket);
                send(socket, head);
                boost::system::error_code error;
                while (!error) {
                    sent += boost::asio::write(
                        socket, boost::asio::buffer(filler), error);
                }
            }};
            auto options = with_deadline_in(std::chrono::seconds{5});
            options.body_limit_bytes_ = std::size_t{1} << 20;
            result = call(upstream.address(), options);
        }
        return {std::move(result), sent.load()};
    }

    // Guards against a faulty upstream that exhausts the memory with bytes that
    // are no response and come until the client closes.
    // Guards against a stream that goes on after the deadline of its call,
    // because its upstream always has more to send.
    void body_that_is_always_ready_ends_at_the_deadline() {
        constexpr base::milliseconds time{300};
        constexpr base::milliseconds longest{1500};
        raw_upstream upstream{[longest](auto& socket) {
            read_request(socket);
            send(socket, "HTTP/1.1 200 OK\r\n\r\n");
            const std::string events(65536, 'x');
            const auto end = base::clock::now() + 2 * longest;
            boost::system::error_code error;
            while (!error && base::clock::now() < end) {
                boost::asio::write(socket, boost::asio::buffer(events), error);
            }
        }};
        const auto began = base::clock::now();
        const auto kind = run(context_, read_to_the_deadline(upstream, time));
        CPPUNIT_ASSERT(kind == failure_kind::timed_out);
        CPPUNIT_ASSERT(base::clock::now() - began < longest);
    }

    awaitable<failure_kind> read_to_the_deadline(const raw_upstream& upstream,
                                                 base::milliseconds time) {
        auto options = with_deadline_in(time);
        options.body_limit_bytes_ = std::numeric_limits<std::size_t>::max();
        const auto call = json_request("/x", "{}");
        auto opened =
            co_await client_.open(upstream.address(), call, std::move(options));
        auto& answer = std::get<open_answer>(opened);
        auto next = co_await answer.read_until_deadline();
        while (std::holds_alternative<std::string>(next)) {
            next = co_await answer.read_until_deadline();
        }
        const auto* failure = std::get_if<call_failure>(&next);
        co_return failure != nullptr ? failure->kind_ : failure_kind::broken;
    }

    void input_without_end_is_cut_off() {
        const std::string noise(4096, 'x');
        const std::string chunked =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        struct endless_input {
            std::string head_;
            std::string filler_;
            failure_kind kind_;
        };
        const std::vector<endless_input> inputs{
            {"", noise, failure_kind::malformed},
            {"HTTP/1.1 200 OK\r\n", "X-Filler: " + noise + "\r\n",
             failure_kind::too_large},
            {"HTTP/1.1 200 OK\r\nX-Filler: ", noise, failure_kind::too_large},
            {"HTTP/1.1 200 OK\r\n\r\n", noise, failure_kind::too_large},
            {chunked, "1000\r\n" + noise + "\r\n", failure_kind::too_large},
            {chunked + "1000;", noise, failure_kind::too_large},
            {chunked, std::string(4096, '0'), failure_kind::too_large},
        };
        // The body's limit, and what both kernels may hold.
        constexpr std::size_t most = std::size_t{16} << 20;
        for (const auto& input : inputs) {
            const auto [result, sent] =
                call_endless(input.head_, input.filler_);
            CPPUNIT_ASSERT(failure(result).kind_ == input.kind_);
            CPPUNIT_ASSERT(failure(result).sent_);
            CPPUNIT_ASSERT(sent < most);
        }
    }

    // Guards against several connections that together exhaust the memory while
    // each of them stays below its own limit.
    void several_bodies_without_end_share_one_limit() {
        constexpr std::size_t part = 700'000;
        const auto stall = [](auto& socket) {
            read_request(socket);
            send(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(part, 'x'));
            read_request(socket);
        };
        raw_upstream first{stall};
        raw_upstream second{stall};
        client limited{context_, {std::size_t{1} << 20}};
        std::vector<failure_kind> kinds;
        for (const auto* upstream : {&first, &second}) {
            boost::asio::co_spawn(
                context_,
                limited.call(upstream->address(), json_request("/x", "{}"),
                             with_deadline_in(base::milliseconds{700})),
                [&kinds](const std::exception_ptr&, const call_result& result) {
                    kinds.push_back(failure(result).kind_);
                });
        }
        context_.restart();
        context_.run();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, kinds.size());
        CPPUNIT_ASSERT(kinds[0] == failure_kind::too_large);
        CPPUNIT_ASSERT(kinds[1] == failure_kind::timed_out);
        // The total is free again.
        raw_upstream sound{[](auto& socket) {
            read_request(socket);
            send(socket,
                 "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(part) +
                     "\r\n\r\n" + std::string(part, 'x'));
        }};
        const auto result = run(
            context_, limited.call(sound.address(), json_request("/x", "{}"),
                                   with_deadline_in(std::chrono::seconds{2})));
        CPPUNIT_ASSERT(std::holds_alternative<response>(result));
    }

    static std::string numbered_response(int number) {
        return "HTTP/1.1 200 OK\r\nNumber: " + std::to_string(number) +
               "\r\nContent-Length: 1\r\n\r\n" + std::to_string(number);
    }

    static call_options for_response(int number) {
        auto options = with_deadline_in(base::milliseconds{2000});
        options.is_answer_ = [number](const response_head& head) {
            return find_field(head.fields_, "Number") == std::to_string(number);
        };
        return options;
    }

    // Guards against a late copy of an earlier response that is taken for the
    // response to the next call on the connection.
    void repeated_response_to_an_earlier_call_is_skipped() {
        std::atomic<int> connections = 0;
        raw_upstream upstream{[&](raw_upstream::tcp::socket& socket) {
            ++connections;
            read_request(socket);
            send(socket, numbered_response(1));
            read_request(socket);
            send(socket, numbered_response(1) + numbered_response(2));
            read_request(socket);
            send(socket, numbered_response(3));
        }};
        for (int number = 1; number <= 2; ++number) {
            const auto result = call(upstream.address(), for_response(number));
            CPPUNIT_ASSERT_EQUAL(std::to_string(number),
                                 std::get<response>(result).body_);
        }
        CPPUNIT_ASSERT_EQUAL(1, connections.load());
        // Nothing that arrives on that connection can be trusted any more.
        (void)call(upstream.address(), for_response(3));
        CPPUNIT_ASSERT_EQUAL(2, connections.load());
    }

    void responses_to_other_calls_without_end_are_a_failure() {
        raw_upstream upstream{[](raw_upstream::tcp::socket& socket) {
            read_request(socket);
            for (int i = 0; i < 100; ++i) {
                send(socket, numbered_response(7));
            }
        }};
        const auto result = call(upstream.address(), for_response(1));
        CPPUNIT_ASSERT(std::get<call_failure>(result).sent_);
    }

    // Guards against a caller that gets a status such as 000 as an answer.
    void status_outside_of_the_protocol_is_a_failure() {
        for (const char* status : {"000", "099", "600", "999"}) {
            raw_upstream upstream{[status](raw_upstream::tcp::socket& socket) {
                read_request(socket);
                send(socket, "HTTP/1.1 " + std::string{status} +
                                 " Odd\r\nContent-Length: 2\r\n\r\nok");
            }};
            const auto result = call(upstream.address(),
                                     with_deadline_in(std::chrono::seconds{2}));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                std::string{status}, std::string{"malformed"},
                std::string{to_string(failure(result).kind_)});
        }
    }

    // Guards against a body that is read as another request, because a value
    // from elsewhere ends the head before it.
    void request_that_would_end_its_head_early_is_not_sent() {
        request sound;
        sound.method_ = "POST";
        sound.target_ = "/x?y=%20";
        sound.fields_ = {{"X-A", "a\tb c"}, {"X-B", ""}, {"X-C", "\xc3\xa4"}};
        CPPUNIT_ASSERT(is_writable(sound));
        const auto rejected = [&sound](const auto& change) {
            auto changed = sound;
            change(changed);
            return !is_writable(changed);
        };
        for (const char* value :
             {"a\r\n", "a\nb", "\r", "a ", "\ta", "a\x7f"}) {
            CPPUNIT_ASSERT(
                rejected([&](auto& c) { c.fields_[0].value_ = value; }));
        }
        for (const char* name : {"", "X A", "X:", "X\r\n"}) {
            CPPUNIT_ASSERT(
                rejected([&](auto& c) { c.fields_[0].name_ = name; }));
        }
        for (const char* target : {"", "/a b", "/a\r\n", "/a\x7f"}) {
            CPPUNIT_ASSERT(rejected([&](auto& c) { c.target_ = target; }));
        }
        CPPUNIT_ASSERT(rejected([](auto& c) { c.method_ = "GET /"; }));
        std::atomic<int> connections{0};
        raw_upstream upstream{
            [&connections](raw_upstream::tcp::socket&) { ++connections; }};
        boost::asio::io_context context;
        client sender{context, {}};
        auto call = sound;
        call.fields_[0].value_ = "a\r\n";
        const auto result = run(
            context, sender.call(upstream.address(), call,
                                 with_deadline_in(std::chrono::seconds{2})));
        const auto& failed = failure(result);
        CPPUNIT_ASSERT(failed.kind_ == failure_kind::malformed);
        CPPUNIT_ASSERT(!failed.sent_);
        CPPUNIT_ASSERT_EQUAL(0, connections.load());
    }

    // Guards against a part of a body without length that counts as complete,
    // because the write of the upload has consumed the error of the reset.
    void answer_that_is_reset_during_an_upload_is_a_failure() {
        for (const std::size_t received : {0, 4'096, 400'000, 2'000'000}) {
            raw_upstream upstream{[received](
                                      raw_upstream::tcp::socket& socket) {
                boost::system::error_code ignored;
                std::string part(received, ' ');
                boost::asio::read(socket, boost::asio::buffer(part), ignored);
                send(socket, "HTTP/1.1 200 OK\r\n\r\npart of a body");
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
                socket.set_option(boost::asio::socket_base::linger{true, 0},
                                  ignored);
                socket.close(ignored);
            }};
            const std::string body(std::size_t{16} << 20, 'x');
            const auto result =
                run(context_,
                    client_.call(upstream.address(), json_request("/x", body),
                                 with_deadline_in(std::chrono::seconds{5})));
            CPPUNIT_ASSERT(failure(result).sent_);
        }
    }

    // Guards against an upstream that closes in the middle of a head, whose
    // response would be taken for one with an empty body.
    void head_that_ends_early_is_a_failure() {
        const std::string head = "HTTP/1.1 200 OK\r\nA: b\r\nNumber: 1\r\n\r\n";
        for (std::size_t size = 0; size < head.size(); ++size) {
            raw_upstream upstream{[part = head.substr(0, size)](
                                      raw_upstream::tcp::socket& socket) {
                read_request(socket);
                send(socket, part);
            }};
            const auto result = call(
                upstream.address(), with_deadline_in(base::milliseconds{2000}));
            CPPUNIT_ASSERT(std::holds_alternative<call_failure>(result));
            CPPUNIT_ASSERT(std::get<call_failure>(result).sent_);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_test);

} // namespace
} // namespace pimentoferry::http
