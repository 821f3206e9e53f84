#include "pimentoferry/once/idempotency_key.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentoferry::once {
namespace {

const base::service_name desk{"member-desk"};
const base::caller_name hawassa{"desk-hawassa"};
const std::string good_key = "018f3c5a-7b00-7000-8000-000000000001";
const base::wall_time issue{base::milliseconds{0x018f3c5a7b00}};

key_parse_result parse(std::string_view text, base::wall_time now = issue) {
    return parse_idempotency_key(desk, hawassa, text, now);
}

class idempotency_key_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(idempotency_key_test);
    CPPUNIT_TEST(reads_the_time_of_issue);
    CPPUNIT_TEST(separates_callers);
    CPPUNIT_TEST(ignores_the_case_of_digits);
    CPPUNIT_TEST(refuses_other_forms);
    CPPUNIT_TEST(refuses_keys_from_the_future);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_the_time_of_issue() {
        const auto parsed = parse(good_key);
        CPPUNIT_ASSERT(std::get<key_id>(parsed).issued_ == issue);
    }

    // Guards against a replay of one caller's result to another caller with an
    // equal key.
    void separates_callers() {
        const auto other = parse_idempotency_key(
            desk, base::caller_name{"desk-dilla"}, good_key, issue);
        CPPUNIT_ASSERT(std::get<key_id>(parse(good_key)) !=
                       std::get<key_id>(other));
    }

    // Guards against a second execution when a proxy changes the case of a key.
    void ignores_the_case_of_digits() {
        CPPUNIT_ASSERT(
            std::get<key_id>(parse("018F3C5A-7B00-7000-8000-000000000001")) ==
            std::get<key_id>(parse(good_key)));
    }

    void refuses_other_forms() {
        CPPUNIT_ASSERT(std::holds_alternative<key_missing>(parse("")));
        for (const auto* text : {
                 "x",
                 "018f3c5a-7b00-4000-8000-000000000001",  // version 4
                 "018f3c5a-7b00-7000-c000-000000000001",  // variant 11
                 "018f3c5a07b00-7000-8000-000000000001",  // no hyphen
                 "018f3c5a-7b00-7000-8000-00000000000g",  // no digit
                 "018f3c5a-7b00-7000-8000-0000000000011", // too long
             }) {
            const auto parsed = parse(text);
            CPPUNIT_ASSERT(std::holds_alternative<key_not_uuid7>(parsed));
            const auto refusal = refusal_for(parsed);
            CPPUNIT_ASSERT(refusal.code_ == base::refusal_code::key_malformed);
            CPPUNIT_ASSERT(refusal.ran_ == base::ran_state::not_run);
        }
    }

    void refuses_keys_from_the_future() {
        const auto limit = issue - key_issue_ahead;
        CPPUNIT_ASSERT(std::holds_alternative<key_id>(parse(good_key, limit)));
        CPPUNIT_ASSERT(std::holds_alternative<key_issued_ahead>(
            parse(good_key, limit - base::milliseconds{1})));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(idempotency_key_test);

} // namespace
} // namespace pimentoferry::once
