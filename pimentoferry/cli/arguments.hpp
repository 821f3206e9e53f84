/// Parses the command line of the program with popt.
///
///     auto parsed = cli::parse_arguments(argc, argv);
///     if (auto* error = std::get_if<cli::usage_error>(&parsed)) { ... }
#ifndef PIMENTOFERRY_CLI_ARGUMENTS_HPP
#define PIMENTOFERRY_CLI_ARGUMENTS_HPP

#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::cli {

/// Positional words and options; each command checks those that it needs.
struct arguments {
    std::vector<std::string> words_; ///< For example `ticket`, `show`, `17`.
    std::string settings_;
    std::string admin_;
    std::string token_file_;
    std::string against_;
    long from_{0};
    long limit_{0};
    bool json_{false};
    bool help_{false};
    bool version_{false};
};

struct usage_error {
    std::string message_;
};

/// Returns the arguments, or an error that names the rejected option.
std::variant<arguments, usage_error> parse_arguments(int argc,
                                                     const char** argv);

} // namespace pimentoferry::cli

#endif
