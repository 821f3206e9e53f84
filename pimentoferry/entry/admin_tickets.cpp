#include "pimentoferry/entry/admin_tickets.hpp"

#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/check.hpp"
#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/http/json.hpp"

namespace pimentoferry::entry {

namespace {

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;

admin::admin_answer json_answer(int status, const Json::Value& body) {
    return {status, "application/json", http::write_json(body)};
}

admin::admin_answer invalid_ticket(const config::config_error& error) {
    Json::Value body{Json::objectValue};
    body["code"] = "invalid";
    body["detail"] = config::to_string(error);
    return json_answer(status_bad_request, body);
}

/// The state after applying the ticket, or the error that prevents it.
config::parsed<config::state> state_after(const config::state& state,
                                          const std::string& text) {
    const auto parsed = config::parse_ticket(text, "ticket");
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        return *error;
    }
    auto next = config::apply_ticket(state, std::get<config::ticket>(parsed));
    if (auto error = config::check_state(next)) {
        return *std::move(error);
    }
    return next;
}

} // namespace

admin::admin_answer validate_ticket(const config::state& state,
                                    const std::string& ticket) {
    const auto next = state_after(state, ticket);
    if (const auto* error = std::get_if<config::config_error>(&next)) {
        return invalid_ticket(*error);
    }
    Json::Value body{Json::objectValue};
    body["valid"] = true;
    return json_answer(status_ok, body);
}

admin::admin_answer diff_ticket(const config::state& state,
                                const std::string& ticket) {
    const auto next = state_after(state, ticket);
    if (const auto* error = std::get_if<config::config_error>(&next)) {
        return invalid_ticket(*error);
    }
    Json::Value body{Json::objectValue};
    body["changes"] = Json::Value{Json::arrayValue};
    for (const auto& change :
         config::diff(state, std::get<config::state>(next))) {
        Json::Value item{Json::objectValue};
        item["object"] = config::to_string(change.object_);
        item["before"] = change.before_;
        item["after"] = change.after_;
        body["changes"].append(item);
    }
    return json_answer(status_ok, body);
}

admin::admin_answer list_tickets(const std::vector<std::string>& tickets) {
    Json::Value body{Json::objectValue};
    body["tickets"] = Json::Value{Json::arrayValue};
    for (const auto& text : tickets) {
        const auto parsed = config::parse_ticket(text, "ticket");
        const auto* ticket = std::get_if<config::ticket>(&parsed);
        if (ticket == nullptr) {
            continue;
        }
        Json::Value item{Json::objectValue};
        item["number"] = static_cast<Json::UInt64>(ticket->number_);
        item["operator"] = ticket->operator_;
        item["reason"] = ticket->reason_;
        item["touched"] = Json::Value{Json::arrayValue};
        for (const auto& object : config::touched_objects(*ticket)) {
            item["touched"].append(config::to_string(object));
        }
        body["tickets"].append(item);
    }
    return json_answer(status_ok, body);
}

} // namespace pimentoferry::entry
