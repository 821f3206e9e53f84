// The program pimentoferry-standins: simulates the external systems that the
// router uses.

#include "standins/standin.hpp"

#include <popt.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace pimentoferry::standins {
namespace {

constexpr int exit_usage = 2;

struct options {
    const char* listen_{"127.0.0.1:0"};
    const char* role_{nullptr};
    const char* set_{"{}"};
    const char* describe_{nullptr};
};

std::optional<options> parse_options(int argc, const char** argv) {
    options result;
    const poptOption table[] = {
        {"listen", 'l', POPT_ARG_STRING, static_cast<void*>(&result.listen_), 0,
         "address to listen on; port 0 picks a free one", "IP:PORT"},
        {"role", 'r', POPT_ARG_STRING, static_cast<void*>(&result.role_), 0,
         "engine, service, store, instances, weights, platform-store or "
         "platform-replica",
         "ROLE"},
        {"set", 's', POPT_ARG_STRING, static_cast<void*>(&result.set_), 0,
         "switches of the role, as a JSON object", "JSON"},
        {"describe", 'd', POPT_ARG_STRING,
         static_cast<void*>(&result.describe_), 0,
         "JSON array of descriptions; starts them all instead", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    const std::unique_ptr<poptContext_s, decltype(&poptFreeContext)> context{
        poptGetContext(nullptr, argc, argv, table, 0), &poptFreeContext};
    const int failure = poptGetNextOpt(context.get());
    if (failure < -1) {
        std::cerr << poptBadOption(context.get(), 0) << ": "
                  << poptStrerror(failure) << '\n';
        return std::nullopt;
    }
    if (result.role_ == nullptr && result.describe_ == nullptr) {
        std::cerr << "--role or --describe is required\n";
        return std::nullopt;
    }
    return result;
}

std::optional<json::array> read_descriptions(const options& from) {
    if (from.describe_ != nullptr) {
        std::ifstream file{from.describe_};
        std::stringstream text;
        text << file.rdbuf();
        const auto parsed = parse_json(text.str());
        const auto* list =
            parsed ? std::get_if<json::array>(&parsed->value_) : nullptr;
        return list == nullptr ? std::nullopt : std::optional{*list};
    }
    const auto parsed = parse_json(from.set_);
    const auto* switches =
        parsed ? std::get_if<json::object>(&parsed->value_) : nullptr;
    if (switches == nullptr) {
        return std::nullopt;
    }
    auto description = *switches;
    description.insert_or_assign("standin", json{from.role_});
    description.insert_or_assign("listen", json{from.listen_});
    return json::array{json{std::move(description)}};
}

int run(int argc, const char** argv) {
    const auto parsed = parse_options(argc, argv);
    if (!parsed) {
        return exit_usage;
    }
    const auto descriptions = read_descriptions(*parsed);
    if (!descriptions) {
        std::cerr << "--set needs a JSON object, --describe a JSON array\n";
        return exit_usage;
    }
    net::io_context context{1};
    for (const auto& description : *descriptions) {
        const auto result = start_standin(context, description);
        if (const auto* bad = std::get_if<bad_description>(&result)) {
            std::cerr << bad->reason_ << '\n';
            return exit_usage;
        }
        const auto& address = std::get<started>(result);
        std::cout << "listening " << address.ip_ << ':' << address.port_
                  << std::endl;
    }
    context.run();
    return 0;
}

} // namespace
} // namespace pimentoferry::standins

int main(int argc, const char** argv) {
    return pimentoferry::standins::run(argc, argv);
}
