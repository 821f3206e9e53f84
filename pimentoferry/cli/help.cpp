#include "pimentoferry/cli/help.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace pimentoferry::cli {

namespace {

struct command_help {
    std::string_view command_;
    std::string_view usage_;
    std::string_view text_;
};

constexpr std::string_view admin_options =
    "  -a, --admin IP:PORT      administration address of any entry\n"
    "  -t, --token-file FILE    file that holds the administration token\n";

constexpr std::array<command_help, 13> commands{{
    {"entry", "entry --settings FILE",
     "Runs an entry. SIGTERM drains it; a second SIGTERM ends it at once.\n"},
    {"check-settings", "check-settings FILE",
     "Checks a settings file and reports the first error.\n"},
    {"gateway", "gateway [--settings FILE]",
     "Runs a gateway. Without --settings the file is named by the variable "
     "PIMENTOFERRY_SETTINGS. SIGTERM drains it; SIGHUP reloads the file.\n"},
    {"check-gateway", "check-gateway FILE",
     "Checks the settings file of a gateway and reports the first error.\n"},
    {"check-configuration",
     "check-configuration FILE [--against FILE] [--json]",
     "Checks a configuration of the users' platform: errors, entries without "
     "effect, limits that contradict each other; with --against also what "
     "it changes. Exit codes: 0 no findings, 1 findings, 2 cannot be read.\n"},
    {"ticket validate", "ticket validate FILE [--admin IP:PORT]",
     "Checks a ticket; with --admin also against the state in force.\n"},
    {"ticket apply", "ticket apply FILE --admin IP:PORT",
     "Applies a ticket. Applying the same file again is safe.\n"},
    {"ticket list", "ticket list --admin IP:PORT [--from N] [--limit N]",
     "Lists tickets, the newest first.\n"},
    {"ticket show", "ticket show NUMBER --admin IP:PORT",
     "Prints one ticket.\n"},
    {"ticket diff", "ticket diff FILE --admin IP:PORT",
     "Shows what a ticket would change in the state in force.\n"},
    {"ticket status", "ticket status [NUMBER] --admin IP:PORT",
     "Shows on how many entries a ticket is in force; without a number, the "
     "newest.\n"},
    {"status", "status --admin IP:PORT [--json]",
     "Shows the state of an entry.\n"},
    {"drain", "drain --admin IP:PORT",
     "Makes an entry leave the address list, finish its running requests, and "
     "exit.\n"},
}};

std::string general_help() {
    std::string text = "Usage: pimentoferry COMMAND [OPTIONS]\n\nCommands:\n";
    for (const auto& command : commands) {
        text += "  " + std::string{command.usage_} + "\n      " +
                std::string{command.text_};
    }
    text +=
        "\nOptions:\n" + std::string{admin_options} +
        "      --json               print the answer as JSON\n"
        "  -h, --help               help, also for one command\n"
        "  -V, --version            version\n"
        "\nExit codes: 0 success, 1 refused or failed, 2 invalid command line,"
        "\n3 a drain aborted requests, 4 no answer (outcome unknown).\n";
    return text;
}

} // namespace

std::string help_text(const std::vector<std::string>& words) {
    const auto found = std::ranges::find_if(commands, [&](const auto& command) {
        const std::string first = words.empty() ? "" : words.front();
        const std::string both =
            words.size() > 1 ? first + " " + words[1] : first;
        return command.command_ == first || command.command_ == both;
    });
    if (found == commands.end()) {
        return general_help();
    }
    return "Usage: pimentoferry " + std::string{found->usage_} + "\n\n" +
           std::string{found->text_} + "\nOptions:\n" +
           std::string{admin_options};
}

} // namespace pimentoferry::cli
