#include "pimentoferry/base/refusal.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace pimentoferry::base {
namespace {

class refusal_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(refusal_test);
    CPPUNIT_TEST(every_code_has_its_own_text);
    CPPUNIT_TEST(texts_match_their_codes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two codes that callers cannot tell apart.
    void every_code_has_its_own_text() {
        std::set<std::string_view> texts;
        for (std::size_t i = 0; i < refusal_code_count; ++i) {
            texts.insert(to_string(static_cast<refusal_code>(i)));
        }
        CPPUNIT_ASSERT_EQUAL(refusal_code_count, texts.size());
    }

    // Guards against a table whose order differs from that of the enumeration.
    void texts_match_their_codes() {
        CPPUNIT_ASSERT(to_string(refusal_code::key_reused) == "key_reused");
        CPPUNIT_ASSERT_EQUAL(422, http_status(refusal_code::key_reused));
        CPPUNIT_ASSERT(to_string(refusal_code::internal_error) ==
                       "internal_error");
        CPPUNIT_ASSERT_EQUAL(500, http_status(refusal_code::internal_error));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_test);

} // namespace
} // namespace pimentoferry::base
