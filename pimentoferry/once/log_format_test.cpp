#include "pimentoferry/once/log_format.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::once::internal {
namespace {

class log_format_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_format_test);
    CPPUNIT_TEST(reads_what_was_written);
    CPPUNIT_TEST(reports_corrupt_values);
    CPPUNIT_TEST_SUITE_END();

public:
    void reads_what_was_written() {
        const base::attempt_id attempt{{7}, 3};
        const key_id key{1, 2, base::wall_time{base::milliseconds{-5}}};
        auto value = new_segment(4, 9);
        append_record(value, claim{attempt, 4, key, 77});
        append_record(value,
                      report_result{attempt, 4, key, {200, "a/b", "body"}});
        append_record(value, report_lost{attempt, 4, key});
        append_record(value, abandon{attempt, 4, key});
        append_mark(value, 12, 1);
        append_seal(value, 10);

        const auto decoded = decode_segment(value);
        const auto& read = std::get<segment>(decoded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, read.records_.size());
        CPPUNIT_ASSERT(key_of(read.records_[0]) == key);
        CPPUNIT_ASSERT(attempt_of(read.records_[3]) == attempt);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{77},
                             std::get<claim>(read.records_[0]).body_hash_);
        CPPUNIT_ASSERT_EQUAL(
            std::string{"body"},
            std::get<report_result>(read.records_[1]).result_.body_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, read.epoch_);
        CPPUNIT_ASSERT(read.successor_ == segment_number{10});
    }

    // Guards against an owner that loads a truncated or foreign log.
    void reports_corrupt_values() {
        auto value = new_segment(4, 9);
        append_record(value, claim{{{7}, 3}, 4, {1, 2, {}}, 77});
        for (const auto& bad : {std::string{}, std::string{"text"},
                                value.substr(0, value.size() - 1)}) {
            CPPUNIT_ASSERT(
                std::holds_alternative<log_corrupt>(decode_segment(bad)));
            CPPUNIT_ASSERT(
                std::holds_alternative<log_corrupt>(decode_head(bad)));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_format_test);

} // namespace
} // namespace pimentoferry::once::internal
