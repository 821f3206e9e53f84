#include "pimentoferry/cli/admin_access.hpp"
#include "pimentoferry/cli/commands.hpp"
#include "pimentoferry/cli/exit_codes.hpp"
#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/entry/daemon.hpp"

#include <json/json.h>

#include <iostream>
#include <sstream>

namespace pimentoferry::cli {

namespace {

constexpr int http_status_ok = 200;

std::variant<config::settings, int> load_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return fail(exit_refused, "cannot read " + path);
    }
    auto parsed = config::parse_settings(*text, path);
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        return fail(exit_refused, config::to_string(*error));
    }
    return std::get<config::settings>(std::move(parsed));
}

int print_answer(const std::variant<admin::admin_answer, int>& result) {
    if (const int* code = std::get_if<int>(&result)) {
        return *code;
    }
    const auto& answer = std::get<admin::admin_answer>(result);
    if (answer.status_ != http_status_ok) {
        return report_refusal(answer);
    }
    std::cout << answer.body_ << '\n';
    return exit_ok;
}

} // namespace

int run_check_settings(const arguments& args) {
    if (args.words_.size() != 2) {
        return fail(exit_usage, "expected one settings file");
    }
    const auto loaded = load_settings(args.words_[1]);
    if (const int* code = std::get_if<int>(&loaded)) {
        return *code;
    }
    std::cout << args.words_[1] << ": valid\n";
    return exit_ok;
}

int run_status(const arguments& args) {
    return print_answer(
        call_admin(args, {"GET", "/admin/v1/status", {}, {}, {}}));
}

int run_drain(const arguments& args) {
    return print_answer(
        call_admin(args, {"POST", "/admin/v1/drain", {}, {}, {}}));
}

int run_entry(const arguments& args) {
    if (args.settings_.empty()) {
        return fail(exit_usage, "entry needs --settings FILE");
    }
    auto loaded = load_settings(args.settings_);
    if (const int* code = std::get_if<int>(&loaded)) {
        return *code;
    }
    return entry::run(std::get<config::settings>(std::move(loaded)));
}

} // namespace pimentoferry::cli
