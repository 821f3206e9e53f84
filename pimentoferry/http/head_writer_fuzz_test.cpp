// Random messages with text of any bytes, as a faulty upstream or a stranger
// might choose it, through the writers of heads and the reader behind them.

#include "pimentoferry/http/head_writer.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace pimentoferry::http {

namespace {

namespace beast = boost::beast;

/// Mostly text that can be written, else the parts on which HTTP depends, and
/// any bytes.
std::string any_text() {
    constexpr int most_parts = 4;
    static const std::vector<std::string> special{"\r\n",
                                                  "\r",
                                                  "\n",
                                                  "\r\n\r\n",
                                                  "\t",
                                                  ":",
                                                  std::string(1, '\0'),
                                                  "\x7f",
                                                  "Content-Length: 0",
                                                  "GET / HTTP/1.1",
                                                  "h1,h2",
                                                  "%0d",
                                                  "\r\n folded",
                                                  " "};
    std::string text{"v"};
    const auto parts = *rc::gen::inRange(0, most_parts);
    for (int i = 0; i < parts; ++i) {
        const auto choice = *rc::gen::inRange(0, 10);
        if (choice == 0) {
            text += *rc::gen::elementOf(special);
        } else if (choice == 1) {
            text += static_cast<char>(*rc::gen::inRange(0, 256));
        } else {
            text += "text " + std::to_string(choice) + "x";
        }
    }
    return text;
}

/// Mostly a name that no reader treats in a special way.
std::string any_name() {
    const auto choice = *rc::gen::inRange(0, 10);
    return choice == 0 ? any_text() : "X-Field-" + std::to_string(choice);
}

field_list any_fields() {
    constexpr int most_fields = 4;
    field_list fields(
        static_cast<std::size_t>(*rc::gen::inRange(0, most_fields)));
    std::ranges::generate(fields, [] { return field{any_name(), any_text()}; });
    return fields;
}

/// A stream whose input is a text.
class text_stream {
public:
    explicit text_stream(std::string_view text) : rest_(text) {}

    template <class Buffers>
    std::size_t read_some(const Buffers& buffers, beast::error_code& error) {
        const auto size = boost::asio::buffer_copy(
            buffers, boost::asio::buffer(rest_.data(), rest_.size()));
        rest_.remove_prefix(size);
        error = size == 0 ? boost::asio::error::eof : beast::error_code{};
        return size;
    }
    template <class Buffers>
    std::size_t read_some(const Buffers& buffers) {
        beast::error_code ignored;
        return read_some(buffers, ignored);
    }

private:
    std::string_view rest_;
};

/// Reads one message; returns the bytes that it takes, or 0 if it is invalid.
template <class Parser>
std::size_t read_message(Parser& parser, const std::string& text) {
    text_stream stream{text};
    beast::flat_buffer buffer;
    beast::error_code error;
    const auto size = beast::http::read(stream, buffer, parser, error);
    return error ? 0 : size;
}

template <class Message>
bool has_fields(const Message& message, const field_list& fields) {
    return std::ranges::all_of(fields, [&message](const field& each) {
        const auto range = message.equal_range(
            beast::string_view{each.name_.data(), each.name_.size()});
        return std::any_of(range.first, range.second, [&](const auto& read) {
            return read.value() ==
                   beast::string_view{each.value_.data(), each.value_.size()};
        });
    });
}

bool names_framing(const field_list& fields) {
    return std::ranges::any_of(fields, [](const field& each) {
        return same_name(each.name_, "Content-Length") ||
               same_name(each.name_, "Transfer-Encoding");
    });
}

class head_writer_fuzz_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(head_writer_fuzz_test);
    CPPUNIT_TEST(a_written_request_is_read_as_one_with_the_same_content);
    CPPUNIT_TEST(a_written_response_is_read_as_one_with_the_same_content);
    CPPUNIT_TEST(what_the_reader_accepts_can_be_written);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against text of another process that ends a head early, so that
    // the rest of the request is taken for a body or another request.
    void a_written_request_is_read_as_one_with_the_same_content() {
        const bool held = rc::check("requests", [] {
            request call;
            call.method_ = *rc::gen::inRange(0, 10) == 0 ? any_text() : "POST";
            call.target_ =
                "/path?query=" +
                std::string{*rc::gen::inRange(0, 10) == 0 ? any_text() : ""};
            call.fields_ = any_fields();
            call.body_ = any_text();
            RC_PRE(!names_framing(call.fields_));
            const auto head = write_request_head({"127.0.0.1", 1}, call);
            RC_TAG(head ? "written" : "refused");
            if (!head) {
                return;
            }
            const auto text = *head + call.body_;
            beast::http::request_parser<beast::http::string_body> parser;
            RC_ASSERT(read_message(parser, text) == text.size());
            RC_ASSERT(std::string{parser.get().method_string()} ==
                      call.method_);
            RC_ASSERT(std::string{parser.get().target()} == call.target_);
            RC_ASSERT(parser.get().body() == call.body_);
            RC_ASSERT(has_fields(parser.get(), call.fields_));
        });
        CPPUNIT_ASSERT(held);
    }

