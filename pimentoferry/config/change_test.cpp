#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/parse.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace pimentoferry::config {
namespace {

caller make_caller(const std::string& name, std::uint32_t limit) {
    return caller{base::caller_name{name}, "k-" + name, limit};
}

class change_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(change_test);
    CPPUNIT_TEST(replaces_whole_objects);
    CPPUNIT_TEST(diff_returns_json_before_and_after);
    CPPUNIT_TEST_SUITE_END();

public:
    void replaces_whole_objects() {
        ticket first;
        first.callers_ = {make_caller("ana", 1), make_caller("eva", 1)};
        first.policy_ = policy{};
        first.policy_->retry_percent_ = 3;
        ticket second;
        second.callers_ = {make_caller("ana", 2)};
        second.remove_ = {object_ref{object_kind::caller, "eva"},
                          object_ref{object_kind::caller, "absent"}};
        const auto after = apply_ticket(apply_ticket(state{}, first), second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, after.callers_.size());
        CPPUNIT_ASSERT_EQUAL(
            2U, after.callers_.at(base::caller_name{"ana"}).max_in_flight_);
        CPPUNIT_ASSERT_EQUAL(3U, after.policy_.retry_percent_);
    }

    void diff_returns_json_before_and_after() {
        ticket first;
        first.callers_ = {make_caller("ana", 1), make_caller("eva", 1),
                          make_caller("ida", 1)};
        const auto before = apply_ticket(state{}, first);
        ticket second;
        second.callers_ = {make_caller("ana", 1), make_caller("eva", 2),
                           make_caller("zoe", 1)};
        second.remove_ = {object_ref{object_kind::caller, "ida"}};
        const auto changes = diff(before, apply_ticket(before, second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"callers/eva"},
                             to_string(changes[0].object_));
        CPPUNIT_ASSERT_EQUAL(to_json(make_caller("eva", 1)),
                             changes[0].before_);
        CPPUNIT_ASSERT_EQUAL(to_json(make_caller("eva", 2)), changes[0].after_);
        CPPUNIT_ASSERT_EQUAL(std::string{}, changes[1].after_);
        CPPUNIT_ASSERT_EQUAL(std::string{}, changes[2].before_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(change_test);

} // namespace
} // namespace pimentoferry::config
