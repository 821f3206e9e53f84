#include "pimentoferry/log/line_budget.hpp"
#include "pimentoferry/log/log.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::log {

namespace {

class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(quotes_values_with_separators);
    CPPUNIT_TEST(control_characters_are_not_written);
    CPPUNIT_TEST(limits_the_rate_of_lines);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a value from a caller that forges a log line.
    void quotes_values_with_separators() {
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"(event=refuse id=7 detail="a b\"c d")"},
            format_line("refuse", {{"id", "7"}, {"detail", "a b\"c\nd"}}));
    }

    // Guards against an upstream's text that changes what a terminal shows.
    void control_characters_are_not_written() {
        CPPUNIT_ASSERT_EQUAL(std::string{R"(event=refuse detail="a [2J b c")"},
                             format_line("refuse", {{"detail", "a\x1b[2J\x7f"
                                                               "b\x0b"
                                                               "c"}}));
    }

    // Guards against logging that takes CPU time from requests.
    void limits_the_rate_of_lines() {
        base::time_point now{};
        line_budget budget{now};
        int written = 0;
        for (int i = 0; i < 100'000; ++i) {
            now += base::microseconds{100};
            written += budget.take(now) ? 1 : 0;
        }
        // In 10 s: a burst of 2,000 lines, then 400 lines a second.
        CPPUNIT_ASSERT(written <= 6'001);
        CPPUNIT_ASSERT(written >= 5'900);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace

} // namespace pimentoferry::log
