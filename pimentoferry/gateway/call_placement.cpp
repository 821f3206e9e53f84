#include "pimentoferry/gateway/call_placement.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <string_view>

namespace pimentoferry::gateway {

namespace {

constexpr base::milliseconds tick_interval{20};
// As for streams: an owner that has sent neither a decision nor a confirmation
// by then is not asked for the second time.
constexpr base::milliseconds owner_reply_timeout{100};
constexpr base::milliseconds owner_bypass_duration{1500};
// Added to the time after which the owner refuses a call that waits.
constexpr base::milliseconds decision_margin{100};

base::attempt_id attempt_of(const routing::place_decision& decision) {
    return std::visit([](const auto& d) { return d.attempt_; }, decision);
}

} // namespace

bool call_placement::places(const base::service_name& service) const {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.placeable_) {
        return false;
    }
    switch (settings_.call_placement_) {
    case config::placement_mode::local:
        return false;
    case config::placement_mode::owner:
        return true;
    case config::placement_mode::automatic:
        return gateways_ > found->second.places_;
    }
    return false;
}

call_placement::service_state&
call_placement::state_of(const base::service_name& service) {
    return services_
        .try_emplace(service,
                     base::hash_combine(peers_.self().value_,
                                        base::hash_bytes(service.value_)))
        .first->second;
}

void call_placement::update_owner(const base::service_name& service,
                                  service_state& state) {
    const auto owner = peers_.owner_of(service, settings_.region_);
    if (owner == state.owner_) {
        return;
    }
    log::log_info("call_owner",
                  {{"service", service.value_},
                   {"owner", base::to_hex(owner.value_)},
                   {"before", base::to_hex(state.owner_.value_)},
                   {"self", owner == peers_.self() ? "yes" : "no"}});
    state.owner_ = owner;
    state.bypass_owner_until_ = {};
    const auto now = base::clock::now();
    if (owner == peers_.self()) {
        return;
    }
    for (const auto& [attempt, call] : calls_) {
        if (call.service_ == service) {
            const auto left = std::chrono::duration_cast<base::milliseconds>(
                call.deadline_ - now);
            send_to_owner(
                state, service,
                routing::place_taken{attempt, call.replica_,
                                     std::max(left, base::milliseconds{0})});
        }
    }
}

void call_placement::send_to_owner(const service_state& state,
                                   const base::service_name& service,
                                   routing::place_message message) {
    if (state.owner_ != peers_.self()) {
        peers_.send(state.owner_,
                    service_place_message{service, std::move(message)});
    }
}

void call_placement::deliver(
    const routing::call_scheduler::decisions& decisions) {
    for (const auto& decision : decisions) {
        const auto attempt = attempt_of(decision);
        if (attempt.instance_ != peers_.self()) {
            peers_.send(attempt.instance_,
                        std::visit(
                            [](const auto& d) {
                                return peer_message{routing::place_reply{d}};
                            },
                            decision));
            continue;
        }
        const auto found = pending_.find(attempt);
        if (found != pending_.end()) {
            found->second->decision_ = decision;
            found->second->signal_.wake();
        }
    }
}

http::awaitable<place_outcome>
call_placement::acquire(base::service_name service,
                        routing::place_request call,
                        std::shared_ptr<http::cancellation> cancel) {
    auto& state = state_of(service);
    const auto began = base::clock::now();
    const bool owns = state.owner_ == peers_.self();
    if (state.bypass_owner_until_ > began) {
        co_return owner_silent{};
    }
    call.attempt_ = {peers_.self(), ++last_attempt_};
    const auto attempt = call.attempt_;
    auto pending = std::make_shared<pending_place>(io_);
    const http::subscription cancelled{std::move(cancel), [pending] {
                                           pending->cancelled_ = true;
                                           pending->signal_.wake();
                                       }};
    pending_.emplace(attempt, pending);
    if (owns) {
        pending->queued_ = true;
        deliver(state.scheduler_.request(call, began));
    } else {
        send_to_owner(state, service, call);
    }
    const auto reply_due = began + owner_reply_timeout;
    const auto decided_by = began + call.time_left_ + decision_margin;
    while (!pending->decision_ && !pending->cancelled_) {
        const auto until = pending->queued_ ? decided_by : reply_due;
        if (base::clock::now() >= until) {
            break;
        }
        (void)co_await pending->signal_.wait_until(until);
    }
    pending_.erase(attempt);
    const auto now = base::clock::now();
    const auto decision = pending->decision_;
    const auto* granted =
        decision ? std::get_if<routing::place_grant>(&*decision) : nullptr;
    if (granted != nullptr) {
        calls_[attempt] = {service, granted->replica_, now + call.time_left_};
        counters_.count_placement("call_granted");
        if (granted->left_domain_ != routing::leave_reason::stays) {
            counters_.count_placement(
                "call_left_domain_" +
                std::string{to_string(granted->left_domain_)});
        }
        co_return *granted;
    }
    if (decision) {
        counters_.count_placement("call_refused");
        co_return std::get<routing::place_refusal>(*decision);
    }
    // The owner may still hold the call.
    released(service, {attempt, routing::call_result::abandoned, {}, false});
    if (pending->cancelled_) {
        co_return place_abandoned{};
    }
    log::log_warn("call_owner_silent",
                  {{"service", service.value_},
                   {"owner", base::to_hex(state.owner_.value_)},
                   {"queued", pending->queued_ ? "yes" : "no"}});
    state.bypass_owner_until_ = now + owner_bypass_duration;
    counters_.count_placement("call_autonomous");
    co_return owner_silent{};
}

