// Main function: parses the command line and runs the command that it names.

#include "pimentoferry/cli/admin_access.hpp"
#include "pimentoferry/cli/arguments.hpp"
#include "pimentoferry/cli/commands.hpp"
#include "pimentoferry/cli/exit_codes.hpp"
#include "pimentoferry/cli/fatal_signals.hpp"
#include "pimentoferry/cli/help.hpp"

#include <algorithm>
#include <array>
#include <iostream>
#include <string_view>

namespace {

namespace cli = pimentoferry::cli;

struct command {
    std::string_view name_;
    int (*run_)(const cli::arguments&);
};

constexpr std::array<command, 8> commands{{
    {"entry", cli::run_entry},
    {"check-settings", cli::run_check_settings},
    {"gateway", cli::run_gateway},
    {"check-gateway", cli::run_check_gateway},
    {"check-configuration", cli::run_check_configuration},
    {"ticket", cli::run_ticket},
    {"status", cli::run_status},
    {"drain", cli::run_drain},
}};

int run(const cli::arguments& args) {
    if (args.version_) {
        std::cout << "pimentoferry " PIMENTOFERRY_VERSION "\n";
        return cli::exit_ok;
    }
    if (args.help_) {
        std::cout << cli::help_text(args.words_);
        return cli::exit_ok;
    }
    if (args.words_.empty()) {
        std::cerr << cli::help_text({});
        return cli::exit_usage;
    }
    const auto found =
        std::ranges::find(commands, args.words_.front(), &command::name_);
    if (found == commands.end()) {
        return cli::fail(cli::exit_usage, "unknown command \"" +
                                              args.words_.front() +
                                              "\", see pimentoferry --help");
    }
    return found->run_(args);
}

} // namespace

int main(int argc, const char** argv) {
    cli::report_fatal_signals(PIMENTOFERRY_VERSION);
    const auto parsed = cli::parse_arguments(argc, argv);
    if (const auto* error = std::get_if<cli::usage_error>(&parsed)) {
        return cli::fail(cli::exit_usage, error->message_);
    }
    return run(std::get<cli::arguments>(parsed));
}
