// Executes the actions of the ticket log.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/entry/serving_text.hpp"

namespace pimentoferry::entry {

void control::perform(const tickets::action& action) {
    std::visit(base::overloaded{[this](const tickets::store_call& a) {
                                    submit(a.operation_,
                                           [](const store::result& result) {
                                               return tickets::event{result};
                                           });
                                },
                                [this](const tickets::send_message& a) {
                                    send_to(a.to_, a.message_);
                                },
                                [this](const auto& a) { perform(a); }},
               action);
}

void control::perform(const tickets::applied& action) {
    log_info("ticket_applied", {{"number", std::to_string(action.number_)}});
    routing_ = make_routing_table(action.number_, *action.state_);
    const auto window = routing_->state_.policy_.once_window_;
    raise(once::event{once::window_changed{window}});
    topology_hash_ = 0;
    view_changed_ = true;
    snapshot_changed_ = true;
    publish_self();
    raise_engines_updated();
    // Traffic threads receive the new state before the next event is handled.
    publish();
}

void control::perform(const tickets::serving_status& action) {
    log_info("serving", {{"allowed", action.allowed_ ? "yes" : "no"},
                         {"reason", std::string{reason_text(action.reason_)}}});
    serving_ = action;
    publish();
}

void control::submit(store::operation operation,
                     std::function<control_event(const store::result&)> wrap) {
    store_.submit(std::move(operation),
                  [this, wrap = std::move(wrap)](const store::result& result) {
                      raise(wrap(result));
                      handle_queue();
                      arm_timer();
                  });
}

} // namespace pimentoferry::entry
