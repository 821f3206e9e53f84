#include "pimentoferry/http/sse.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::http {
namespace {

class sse_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sse_test);
    CPPUNIT_TEST(parses_events_split_at_any_byte);
    CPPUNIT_TEST(unterminated_line_overflows);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an event that is lost or damaged because its bytes arrive
    // in two reads.
    void parses_events_split_at_any_byte() {
        const std::string text = write_sse("{\"a\":1}") + ": note\r\n" +
                                 "data: two\r\ndata: lines\r\n\r\n" +
                                 write_sse("{}", "error");
        for (std::size_t split = 0; split <= text.size(); ++split) {
            sse_parser parser;
            auto events = parser.feed(text.substr(0, split));
            for (auto& event : parser.feed(text.substr(split))) {
                events.push_back(event);
            }
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, events.size());
            CPPUNIT_ASSERT_EQUAL(std::string{"{\"a\":1}"}, events[0].data_);
            CPPUNIT_ASSERT_EQUAL(std::string{"two\nlines"}, events[1].data_);
            CPPUNIT_ASSERT_EQUAL(std::string{"error"}, events[2].type_);
        }
    }

    // Guards against an upstream that exhausts the memory with one line.
    void unterminated_line_overflows() {
        sse_parser parser;
        const std::string piece(sse_parser::event_limit_bytes / 2 + 1, 'x');
        parser.feed(piece);
        CPPUNIT_ASSERT(!parser.overflowed());
        parser.feed(piece);
        CPPUNIT_ASSERT(parser.overflowed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sse_test);

} // namespace
} // namespace pimentoferry::http
