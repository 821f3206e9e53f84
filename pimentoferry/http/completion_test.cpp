#include "pimentoferry/http/completion.hpp"

#include "pimentoferry/http/problem.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::http {
namespace {

class completion_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(completion_test);
    CPPUNIT_TEST(joins_chat_messages);
    CPPUNIT_TEST(refuses_invalid_bodies);
    CPPUNIT_TEST(problem_has_the_documented_fields);
    CPPUNIT_TEST_SUITE_END();

    static bool is_refused(std::string_view body) {
        const auto parsed = parse_completion(completion_kind::plain, body);
        const auto* refusal = std::get_if<base::refusal>(&parsed);
        return refusal != nullptr &&
               refusal->code_ == base::refusal_code::malformed_request &&
               refusal->ran_ == base::ran_state::not_run;
    }

public:
    void joins_chat_messages() {
        const auto parsed =
            parse_completion(completion_kind::chat,
                             R"({"model":"m","max_tokens":3,"messages":[
                {"role":"system","content":"be brief"},
                {"role":"user","content":"hay?"}]})");
        const auto& request = std::get<completion_request>(parsed);
        CPPUNIT_ASSERT_EQUAL(std::string{"system: be brief\nuser: hay?"},
                             request.prompt_);
        CPPUNIT_ASSERT_EQUAL(3U, request.max_tokens_.value_or(0));
    }

    // Guards against an invalid body that is passed to an engine or that ends
    // the process.
    void refuses_invalid_bodies() {
        CPPUNIT_ASSERT(is_refused(""));
        CPPUNIT_ASSERT(is_refused("[1]"));
        CPPUNIT_ASSERT(is_refused(R"({"model":"m"})"));
        CPPUNIT_ASSERT(is_refused(R"({"model":1,"prompt":"p"})"));
        CPPUNIT_ASSERT(
            is_refused(R"({"model":"m","prompt":"p","max_tokens":-1})"));
        CPPUNIT_ASSERT(is_refused(R"({"model":"m","prompt":"p"} x)"));
        CPPUNIT_ASSERT(is_refused(std::string(100000, '[')));
    }

    void problem_has_the_documented_fields() {
        const base::refusal refusal{
            base::refusal_code::overloaded, base::ran_state::not_run,
            base::milliseconds{1200}, "no place within the budget"};
        const problem_context context{"r1", {{"127.0.0.1", 8080}}};
        CPPUNIT_ASSERT_EQUAL(
            std::string{
                R"({"code":"overloaded","entries":["127.0.0.1:8080"],)"
                R"("ran":"not_run","request_id":"r1","retry_after_ms":1200,)"
                R"("status":503,"title":"no place within the budget",)"
                R"("type":"urn:pimentoferry:refusal:overloaded"})"},
            problem_json(refusal, context));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(completion_test);

} // namespace
} // namespace pimentoferry::http
