// Executes the actions of the at-most-once service.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

namespace pimentoferry::entry {

template <class Command>
void control::send_call_to_traffic(const Command& command) {
    const auto number = thread_of(command.request_);
    if (number < traffic_.size()) {
        traffic_[number]->execute(call_command{command});
    }
}

void control::perform(const once::action& action) {
    std::visit(
        base::overloaded{
            [this](const once::send_to_owner& a) {
                send_to(a.to_, a.message_);
            },
            [this](const once::send_to_entry& a) {
                send_to(a.to_, a.message_);
            },
            [this](const once::use_store& a) {
                submit(a.operation_, [](const store::result& result) {
                    return once::event{once::store_answered{result}};
                });
            },
            [this](const once::announce_owner& a) {
                const auto& o = a.ownership_;
                log_info("shard_owner",
                         {{"shard", std::to_string(o.shard_)},
                          {"epoch", std::to_string(o.epoch_)},
                          {"owner", base::to_hex(o.owner_.value_)}});
                raise(membership::event{membership::publish{
                    membership::shard_owner{o.shard_, o.epoch_, o.owner_}}});
                view_changed_ = true;
            },
            [this](const once::send_call& a) {
                log_info("once_run",
                         {{"request", log_id(a.request_)},
                          {"attempt", base::to_string(a.attempt_)}});
                send_call_to_traffic(a);
            },
            [this](const once::replay_result& a) {
                log_info("once_replay", {{"request", log_id(a.request_)}});
                send_call_to_traffic(a);
            },
            [this](const auto& a) { send_call_to_traffic(a); }},
        action);
}

} // namespace pimentoferry::entry
