#include "pimentoferry/cli/admin_access.hpp"
#include "pimentoferry/cli/commands.hpp"
#include "pimentoferry/cli/exit_codes.hpp"
#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/gateway/gateway.hpp"
#include "platform/adapter.hpp"

#include <cstdlib>
#include <iostream>
#include <variant>

namespace pimentoferry::cli {

namespace {

std::variant<config::gateway_settings, int>
load_gateway_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return fail(exit_refused, "cannot read " + path);
    }
    auto parsed = config::parse_gateway_settings(*text, path);
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        return fail(exit_refused, config::to_string(*error));
    }
    return std::get<config::gateway_settings>(std::move(parsed));
}

std::string settings_path(const arguments& args) {
    if (!args.settings_.empty()) {
        return args.settings_;
    }
    const char* path = std::getenv(platform::settings_variable);
    return path != nullptr ? path : "";
}

} // namespace

int run_gateway(const arguments& args) {
    gateway::hold_signals();
    const auto path = settings_path(args);
    if (path.empty()) {
        return fail(exit_usage, std::string{"gateway needs --settings FILE or "
                                            "the variable "} +
                                    platform::settings_variable);
    }
    const auto loaded = load_gateway_settings(path);
    if (const int* code = std::get_if<int>(&loaded)) {
        return *code;
    }
    return gateway::run(path, std::get<config::gateway_settings>(loaded),
                        platform::adapter());
}

int run_check_gateway(const arguments& args) {
    if (args.words_.size() != 2) {
        return fail(exit_usage, "expected one settings file");
    }
    const auto loaded = load_gateway_settings(args.words_[1]);
    if (const int* code = std::get_if<int>(&loaded)) {
        return *code;
    }
    std::cout << args.words_[1] << ": valid\n";
    return exit_ok;
}

} // namespace pimentoferry::cli
