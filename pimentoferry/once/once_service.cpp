#include "pimentoferry/once/once_service.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <variant>

namespace pimentoferry::once {

using internal::context;

once_service::once_service(const settings& settings, base::instance_id instance)
    : view_(instance, settings.shards_), out_(instance),
      calls_(settings, instance), shards_(settings, instance) {}

std::vector<action> once_service::handle(const event& event,
                                         base::time_point now) {
    if (const auto* passed = std::get_if<tick>(&event)) {
        wall_ = passed->wall_;
    }
    context ctx{now, wall_, view_, out_};
    const auto view_before = view_.version();
    dispatch(event, ctx);
    if (view_.version() != view_before) {
        calls_.on_owners_changed(ctx);
    }
    deliver_local(ctx);
    shards_.pump(ctx);
    return out_.take_actions();
}

void once_service::dispatch(const event& event, context& ctx) {
    std::visit(
        base::overloaded{
            [&](const call_arrived& e) { calls_.on_call_arrived(e, ctx); },
            [&](const caller_disconnected& e) {
                calls_.on_caller_disconnected(e, ctx);
            },
            [&](const upstream_answered& e) { calls_.on_answered(e, ctx); },
            [&](const upstream_not_reached& e) {
                calls_.on_not_reached(e, ctx);
            },
            [&](const upstream_answer_lost& e) {
                calls_.on_answer_lost(e, ctx);
            },
            [&](const owner_message_received& e) {
                shards_.receive(e.message_, ctx);
            },
            [&](const entry_message_received& e) {
                calls_.receive(e.message_, ctx);
            },
            [&](const store_answered& e) { shards_.handle(e.result_, ctx); },
            [&](const view_changed& e) {
                view_.update(e);
                shards_.review(ctx);
            },
            [&](const window_changed& e) { shards_.set_window(e.window_); },
            [&](const drain_started&) {
                shards_.drain();
                shards_.review(ctx);
            },
            [&](const tick&) {
                shards_.handle_time(ctx);
                calls_.handle_time(ctx);
            }},
        event);
}

void once_service::deliver_local(context& ctx) {
    // A handler may send further messages to this entry.
    for (auto messages = out_.take_local(); !messages.empty();
         messages = out_.take_local()) {
        for (const auto& message : messages) {
            std::visit(base::overloaded{
                           [&](const to_owner& m) { shards_.receive(m, ctx); },
                           [&](const to_entry& m) { calls_.receive(m, ctx); }},
                       message);
        }
    }
}

std::optional<base::time_point> once_service::next_wakeup() const {
    return internal::earliest(calls_.next_wakeup(), shards_.next_wakeup(view_));
}

std::vector<shard_number> once_service::owned_shards() const {
    return shards_.owned();
}

bool once_service::drained() const {
    return shards_.all_closed() && calls_.open_calls() == 0;
}

std::size_t once_service::open_calls() const {
    return calls_.open_calls();
}

std::size_t once_service::record_count() const {
    return shards_.record_count();
}

} // namespace pimentoferry::once
