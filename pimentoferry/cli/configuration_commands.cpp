// Checks a configuration of the users' platform before it is sent.

#include "pimentoferry/cli/admin_access.hpp"
#include "pimentoferry/cli/commands.hpp"
#include "pimentoferry/cli/exit_codes.hpp"
#include "pimentoferry/routing/configuration_check.hpp"
#include "platform/registry_format.hpp"

#include <jsoncpp/json/json.h>

#include <algorithm>
#include <iostream>
#include <memory>
#include <variant>

namespace pimentoferry::cli {

namespace {

struct source_file {
    std::string path_;
    std::string text_;
    routing::configuration configuration_;
};

struct unreadable_file {
    std::string message_;
};

/// The message of the JSON parser, which names line and column; empty if the
/// text is JSON.
std::string syntax_error(const std::string& text) {
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    Json::Value value;
    std::string errors;
    try {
        const bool valid = reader->parse(text.data(), text.data() + text.size(),
                                         &value, &errors);
        return valid ? "" : errors;
    } catch (const Json::Exception& error) {
        return error.what();
    }
}

std::variant<source_file, unreadable_file> load(const std::string& path) {
    auto text = read_file(path);
    if (!text) {
        return unreadable_file{"cannot read " + path};
    }
    auto read = platform::registry_format().read_configuration_(*text);
    if (const auto* failure = std::get_if<gateway::unreadable>(&read)) {
        const auto syntax = syntax_error(*text);
        return unreadable_file{path + ": " +
                               (syntax.empty() ? failure->reason_ : syntax)};
    }
    return source_file{path, std::move(*text),
                       std::get<routing::configuration>(std::move(read))};
}

/// The line on which an object with this name begins, from 1; 0 if unknown.
std::size_t line_of(const std::string& text, const std::string& name) {
    for (const auto* separator : {"\"name\":\"", "\"name\": \""}) {
        const auto at = text.find(separator + name + "\"");
        if (at != std::string::npos) {
            return 1 +
                   static_cast<std::size_t>(std::count(
                       text.begin(),
                       text.begin() + static_cast<std::ptrdiff_t>(at), '\n'));
        }
    }
    return 0;
}

void print(const source_file& file,
           const std::vector<routing::problem>& problems,
           const std::vector<routing::configuration_change>& changes) {
    for (const auto& each : problems) {
        const auto line = line_of(file.text_, each.name_);
        std::cout << file.path_ << (line > 0 ? ":" + std::to_string(line) : "")
                  << ": " << each.object_
                  << (each.field_.empty() ? "" : ", " + each.field_) << ": "
                  << each.detail_ << '\n';
    }
    for (const auto& each : changes) {
        std::cout << to_string(each.kind_) << ": " << each.object_;
        if (!each.field_.empty()) {
            std::cout << ", " << each.field_ << ": " << each.before_ << " -> "
                      << each.after_;
        }
        std::cout << '\n';
    }
    if (problems.empty()) {
        std::cout << file.path_ << ": no findings\n";
    }
}

void print_json(const source_file& file,
                const std::vector<routing::problem>& problems,
                const std::vector<routing::configuration_change>& changes) {
    Json::Value body{Json::objectValue};
    body["findings"] = Json::Value{Json::arrayValue};
    for (const auto& each : problems) {
        Json::Value found{Json::objectValue};
        found["kind"] = std::string{to_string(each.kind_)};
        found["object"] = each.object_;
        found["field"] = each.field_;
        found["detail"] = each.detail_;
        found["line"] =
            static_cast<Json::UInt64>(line_of(file.text_, each.name_));
        body["findings"].append(std::move(found));
    }
    body["changes"] = Json::Value{Json::arrayValue};
    for (const auto& each : changes) {
        Json::Value change{Json::objectValue};
        change["kind"] = std::string{to_string(each.kind_)};
        change["object"] = each.object_;
        change["field"] = each.field_;
        change["before"] = each.before_;
        change["after"] = each.after_;
        body["changes"].append(std::move(change));
    }
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    std::cout << Json::writeString(builder, body) << '\n';
}

} // namespace

int run_check_configuration(const arguments& args) {
    if (args.words_.size() != 2) {
        return fail(exit_usage, "expected one configuration file");
    }
    const auto loaded = load(args.words_[1]);
    if (const auto* failure = std::get_if<unreadable_file>(&loaded)) {
        return fail(exit_unreadable, failure->message_);
    }
    const auto& file = std::get<source_file>(loaded);
    std::vector<routing::configuration_change> changes;
    if (!args.against_.empty()) {
        const auto in_force = load(args.against_);
        if (const auto* failure = std::get_if<unreadable_file>(&in_force)) {
            return fail(exit_unreadable, failure->message_);
        }
        changes =
            routing::compare(std::get<source_file>(in_force).configuration_,
                             file.configuration_);
    }
    const auto problems = routing::find_problems(file.configuration_);
    if (args.json_) {
        print_json(file, problems, changes);
    } else {
        print(file, problems, changes);
    }
    return problems.empty() ? exit_ok : exit_refused;
}

} // namespace pimentoferry::cli
