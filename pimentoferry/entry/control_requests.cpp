// Executes the actions of the request table.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

namespace pimentoferry::entry {

template <class Command>
void control::send_to_traffic(const Command& command) {
    const auto number = thread_of(command.request_);
    if (number < traffic_.size()) {
        traffic_[number]->execute(request_command{command});
    }
}

void control::perform(const requests::action& action) {
    std::visit(base::overloaded{
                   [this](const requests::send_to_owner& a) { perform(a); },
                   [this](const requests::cancel_attempts& a) { perform(a); },
                   [this](const requests::publish_crash_mark& a) {
                       raise(membership::event{
                           membership::publish{membership::crash_mark{
                               a.fingerprint_, a.crashes_, a.remaining_}}});
                   },
                   [this](const requests::log_decision& a) { perform(a); },
                   [this](const auto& command) { send_to_traffic(command); }},
               action);
}

void control::perform(const requests::send_to_owner& action) {
    const auto candidates = cell_candidates(action.cell_);
    if (!action.recipient_ && action.rank_ >= candidates.size()) {
        return;
    }
    const auto owner =
        action.recipient_ ? *action.recipient_ : candidates[action.rank_];
    cell_message message{action.cell_, action.message_};
    if (owner == instance_) {
        raise(cell_request{instance_, std::move(message)});
    } else {
        send_to(owner, std::move(message));
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

void control::perform(const requests::log_decision& action) {
    log_info("decide", {{"request", log_id(action.request_)},
                        {"attempt", base::to_string(action.attempt_)},
                        {"decision", action.decision_},
                        {"reason", action.reason_}});
}

} // namespace pimentoferry::entry
