#include "pimentoferry/cli/arguments.hpp"

#include <popt.h>

#include <array>
#include <memory>

namespace pimentoferry::cli {

namespace {

/// Option values that popt stores. It allocates the strings with malloc.
struct raw_options {
    char* settings_{nullptr};
    char* admin_{nullptr};
    char* token_file_{nullptr};
    char* against_{nullptr};
    long from_{0};
    long limit_{0};
    int json_{0};
    int help_{0};
    int version_{0};
};

using popt_context = std::unique_ptr<poptContext_s, decltype(&poptFreeContext)>;

std::string take_string(char* text) {
    if (text == nullptr) {
        return {};
    }
    std::string copy{text};
    // The program has to free the strings that popt allocates.
    free(text); // NOLINT(cppcoreguidelines-no-malloc)
    return copy;
}

} // namespace

std::variant<arguments, usage_error> parse_arguments(int argc,
                                                     const char** argv) {
    raw_options raw;
    const std::array<poptOption, 10> table{{
        {"settings", 's', POPT_ARG_STRING, &raw.settings_, 0, nullptr, nullptr},
        {"admin", 'a', POPT_ARG_STRING, &raw.admin_, 0, nullptr, nullptr},
        {"token-file", 't', POPT_ARG_STRING, &raw.token_file_, 0, nullptr,
         nullptr},
        {"against", 0, POPT_ARG_STRING, &raw.against_, 0, nullptr, nullptr},
        {"from", 0, POPT_ARG_LONG, &raw.from_, 0, nullptr, nullptr},
        {"limit", 0, POPT_ARG_LONG, &raw.limit_, 0, nullptr, nullptr},
        {"json", 0, POPT_ARG_NONE, &raw.json_, 0, nullptr, nullptr},
        {"help", 'h', POPT_ARG_NONE, &raw.help_, 0, nullptr, nullptr},
        {"version", 'V', POPT_ARG_NONE, &raw.version_, 0, nullptr, nullptr},
        POPT_TABLEEND,
    }};
    const popt_context parser{
        poptGetContext("pimentoferry", argc, argv, table.data(), 0),
        poptFreeContext};
    const int result = poptGetNextOpt(parser.get());
    arguments args;
    args.settings_ = take_string(raw.settings_);
    args.admin_ = take_string(raw.admin_);
    args.token_file_ = take_string(raw.token_file_);
    args.against_ = take_string(raw.against_);
    args.from_ = raw.from_;
    args.limit_ = raw.limit_;
    args.json_ = raw.json_ != 0;
    args.help_ = raw.help_ != 0;
    args.version_ = raw.version_ != 0;
    if (result < -1) {
        return usage_error{
            std::string{poptBadOption(parser.get(), POPT_BADOPTION_NOALIAS)} +
            ": " + poptStrerror(result)};
    }
    while (const char* word = poptGetArg(parser.get())) {
        args.words_.emplace_back(word);
    }
    return args;
}

} // namespace pimentoferry::cli