base::attempt_id call_placement::taken(const base::service_name& service,
                                       const base::upstream_name& replica,
                                       base::milliseconds time_left) {
    auto& state = state_of(service);
    const base::attempt_id attempt{peers_.self(), ++last_attempt_};
    const auto now = base::clock::now();
    calls_[attempt] = {service, replica, now + time_left};
    const routing::place_taken message{attempt, replica, time_left};
    if (state.owner_ == peers_.self()) {
        state.scheduler_.taken(message, now);
    } else {
        send_to_owner(state, service, message);
    }
    return attempt;
}

void call_placement::released(const base::service_name& service,
                              const routing::place_released& message) {
    auto& state = state_of(service);
    calls_.erase(message.attempt_);
    if (state.owner_ == peers_.self()) {
        deliver(state.scheduler_.released(message, base::clock::now()));
    } else {
        send_to_owner(state, service, message);
    }
}

void call_placement::set_replicas(const registry& registry_view,
                                  base::time_point now) {
    const auto routes = registry_view.routes();
    if (!routes) {
        return;
    }
    for (const auto& [name, service] : routes->source().services_) {
        if (service.engine_) {
            // A call may still refer to the state of a service that was plain.
            const auto found = services_.find(name);
            if (found != services_.end()) {
                found->second.placeable_ = false;
            }
            continue;
        }
        auto& state = state_of(name);
        const auto usable = registry_view.instances().usable(name, now);
        state.scheduler_.set_domain_price(
            {settings_.other_domains_.delay_, settings_.other_domains_.worth_});
        state.placeable_ = !usable.empty();
        state.places_ = 0;
        for (const auto* each : usable) {
            state.places_ += std::max(each->slots_, 1U);
        }
        deliver(state.scheduler_.set_replicas(usable, now));
        update_owner(name, state);
    }
}

void call_placement::member_changed(const membership::member& member) {
    members_changed_ = true;
    if (membership::is_live(member.state_)) {
        return;
    }
    for (auto& [name, state] : services_) {
        deliver(state.scheduler_.gateway_lost(member.instance_,
                                              base::clock::now()));
    }
}

void call_placement::update_owners() {
    members_changed_ = false;
    gateways_ = peers_.live().size();
    for (auto& [name, state] : services_) {
        update_owner(name, state);
    }
}

void call_placement::receive(base::instance_id from,
                             const service_place_message& message) {
    const auto now = base::clock::now();
    auto& state = state_of(message.service_);
    std::visit(base::overloaded{
                   [&](const routing::place_request& m) {
                       const auto made = state.scheduler_.request(m, now);
                       const bool decided =
                           std::ranges::any_of(made, [&m](const auto& each) {
                               return attempt_of(each) == m.attempt_;
                           });
                       if (!decided) {
                           peers_.send(from,
                                       routing::place_reply{
                                           routing::place_queued{m.attempt_}});
                       }
                       deliver(made);
                   },
                   [&](const routing::place_taken& m) {
                       state.scheduler_.taken(m, now);
                   },
                   [&](const routing::place_released& m) {
                       deliver(state.scheduler_.released(m, now));
                   }},
               message.message_);
}

void call_placement::receive(const routing::place_reply& reply) {
    std::visit(base::overloaded{
                   [this](const routing::place_queued& r) {
                       const auto found = pending_.find(r.attempt_);
                       if (found != pending_.end()) {
                           found->second->queued_ = true;
                           found->second->signal_.wake();
                       }
                   },
                   [this](const routing::place_grant& r) {
                       // A grant that comes too late is released by the message
                       // that abandoned its request.
                       deliver({r});
                   },
                   [this](const routing::place_refusal& r) { deliver({r}); }},
               reply);
}

void call_placement::tick(base::time_point now) {
    if (now < next_tick_) {
        return;
    }
    next_tick_ = now + tick_interval;
    if (members_changed_) {
        update_owners();
    }
    for (auto& [name, state] : services_) {
        if (state.owner_ == peers_.self()) {
            deliver(state.scheduler_.tick(now));
        }
    }
}

} // namespace pimentoferry::gateway
