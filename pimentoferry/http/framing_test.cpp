#include "pimentoferry/http/framing.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace pimentoferry::http {

namespace {

struct framing_case {
    field_list fields_;
    bool valid_{false};
    unsigned version_{11};
};

class framing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(framing_test);
    CPPUNIT_TEST(only_unambiguous_heads_are_accepted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a body whose end two parties read differently, so that a
    // part of it is taken for another message.
    void only_unambiguous_heads_are_accepted() {
        const std::string coding = "Transfer-Encoding";
        const std::string length = "Content-Length";
        const std::vector<framing_case> cases{
            {{}, true},
            {{{"Host", "a"}}, true},
            {{{length, "0"}}, true},
            {{{"content-length", " 12\t"}}, true},
            {{{coding, "chunked"}}, true},
            {{{"transfer-ENCODING", " Chunked "}}, true},
            {{{coding, ""}}, false},
            {{{coding, "identity"}}, false},
            {{{coding, "gzip"}}, false},
            {{{coding, "xchunked"}}, false},
            {{{coding, "chunkedx"}}, false},
            {{{coding, "chunked;q=1"}}, false},
            {{{coding, "\"chunked\""}}, false},
            {{{coding, "\vchunked"}}, false},
            {{{coding, "chunked, identity"}}, false},
            {{{coding, "identity, chunked"}}, false},
            {{{coding, "gzip, chunked"}}, false},
            {{{coding, "chunked, chunked"}}, false},
            {{{coding, "chunked,"}}, false},
            {{{coding, ",chunked"}}, false},
            {{{coding, "chunked"}, {coding, "chunked"}}, false},
            {{{coding, "gzip"}, {coding, "chunked"}}, false},
            {{{coding, "chunked"}, {coding, "identity"}}, false},
            {{{coding, "chunked"}, {length, "5"}}, false},
            {{{length, "5"}, {coding, "identity"}}, false},
            {{{length, "5"}, {length, "5"}}, false},
            {{{length, "5"}, {length, "6"}}, false},
            {{{length, "5, 5"}}, false},
            {{{length, ""}}, false},
            {{{length, "+5"}}, false},
            {{{length, "-5"}}, false},
            {{{length, "0x5"}}, false},
            {{{length, "5 5"}}, false},
            {{{coding, "chunked"}}, false, 10},
            {{{length, "5"}}, true, 10},
        };
        for (std::size_t i = 0; i < cases.size(); ++i) {
            const auto fault =
                framing_fault(cases[i].fields_, cases[i].version_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE("case " + std::to_string(i),
                                         cases[i].valid_, !fault.has_value());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(framing_test);

} // namespace

} // namespace pimentoferry::http
