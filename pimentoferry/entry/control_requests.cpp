// Executes the actions of the request table.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

namespace pimentoferry::entry {

namespace {

constexpr auto& id_text = log_id;

void log_placement(const placement::to_entry& answer) {
    std::visit(
        base::overloaded{
            [](const placement::place_grant& m) {
                log_info("place",
                         {{"attempt", base::to_string(m.attempt_)},
                          {"prefill", m.prefill_.value_},
                          {"decode", m.decode_.value_},
                          {"inline", m.prefill_at_decode_ ? "yes" : "no"}});
            },
            [](const placement::place_refusal& m) {
                log_info("place_refused",
                         {{"attempt", base::to_string(m.attempt_)},
                          {"code", std::string{to_string(m.code_)}}});
            },
            [](const placement::decode_bound& m) {
                log_info("bind", {{"attempt", base::to_string(m.attempt_)},
                                  {"decode", m.decode_.value_}});
            },
            [](const placement::place_queued& m) {
                log_info("queue", {{"attempt", base::to_string(m.attempt_)}});
            }},
        answer);
}

} // namespace

template <class Command>
void control::to_traffic(const Command& command) {
    const auto number = thread_of(command.request_);
    if (number < traffic_.size()) {
        traffic_[number]->execute(request_command{command});
    }
}

void control::perform(const requests::action& action) {
    std::visit(base::overloaded{
                   [this](const requests::send_to_owner& a) { perform(a); },
                   [this](const requests::cancel_attempts& a) { perform(a); },
                   [this](const requests::spread_mark& a) { perform(a); },
                   [this](const requests::log_decision& a) { perform(a); },
                   [this](const auto& command) { to_traffic(command); }},
               action);
}

void control::perform(const requests::send_to_owner& action) {
    const auto answer =
        cells_.answer(*snapshot_, action.cell_, action.message_);
    if (answer) {
        log_placement(*answer);
        handle(requests::event{requests::placed{*answer}});
    }
}

void control::perform(const requests::cancel_attempts& action) {
    if (traffic_.empty()) {
        return;
    }
    for (auto* traffic : traffic_) {
        traffic->close_calls(action.engine_, action.attempts_);
    }
    traffic_.front()->cancel(action.engine_, action.attempts_);
}

void control::perform(const requests::spread_mark&) {}

void control::perform(const requests::log_decision& action) {
    log_info("decide", {{"request", id_text(action.request_)},
                        {"attempt", base::to_string(action.attempt_)},
                        {"decision", action.decision_},
                        {"reason", action.reason_}});
}

} // namespace pimentoferry::entry
