#include "pimentoferry/http/answer_end.hpp"

#include "pimentoferry/http/client.hpp"
#include "pimentoferry/http/raw_upstream.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

namespace pimentoferry::http {
namespace {

using tcp = raw_upstream::tcp;

enum class close_kind : std::uint8_t {
    none,    ///< The connection stays open.
    orderly, ///< Closed after the whole call was read.
    unread,  ///< Closed over a part of the call, which resets the connection.
    reset,   ///< Reset without delay.
};

/// What an upstream does with a call, and what the client makes of it.
struct answer_case {
    std::string_view name_;
    std::string_view answer_;
    bool reads_call_{false}; ///< Otherwise it reads nothing of the body.
    close_kind close_{close_kind::reset};
    bool whole_{false};
    bool reused_{false}; ///< Whether the next call may use the connection.
};

constexpr std::string_view length = "HTTP/1.1 503 S\r\nContent-Length: 4\r\n"
                                    "Connection: keep-alive\r\n\r\nbody";
constexpr std::string_view short_of_length =
    "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody";
constexpr std::string_view chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                                    "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
constexpr std::string_view short_of_chunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n";
constexpr std::string_view unmarked = "HTTP/1.1 200 OK\r\n\r\nbody";

constexpr std::array<answer_case, 17> cases{{
    {"length, kept", length, true, close_kind::none, true, true},
    {"length, closed", length, true, close_kind::orderly, true},
    {"length, early, closed", length, false, close_kind::unread, true},
    {"length, early, reset", length, false, close_kind::reset, true},
    {"short of length, closed", short_of_length, true, close_kind::orderly},
    {"short of length, early, closed", short_of_length, false,
     close_kind::unread},
    {"short of length, early, reset", short_of_length, false,
     close_kind::reset},
    {"chunks, kept", chunks, true, close_kind::none, true, true},
    {"chunks, closed", chunks, true, close_kind::orderly, true},
    {"chunks, early, closed", chunks, false, close_kind::unread, true},
    {"chunks, early, reset", chunks, false, close_kind::reset, true},
    {"short of chunks, closed", short_of_chunks, true, close_kind::orderly},
    {"short of chunks, early, reset", short_of_chunks, false,
     close_kind::reset},
    {"unmarked, closed", unmarked, true, close_kind::orderly, true},
    {"unmarked, reset", unmarked, true, close_kind::reset},
    {"unmarked, early, closed", unmarked, false, close_kind::unread},
    {"unmarked, early, reset", unmarked, false, close_kind::reset},
}};

// More than the kernel buffers on the way to an upstream that does not read.
constexpr std::size_t long_body_bytes = std::size_t{16} << 20;
constexpr base::milliseconds time_on_the_way{60};

bool read_head(tcp::socket& socket, std::string& text) {
    boost::system::error_code error;
    while (text.find("\r\n\r\n") == std::string::npos && !error) {
        std::array<char, 1024> part{};
        text.append(part.data(),
                    socket.read_some(boost::asio::buffer(part), error));
    }
    return !error;
}

void read_body(tcp::socket& socket, std::string& text, std::size_t size) {
    const auto body = text.find("\r\n\r\n") + 4;
    boost::system::error_code error;
    std::string part(std::size_t{64} << 10, ' ');
    auto received = text.size() - body;
    while (received < size && !error) {
        received += socket.read_some(boost::asio::buffer(part), error);
    }
}

void close(tcp::socket& socket, close_kind kind) {
    boost::system::error_code ignored;
    if (kind == close_kind::none) {
        // Until the client closes.
        std::array<char, 1> byte{};
        socket.read_some(boost::asio::buffer(byte), ignored);
    }
    if (kind == close_kind::reset) {
        socket.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    }
    socket.close(ignored);
}

/// Serves a call of its own first if the connection is to be a used one.
void serve(tcp::socket& socket, const answer_case& each, bool used) {
    std::string text;
    if (used) {
        read_head(socket, text);
        read_body(socket, text, 2);
        send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
        text.clear();
    }
    if (!read_head(socket, text)) {
        return;
    }
    if (each.reads_call_) {
        read_body(socket, text, long_body_bytes);
    }
    send(socket, each.answer_);
    std::this_thread::sleep_for(time_on_the_way);
    close(socket, each.close_);
}

call_options with_deadline() {
    call_options options;
    options.deadline_ = base::clock::now() + std::chrono::seconds{5};
    return options;
}

/// Opens a call with a long body; returns whether the answer looked complete.
awaitable<bool> reads_to_the_end(client& caller, base::endpoint address) {
    auto call = json_request("/x", std::string(long_body_bytes, 'x'));
    auto opened =
        co_await caller.open(address, std::move(call), with_deadline());
    auto* answer = std::get_if<open_answer>(&opened);
    CPPUNIT_ASSERT(answer != nullptr);
    auto piece = co_await answer->read_until_deadline();
    while (std::holds_alternative<std::string>(piece)) {
        piece = co_await answer->read_until_deadline();
    }
    co_return std::holds_alternative<body_end>(piece);
}

class answer_end_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_end_test);
    CPPUNIT_TEST(answer_to_an_upload_is_whole_only_if_its_end_shows_it);
    CPPUNIT_TEST(broken_answer_of_a_used_connection_is_not_read_as_a_stream);
    CPPUNIT_TEST(no_call_follows_one_that_was_not_sent_whole);
    CPPUNIT_TEST_SUITE_END();

