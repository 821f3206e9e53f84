#include "pimentoferry/log/line_budget.hpp"
#include "pimentoferry/log/log.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::log {

namespace {

class log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_test);
    CPPUNIT_TEST(a_line_can_be_split_again);
    CPPUNIT_TEST(a_storm_of_lines_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    // Guards against a caller that forges a line through a value.
    void a_line_can_be_split_again() {
        CPPUNIT_ASSERT_EQUAL(
            std::string{R"(event=refuse id=7 detail="a b\"c d")"},
            format_line("refuse", {{"id", "7"}, {"detail", "a b\"c\nd"}}));
    }

    // Guards against logs that take the processor time of requests.
    void a_storm_of_lines_is_bounded() {
        base::time_point now{};
        line_budget budget{now};
        int written = 0;
        for (int i = 0; i < 100'000; ++i) {
            now += base::microseconds{100};
            written += budget.take(now) ? 1 : 0;
        }
        // 10 s: the burst and 400 lines a second.
        CPPUNIT_ASSERT(written <= 6'001);
        CPPUNIT_ASSERT(written >= 5'900);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_test);

} // namespace

} // namespace pimentoferry::log
