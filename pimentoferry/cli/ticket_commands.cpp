#include "pimentoferry/cli/admin_access.hpp"
#include "pimentoferry/cli/commands.hpp"
#include "pimentoferry/cli/exit_codes.hpp"
#include "pimentoferry/config/parse.hpp"

#include <json/json.h>

#include <algorithm>
#include <array>
#include <iostream>
#include <sstream>
#include <string_view>

namespace pimentoferry::cli {

namespace {

constexpr int http_status_ok = 200;

// Returns an empty object when the text is malformed.
Json::Value parse_json(const std::string& text) {
    std::istringstream in{text};
    Json::Value value;
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder{}, in, &value,
                               &errors)) {
        return Json::objectValue;
    }
    return value;
}

// Sends the request and passes the body of a successful response to `print`;
// with --json writes that body unchanged instead.
template <class Print>
int call_and_print(const arguments& args,
                   const admin::admin_request& request,
                   Print print) {
    auto result = call_admin(args, request);
    if (const int* code = std::get_if<int>(&result)) {
        return *code;
    }
    const auto& answer = std::get<admin::admin_answer>(result);
    if (answer.status_ != http_status_ok) {
        return report_refusal(answer);
    }
    if (args.json_) {
        std::cout << answer.body_ << '\n';
    } else {
        print(parse_json(answer.body_));
    }
    return exit_ok;
}

// Returns the text of the ticket file that the command names. The ticket is
// parsed, but not checked against the state in force.
std::variant<std::string, int> read_ticket(const arguments& args) {
    constexpr std::size_t file_word_index = 2;
    if (args.words_.size() != file_word_index + 1) {
        return fail(exit_usage, "expected one ticket file");
    }
    const std::string& path = args.words_[file_word_index];
    auto text = read_file(path);
    if (!text) {
        return fail(exit_refused, "cannot read " + path);
    }
    const auto parsed = config::parse_ticket(*text, path);
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        return fail(exit_refused, config::to_string(*error));
    }
    return std::move(*text);
}

int send_ticket(const arguments& args,
                const std::string& path,
                const auto& print) {
    auto text = read_ticket(args);
    if (const int* code = std::get_if<int>(&text)) {
        return *code;
    }
    return call_and_print(
        args, {"POST", path, {}, std::get<std::string>(text), {}}, print);
}

int run_validate(const arguments& args) {
    const auto print = [](const Json::Value&) { std::cout << "valid\n"; };
    if (!args.admin_.empty()) {
        return send_ticket(args, "/admin/v1/tickets/validate", print);
    }
    const auto text = read_ticket(args);
    if (const int* code = std::get_if<int>(&text)) {
        return *code;
    }
    print({});
    return exit_ok;
}

int run_apply(const arguments& args) {
    return send_ticket(args, "/admin/v1/tickets", [](const Json::Value& body) {
        std::cout << "accepted as ticket " << body["number"].asUInt64() << '\n';
    });
}

int run_diff(const arguments& args) {
    return send_ticket(
        args, "/admin/v1/tickets/diff", [](const Json::Value& body) {
            for (const auto& change : body["changes"]) {
                std::cout << change["object"].asString() << "\n  - "
                          << change["before"].asString() << "\n  + "
                          << change["after"].asString() << '\n';
            }
        });
}

void print_ticket_line(const Json::Value& ticket) {
    std::cout << ticket["number"].asUInt64() << "  "
              << ticket["operator"].asString() << "  "
              << ticket["reason"].asString() << "  [";
    std::string_view separator;
    for (const auto& object : ticket["touched"]) {
        std::cout << separator << object.asString();
        separator = ", ";
    }
    std::cout << "]\n";
}

int run_list(const arguments& args) {
    std::string query;
    if (args.from_ > 0) {
        query = "from=" + std::to_string(args.from_);
    }
    if (args.limit_ > 0) {
        query += (query.empty() ? "" : "&") + std::string{"limit="} +
                 std::to_string(args.limit_);
    }
    return call_and_print(args, {"GET", "/admin/v1/tickets", query, {}, {}},
                          [](const Json::Value& body) {
                              std::ranges::for_each(body["tickets"],
                                                    print_ticket_line);
                          });
}

bool is_number(const std::string& text) {
    return !text.empty() && std::ranges::all_of(text, [](char c) {
        return c >= '0' && c <= '9';
    });
}

int run_show(const arguments& args) {
    if (args.words_.size() != 3 || !is_number(args.words_[2])) {
        return fail(exit_usage, "expected a ticket number");
    }
    return call_and_print(
        args, {"GET", "/admin/v1/tickets/" + args.words_[2], {}, {}, {}},
        [](const Json::Value& body) { std::cout << body.toStyledString(); });
}

int run_ticket_status(const arguments& args) {
    if (args.words_.size() > 3 ||
        (args.words_.size() == 3 && !is_number(args.words_[2]))) {
        return fail(exit_usage, "expected at most one ticket number");
    }
    const std::string query =
        args.words_.size() == 3 ? "number=" + args.words_[2] : "";
    return call_and_print(
        args, {"GET", "/admin/v1/tickets/status", query, {}, {}},
        [](const Json::Value& body) {
            std::cout << "ticket " << body["number"].asUInt64()
                      << " in force on " << body["in_force"].asUInt64()
                      << " of " << body["entries"].asUInt64() << '\n';
        });
}

struct subcommand {
    std::string_view name_;
    int (*run_)(const arguments&);
};

constexpr std::array<subcommand, 6> subcommands{{
    {"validate", run_validate},
    {"apply", run_apply},
    {"list", run_list},
    {"show", run_show},
    {"diff", run_diff},
    {"status", run_ticket_status},
}};

} // namespace

int run_ticket(const arguments& args) {
    const std::string name = args.words_.size() > 1 ? args.words_[1] : "";
    const auto found = std::ranges::find(subcommands, name, &subcommand::name_);
    if (found == subcommands.end()) {
        return fail(exit_usage, "unknown command \"ticket " + name +
                                    "\", see pimentoferry --help");
    }
    return found->run_(args);
}

} // namespace pimentoferry::cli