    template <class T>
    static T run(boost::asio::io_context& context, awaitable<T> operation) {
        return run_until_complete(context, std::move(operation));
    }

    static void use_connection(boost::asio::io_context& context,
                               client& caller,
                               const base::endpoint& address) {
        const auto first =
            run(context, caller.call(address, json_request("/x", "{}"),
                                     with_deadline()));
        CPPUNIT_ASSERT(std::holds_alternative<response>(first));
    }

public:
    // Guards against a part of an answer that passes for the whole one because
    // the connection was reset while the call was being written, on a new
    // connection and on one that was used before.
    void answer_to_an_upload_is_whole_only_if_its_end_shows_it() {
        for (const auto& each : cases) {
            for (const bool used : {false, true}) {
                raw_upstream upstream{[&each, used](tcp::socket& socket) {
                    serve(socket, each, used);
                }};
                boost::asio::io_context context;
                client caller{context};
                if (used) {
                    use_connection(context, caller, upstream.address());
                }
                const auto result = run(
                    context,
                    caller.call(
                        upstream.address(),
                        json_request("/x", std::string(long_body_bytes, 'x')),
                        with_deadline()));
                const auto name =
                    std::string{each.name_} + (used ? ", used connection" : "");
                const auto* answer = std::get_if<response>(&result);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, each.whole_,
                                             answer != nullptr);
                if (answer != nullptr) {
                    CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string{"body"},
                                                 answer->body_);
                } else {
                    CPPUNIT_ASSERT_MESSAGE(
                        name, std::get<call_failure>(result).sent_);
                }
            }
        }
    }

    // Guards against the same where the body is read piece by piece.
    void broken_answer_of_a_used_connection_is_not_read_as_a_stream() {
        constexpr answer_case early{"", unmarked, false, close_kind::reset};
        raw_upstream upstream{
            [&early](tcp::socket& socket) { serve(socket, early, true); }};
        boost::asio::io_context context;
        client caller{context};
        use_connection(context, caller, upstream.address());
        const auto complete =
            run(context, reads_to_the_end(caller, upstream.address()));
        CPPUNIT_ASSERT(!complete);
    }

    // Guards against a call that is taken for the rest of the one before.
    void no_call_follows_one_that_was_not_sent_whole() {
        constexpr std::array<end_mark, 3> marks{
            end_mark::length, end_mark::last_chunk, end_mark::connection};
        constexpr std::array<last_read, 3> reads{
            last_read::mark, last_read::orderly, last_read::reset};
        for (const auto mark : marks) {
            for (const auto read : reads) {
                CPPUNIT_ASSERT(!is_connection_reusable({mark, read, false}));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_end_test);

} // namespace
} // namespace pimentoferry::http
