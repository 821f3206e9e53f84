#include "pimentoferry/cli/arguments.hpp"
#include "pimentoferry/cli/help.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace pimentoferry::cli {
namespace {

std::variant<arguments, usage_error> parse(std::vector<const char*> words) {
    words.insert(words.begin(), "pimentoferry");
    const int count = static_cast<int>(words.size());
    words.push_back(nullptr);
    return parse_arguments(count, words.data());
}

class arguments_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(arguments_test);
    CPPUNIT_TEST(parses_options_before_and_after_words);
    CPPUNIT_TEST(reports_an_unknown_option);
    CPPUNIT_TEST(reports_a_missing_option_value);
    CPPUNIT_TEST(help_covers_only_the_named_command);
    CPPUNIT_TEST_SUITE_END();

public:
    void parses_options_before_and_after_words() {
        const auto parsed = parse({"ticket", "--admin", "127.0.0.1:1", "list",
                                   "--from", "3", "--json"});
        const auto& args = std::get<arguments>(parsed);
        CPPUNIT_ASSERT(
            (args.words_ == std::vector<std::string>{"ticket", "list"}));
        CPPUNIT_ASSERT_EQUAL(std::string{"127.0.0.1:1"}, args.admin_);
        CPPUNIT_ASSERT_EQUAL(3L, args.from_);
        CPPUNIT_ASSERT(args.json_);
    }

    void reports_an_unknown_option() {
        const auto parsed = parse({"status", "--bogus"});
        const auto& error = std::get<usage_error>(parsed);
        CPPUNIT_ASSERT(error.message_.find("--bogus") != std::string::npos);
    }

    void reports_a_missing_option_value() {
        const auto parsed = parse({"entry", "--settings"});
        CPPUNIT_ASSERT(std::holds_alternative<usage_error>(parsed));
    }

    void help_covers_only_the_named_command() {
        const std::string text = help_text({"ticket", "apply"});
        CPPUNIT_ASSERT(text.find("ticket apply FILE") != std::string::npos);
        CPPUNIT_ASSERT(text.find("ticket list") == std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(arguments_test);

} // namespace
} // namespace pimentoferry::cli
