#include "pimentoferry/cli/admin_access.hpp"

#include "pimentoferry/admin/admin_client.hpp"
#include "pimentoferry/cli/exit_codes.hpp"

#include <json/json.h>

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace pimentoferry::cli {

namespace {

std::optional<base::endpoint> parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return std::nullopt;
    }
    base::endpoint address{text.substr(0, colon), 0};
    const char* begin = text.data() + colon + 1;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(begin, end, address.port_);
    if (error != std::errc{} || stop != end) {
        return std::nullopt;
    }
    return address;
}

std::string trim_trailing(std::string text) {
    const auto last = text.find_last_not_of(" \r\n\t");
    text.erase(last == std::string::npos ? 0 : last + 1);
    return text;
}

} // namespace

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in{path, std::ios::binary};
    if (!in) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{in}, {}};
}

int fail(int code, const std::string& message) {
    std::cerr << "pimentoferry: " << message << '\n';
    return code;
}

std::variant<admin::admin_answer, int>
call_admin(const arguments& args, const admin::admin_request& request) {
    const auto address = parse_address(args.admin_);
    if (!address) {
        return fail(exit_usage,
                    "--admin needs IP:PORT, got \"" + args.admin_ + "\"");
    }
    admin::admin_target target{*address, {}};
    if (!args.token_file_.empty()) {
        const auto token = read_file(args.token_file_);
        if (!token) {
            return fail(exit_usage, "cannot read " + args.token_file_);
        }
        target.token_ = trim_trailing(*token);
    }
    auto result = admin::call(target, request);
    if (const auto* failure = std::get_if<admin::no_answer>(&result)) {
        return fail(exit_no_answer, "no answer from " + args.admin_ + ": " +
                                        failure->system_message_);
    }
    return std::get<admin::admin_answer>(std::move(result));
}

int report_refusal(const admin::admin_answer& answer) {
    std::istringstream in{answer.body_};
    Json::Value body;
    std::string errors;
    if (!Json::parseFromStream(Json::CharReaderBuilder{}, in, &body, &errors) ||
        !body.isObject()) {
        return fail(exit_refused, "status " + std::to_string(answer.status_) +
                                      ": " + answer.body_);
    }
    std::string message = "refused: " + body["code"].asString();
    for (const auto& name : body.getMemberNames()) {
        if (name != "code") {
            message += "\n  " + name + ": " +
                       (body[name].isString()
                            ? body[name].asString()
                            : trim_trailing(body[name].toStyledString()));
        }
    }
    return fail(exit_refused, message);
}

} // namespace pimentoferry::cli
