// Answers operator requests that need the state of the control thread.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/serving_text.hpp"
#include "pimentoferry/http/json.hpp"

namespace pimentoferry::entry {

namespace {

using http::write_json;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

admin::admin_answer json_answer(int status, const Json::Value& body) {
    return {status, "application/json", write_json(body)};
}

Json::Value number_body(std::uint64_t number) {
    Json::Value body{Json::objectValue};
    body["number"] = static_cast<Json::UInt64>(number);
    return body;
}

admin::admin_answer number_taken_answer(const tickets::number_taken& taken) {
    auto body = number_body(taken.number_);
    body["code"] = "number_taken";
    body["operator"] = taken.operator_;
    body["objects"] = Json::Value{Json::arrayValue};
    for (const auto& object : taken.objects_) {
        body["objects"].append(config::to_string(object));
    }
    return json_answer(status_conflict, body);
}

admin::admin_answer to_admin_answer(const tickets::answer& answer) {
    return std::visit(
        base::overloaded{[](const tickets::accepted& a) {
                             return json_answer(status_ok,
                                                number_body(a.number_));
                         },
                         [](const tickets::number_taken& a) {
                             return number_taken_answer(a);
                         },
                         [](const tickets::store_unavailable& a) {
                             Json::Value body{Json::objectValue};
                             body["code"] = "store_unavailable";
                             body["may_be_accepted"] = a.may_be_accepted_;
                             return json_answer(status_unavailable, body);
                         },
                         [](const tickets::invalid& a) {
                             Json::Value body{Json::objectValue};
                             body["code"] = "invalid";
                             body["detail"] = config::to_string(a.error_);
                             return json_answer(status_bad_request, body);
                         },
                         [](const tickets::history_found& a) {
                             return admin::admin_answer{
                                 status_ok, "application/json", a.ticket_};
                         },
                         [](const tickets::history_absent& a) {
                             auto body = number_body(a.number_);
                             body["code"] = "not_found";
                             return json_answer(status_not_found, body);
                         }},
        answer);
}

} // namespace

void control::perform(const tickets::operator_answer& action) {
    const auto found = operator_replies_.find(action.request_.value_);
    if (found == operator_replies_.end()) {
        return;
    }
    const auto reply = std::move(found->second);
    operator_replies_.erase(found);
    reply(to_admin_answer(action.answer_));
}

void control::apply_ticket(std::string ticket, admin_reply reply) {
    const auto number = next_operator_request_++;
    operator_replies_.emplace(number, std::move(reply));
    raise(tickets::event{
        tickets::apply{tickets::operator_request{number}, std::move(ticket)}});
}

void control::find_ticket(std::uint64_t number, admin_reply reply) {
    const auto request = next_operator_request_++;
    operator_replies_.emplace(request, std::move(reply));
    raise(tickets::event{
        tickets::history_query{tickets::operator_request{request}, number}});
}

admin::admin_answer
control::in_force_status(std::optional<std::uint64_t> number) const {
    const auto status = tickets_.status(number.value_or(tickets_.number()));
    auto body = number_body(status.number_);
    body["in_force"] = static_cast<Json::UInt64>(status.entries_);
    body["entries"] = static_cast<Json::UInt64>(status.live_);
    return json_answer(status_ok, body);
}

admin::admin_answer control::state_in_force() const {
    return {status_ok, "application/json", config::to_json(routing_->state_)};
}

admin::admin_answer control::begin_drain() {
    if (!drain_.begun()) {
        signal();
    }
    Json::Value body{Json::objectValue};
    body["draining"] = true;
    body["in_flight"] = static_cast<Json::UInt64>(in_flight());
    return json_answer(status_ok, body);
}

admin::admin_answer control::status() const {
    Json::Value body{Json::objectValue};
    body["name"] = settings_.name_;
    body["instance"] = base::to_hex(instance_.value_);
    body["ticket"] = static_cast<Json::UInt64>(tickets_.number());
    body["lowest_applied"] =
        static_cast<Json::UInt64>(tickets_.lowest_applied());
    const auto serving = tickets_.serving(base::clock::now());
    body["serving"] = serving.allowed_;
    body["reason"] = std::string{reason_text(serving.reason_)};
    body["draining"] = drain_.begun();
    body["in_flight"] = static_cast<Json::UInt64>(in_flight());
    body["members"] = Json::Value{Json::arrayValue};
    for (const auto& member : swim_.live()) {
        Json::Value item{Json::objectValue};
        item["name"] = member.name_;
        item["instance"] = base::to_hex(member.instance_.value_);
        item["peer_address"] = base::to_string(member.peer_address_);
        item["draining"] = member.draining_;
        item["ticket"] = static_cast<Json::UInt64>(member.applied_ticket_);
        body["members"].append(item);
    }
    body["cells"] = Json::Value{Json::objectValue};
    for (const auto& [cell, owner] : owners_) {
        body["cells"][cell.value_] = base::to_hex(owner.value_);
    }
    body["once_shards"] = Json::Value{Json::arrayValue};
    for (const auto shard : once_.owned_shards()) {
        body["once_shards"].append(shard);
    }
    return json_answer(status_ok, body);
}

} // namespace pimentoferry::entry
