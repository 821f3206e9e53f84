#include "pimentoferry/cli/arguments.hpp"

#include <popt.h>

#include <array>
#include <memory>

namespace pimentoferry::cli {

namespace {

/// Values that popt fills; it allocates the strings.
struct raw_options {
    char* settings_{nullptr};
    char* admin_{nullptr};
    char* token_file_{nullptr};
    long from_{0};
    long limit_{0};
    int json_{0};
    int help_{0};
    int version_{0};
};

using context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

std::string take(char* text) {
    if (text == nullptr) {
        return {};
    }
    std::string copy{text};
    // popt hands out strings that its user frees.
    free(text); // NOLINT(cppcoreguidelines-no-malloc)
    return copy;
}

} // namespace

std::variant<arguments, usage_error> parse_arguments(int argc,
                                                     const char** argv) {
    raw_options raw;
    const std::array<poptOption, 9> table{{
        {"settings", 's', POPT_ARG_STRING, &raw.settings_, 0, nullptr, nullptr},
        {"admin", 'a', POPT_ARG_STRING, &raw.admin_, 0, nullptr, nullptr},
        {"token-file", 't', POPT_ARG_STRING, &raw.token_file_, 0, nullptr,
         nullptr},
        {"from", 0, POPT_ARG_LONG, &raw.from_, 0, nullptr, nullptr},
        {"limit", 0, POPT_ARG_LONG, &raw.limit_, 0, nullptr, nullptr},
        {"json", 0, POPT_ARG_NONE, &raw.json_, 0, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, &raw.help_, 0, nullptr, nullptr},
        {"version", 'V', POPT_ARG_NONE, &raw.version_, 0, nullptr, nullptr},
        POPT_TABLEEND,
    }};
    const context parser{
        poptGetContext("pimentoferry", argc, argv, table.data(), 0),
        poptFreeContext};
    const int result = poptGetNextOpt(parser.get());
    arguments found;
    found.settings_ = take(raw.settings_);
    found.admin_ = take(raw.admin_);
    found.token_file_ = take(raw.token_file_);
    found.from_ = raw.from_;
    found.limit_ = raw.limit_;
    found.json_ = raw.json_ != 0;
    found.help_ = raw.help_ != 0;
    found.version_ = raw.version_ != 0;
    if (result < -1) {
        return usage_error{
            std::string{poptBadOption(parser.get(), POPT_BADOPTION_NOALIAS)} +
            ": " + poptStrerror(result)};
    }
    while (const char* word = poptGetArg(parser.get())) {
        found.words_.emplace_back(word);
    }
    return found;
}

} // namespace pimentoferry::cli