    // Guards against the same in answers, where a caller would take the rest
    // for the answer to its next request.
    void a_written_response_is_read_as_one_with_the_same_content() {
        const bool held = rc::check("responses", [] {
            const auto body = any_text();
            response_head head;
            head.status_ = *rc::gen::inRange(-1, 700);
            head.fields_ = any_fields();
            const auto extra = any_fields();
            const auto text =
                write_response_head(head, extra, {body.size(), true, true});
            if (!text) {
                return;
            }
            const auto message = *text + body;
            beast::http::response_parser<beast::http::string_body> parser;
            const bool bodiless = head.status_ == 204 || head.status_ == 304;
            RC_PRE(!bodiless);
            RC_ASSERT(read_message(parser, message) == message.size());
            RC_ASSERT(static_cast<int>(parser.get().result_int()) ==
                      head.status_);
            RC_ASSERT(parser.get().body() == body);
            auto kept = head.fields_;
            kept.insert(kept.end(), extra.begin(), extra.end());
            std::erase_if(kept, [](const field& each) {
                return names_framing({each}) ||
                       same_name(each.name_, "Connection");
            });
            RC_ASSERT(has_fields(parser.get(), kept));
        });
        CPPUNIT_ASSERT(held);
    }

    // Guards against a caller's request that is accepted and cannot be passed
    // on, which would be blamed on the upstreams.
    void what_the_reader_accepts_can_be_written() {
        for (int byte = 0; byte <= 0xff; ++byte) {
            const std::string each(1, static_cast<char>(byte));
            for (const auto& text :
                 {"PO" + each + "T /path HTTP/1.1\r\nName: v\r\n\r\n",
                  "GET /pa" + each + "h HTTP/1.1\r\nName: v\r\n\r\n",
                  "GET /path HTTP/1.1\r\nNa" + each + "e: v\r\n\r\n",
                  "GET /path HTTP/1.1\r\nName: v" + each + "v\r\n\r\n",
                  "GET /path HTTP/1.1\r\nName: " + each + "v\r\n\r\n",
                  "GET /path HTTP/1.1\r\nName: v" + each + "\r\n\r\n"}) {
                beast::http::request_parser<beast::http::string_body> parser;
                if (read_message(parser, text) != text.size()) {
                    continue;
                }
                const auto& message = parser.get();
                request call{std::string{message.method_string()},
                             std::string{message.target()},
                             {},
                             {}};
                for (const auto& f : message) {
                    call.fields_.push_back(
                        {std::string{f.name_string()}, std::string{f.value()}});
                }
                CPPUNIT_ASSERT_MESSAGE(
                    text, write_request_head({"127.0.0.1", 1}, call));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(head_writer_fuzz_test);

} // namespace

} // namespace pimentoferry::http
