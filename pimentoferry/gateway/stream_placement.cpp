#include "pimentoferry/gateway/stream_placement.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace pimentoferry::gateway {

namespace {

// An owner that has sent neither a decision nor a confirmation within this time
// is considered unreachable. A message between failure domains takes about
// 1 ms; the rest allows for a busy processor.
constexpr base::milliseconds owner_reply_timeout{150};
// How long an unresponsive owner is bypassed. Membership takes up to 3 s to
// detect the loss of a gateway.
constexpr base::milliseconds owner_bypass_duration{1500};
// Added to the latest time at which the owner decides.
constexpr base::milliseconds decision_margin{200};
constexpr base::milliseconds tick_interval{20};

std::string attempt_text(base::attempt_id attempt) {
    return base::to_string(attempt);
}

base::attempt_id attempt_of(const placement::stream_decision& decision) {
    return std::visit([](const auto& d) { return d.attempt_; }, decision);
}

} // namespace

stream_fleet fleet_of(peers& peer_gateways, std::string region) {
    return {peer_gateways.self(),
            [&peer_gateways](base::instance_id to, peer_message message) {
                peer_gateways.send(to, std::move(message));
            },
            [&peer_gateways,
             region = std::move(region)](const base::service_name& service) {
                return peer_gateways.owner_of(service, region);
            }};
}

base::attempt_id stream_placement::next_attempt() {
    return {fleet_.self_, ++last_sequence_};
}

placement::stream_scheduler*
stream_placement::scheduler(const base::service_name& service) {
    const auto found = services_.find(service);
    return found != services_.end() ? &found->second.scheduler_ : nullptr;
}

bool stream_placement::owns(const base::service_name& service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.owner_ == fleet_.self_;
}

bool stream_placement::decides_locally(const service_state& state,
                                       base::time_point now) const {
    return state.owner_ == fleet_.self_ ||
           state.owner_ == base::instance_id{} ||
           now < state.bypass_owner_until_;
}

void stream_placement::update_owner(const base::service_name& service,
                                    service_state& state) {
    const auto owner = fleet_.owner_of_(service);
    if (owner == state.owner_) {
        return;
    }
    log::log_info("stream_owner",
                  {{"service", service.value_},
                   {"owner", base::to_hex(owner.value_)},
                   {"before", base::to_hex(state.owner_.value_)},
                   {"self", owner == fleet_.self_ ? "yes" : "no"}});
    state.owner_ = owner;
    state.bypass_owner_until_ = {};
    if (owner == fleet_.self_) {
        return;
    }
    const auto now = base::clock::now();
    for (const auto& [attempt, stream] : streams_) {
        if (stream.service_ == service) {
            auto announcement = stream.announcement_;
            if (stream.started_) {
                announcement.running_for_ =
                    std::chrono::duration_cast<base::milliseconds>(
                        now - *stream.started_);
            }
            inform_owner(service, attempt, announcement);
        }
    }
}

void stream_placement::send_to_owner(const base::service_name& service,
                                     placement::stream_message message) {
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.owner_ != fleet_.self_) {
        fleet_.send_(found->second.owner_,
                     service_stream_message{service, std::move(message)});
    }
}

void stream_placement::inform_owner(const base::service_name& service,
                                    base::attempt_id attempt,
                                    placement::stream_message message) {
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.owner_ != fleet_.self_) {
        informed_[attempt].insert(found->second.owner_);
        send_to_owner(service, std::move(message));
    }
}

// A former owner that misses the end of a stream counts its memory for as long
// as the forecast of its length lasts, and refuses requests beside idle engines
// when it becomes the owner again. Streams that it is not told to forget must
// stay counted: gateways whose view of the owner did not change do not announce
// theirs again.
void stream_placement::send_to_informed(
    const base::service_name& service,
    base::attempt_id attempt,
    const placement::stream_message& message) {
    send_to_owner(service, message);
    const auto found = informed_.find(attempt);
    if (found == informed_.end()) {
        return;
    }
    const auto owner = services_[service].owner_;
    for (const auto gateway : found->second) {
        if (gateway != owner) {
            fleet_.send_(gateway, service_stream_message{service, message});
        }
    }
}

void stream_placement::deliver(
    const placement::stream_scheduler::decisions& decisions) {
    std::ranges::for_each(decisions,
                          [this](const auto& each) { deliver(each); });
}

void stream_placement::deliver(const placement::stream_decision& decision) {
    const auto attempt = attempt_of(decision);
    if (attempt.instance_ != fleet_.self_) {
        fleet_.send_(attempt.instance_,
                     std::visit(
                         [](const auto& d) {
                             return peer_message{placement::stream_reply{d}};
                         },
                         decision));
        return;
    }
    const auto found = pending_decisions_.find(attempt);
    if (found != pending_decisions_.end()) {
        found->second->decision_ = decision;
        found->second->signal_.wake();
    }
}

void stream_placement::record_grant(const placement::stream_decision& decision,
                                    const base::service_name& service,
                                    const placement::stream_request& request) {
    const auto* grant = std::get_if<placement::stream_grant>(&decision);
    if (grant == nullptr) {
        return;
    }
    placement::stream_announcement announcement;
    announcement.attempt_ = grant->attempt_;
    announcement.prefill_ = grant->prefill_;
    announcement.decode_ = grant->decode_;
    announcement.prompt_tokens_ = request.prompt_tokens_;
    announcement.max_output_tokens_ = request.max_output_tokens_;
    announcement.expected_output_tokens_ = request.expected_output_tokens_;
    announcement.software_version_ = request.software_version_;
    services_[service].scheduler_.stream_announced(announcement,
                                                   base::clock::now());
    streams_.insert_or_assign(
        grant->attempt_, local_stream{service, announcement, std::nullopt});
}

// Tells the owner about a stream that it did not place, because it was bypassed
// or a former owner made the decision, or that it placed elsewhere in a
// decision that came too late. Without that it would grant the same engine
// capacity again.
void stream_placement::announce_to_owner(const base::service_name& service,
                                         base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        inform_owner(service, attempt, found->second.announcement_);
    }
}

// Waits for the owner's decision on `message`, a request or a rejection. Makes
// the decision locally when the owner does not reply in time.
http::awaitable<placement::stream_decision>
stream_placement::await_owner(base::service_name service,
                              std::shared_ptr<pending_decision> pending,
                              placement::stream_message message,
                              base::attempt_id attempt,
                              base::time_point deadline) {
    const auto reply_due = base::clock::now() + owner_reply_timeout;
    while (!pending->decision_) {
        const auto until =
            pending->queued_ ? deadline : std::min(reply_due, deadline);
        if (base::clock::now() >= until) {
            break;
        }
        co_await pending->signal_.wait_until(until);
    }
    if (pending->decision_) {
        pending_decisions_.erase(attempt);
        co_return *pending->decision_;
    }
    auto& state = services_[service];
    const auto now = base::clock::now();
    log::log_warn("stream_owner_silent",
                  {{"attempt", attempt_text(attempt)},
                   {"service", service.value_},
                   {"owner", base::to_hex(state.owner_.value_)},
                   {"queued", pending->queued_ ? "yes" : "no"}});
    state.bypass_owner_until_ = now + owner_bypass_duration;
    counters_.count_placement("autonomous");
    placement::stream_decision decision = placement::stream_refusal{attempt};
    if (auto* request = std::get_if<placement::stream_request>(&message)) {
        // The wait for the owner has used up a part of each time limit.
        const auto after_wait = [](base::milliseconds time) {
            return std::max(time - owner_reply_timeout, base::milliseconds{0});
        };
        request->budget_ = after_wait(request->budget_);
        request->patience_ = after_wait(request->patience_);
        request->time_left_ = after_wait(request->time_left_);
        const auto decisions = state.scheduler_.request(*request, now);
        if (!decisions.empty()) {
            decision = decisions.front();
        }
    } else {
        const auto& rejected = std::get<placement::stream_rejected>(message);
        decision =
            state.scheduler_.decode_rejected(attempt, rejected.reason_, now)
                .front();
    }
    pending_decisions_.erase(attempt);
    co_return decision;
}

http::awaitable<placement::stream_decision>
stream_placement::place(base::service_name service,
                        placement::stream_request request,
                        std::shared_ptr<http::cancellation> cancel) {
    const auto began = base::clock::now();
    auto& state = services_[service];
    const auto asked = state.owner_;
    auto pending = std::make_shared<pending_decision>(io_);
    const http::subscription cancelled{
        std::move(cancel), [pending, attempt = request.attempt_] {
            pending->decision_ = placement::stream_refusal{attempt};
            pending->signal_.wake();
        }};
    pending_decisions_.insert_or_assign(request.attempt_, pending);
    const auto deadline =
        began + std::max(request.budget_, request.patience_) + decision_margin;
    placement::stream_decision decision;
    if (decides_locally(state, began)) {
        deliver(state.scheduler_.request(request, began));
        while (!pending->decision_ && base::clock::now() < deadline) {
            co_await pending->signal_.wait_until(deadline);
        }
        decision = pending->decision_.value_or(
            placement::stream_refusal{request.attempt_});
        pending_decisions_.erase(request.attempt_);
    } else {
        inform_owner(service, request.attempt_, request);
        placement::stream_message message = request;
        decision = co_await await_owner(service, pending, std::move(message),
                                        request.attempt_, deadline);
    }
    record_grant(decision, service, request);
    if (!pending->decided_by_owner_ || state.owner_ != asked) {
        announce_to_owner(service, request.attempt_);
    }
    const bool granted =
        std::holds_alternative<placement::stream_grant>(decision);
    counters_.count_placement(granted ? "granted" : "refused");
    counters_.observe_placement_wait(
        std::chrono::duration_cast<base::milliseconds>(base::clock::now() -
                                                       began));
    if (!granted) {
        // The request may still be queued, here or at the owner.
        deliver(
            state.scheduler_.ended(request.attempt_, 0, base::clock::now()));
        send_to_informed(service, request.attempt_,
                         placement::stream_ended{request.attempt_, 0});
        informed_.erase(request.attempt_);
    }
    co_return decision;
}

http::awaitable<placement::stream_decision>
stream_placement::replace_decode(base::attempt_id attempt,
                                 placement::decode_rejection reason) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        co_return placement::stream_refusal{attempt};
    }
    const auto service = found->second.service_;
    auto& state = services_[service];
    const auto asked = state.owner_;
    const auto now = base::clock::now();
    placement::stream_decision decision;
    auto pending = std::make_shared<pending_decision>(io_);
    if (decides_locally(state, now)) {
        decision =
            state.scheduler_.decode_rejected(attempt, reason, now).front();
    } else {
        pending_decisions_.insert_or_assign(attempt, pending);
        placement::stream_message message =
            placement::stream_rejected{attempt, reason};
        send_to_owner(service, message);
        decision = co_await await_owner(service, pending, std::move(message),
                                        attempt, now + owner_reply_timeout);
    }
    const auto stream = streams_.find(attempt);
    if (const auto* grant = std::get_if<placement::stream_grant>(&decision);
        grant != nullptr && stream != streams_.end()) {
        stream->second.announcement_.decode_ = grant->decode_;
        state.scheduler_.stream_announced(stream->second.announcement_, now);
        if (!pending->decided_by_owner_ || state.owner_ != asked) {
            announce_to_owner(service, attempt);
        }
    }
    co_return decision;
}

void stream_placement::prefill_finished(base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        found->second.announcement_.prefilled_ = true;
        services_[found->second.service_].scheduler_.prefill_finished(
            attempt, base::clock::now());
        send_to_informed(found->second.service_, attempt,
                         placement::stream_prefilled{attempt});
    }
}

void stream_placement::decode_started(base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        const auto now = base::clock::now();
        found->second.announcement_.started_ = true;
        found->second.started_ = now;
        services_[found->second.service_].scheduler_.decode_started(attempt,
                                                                    now);
        send_to_informed(found->second.service_, attempt,
                         placement::stream_started{attempt});
    }
}

void stream_placement::ended(base::attempt_id attempt, std::uint32_t events) {
    const auto found = streams_.find(attempt);
    if (found == streams_.end()) {
        return;
    }
    const auto service = found->second.service_;
    streams_.erase(found);
    deliver(services_[service].scheduler_.ended(attempt, events,
                                                base::clock::now()));
    send_to_informed(service, attempt,
                     placement::stream_ended{attempt, events});
    informed_.erase(attempt);
}

void stream_placement::engine_failed(const base::service_name& service,
                                     const base::upstream_name& engine) {
    services_[service].scheduler_.engine_failed(engine, base::clock::now());
    send_to_owner(service, placement::stream_engine_failed{engine});
}

void stream_placement::set_engines(const registry& registry_view,
                                   base::time_point now) {
    const auto routes = registry_view.routes();
    if (!routes) {
        return;
    }
    for (const auto& [name, service] : routes->source().services_) {
        if (!service.engine_) {
            continue;
        }
        std::vector<placement::stream_engine> engines;
        for (const auto* each : registry_view.instances().usable(name, now)) {
            if (each->stage_) {
                const auto role =
                    *each->stage_ == routing::engine_stage::prefill
                        ? placement::engine_role::prefill
                        : placement::engine_role::decode;
                engines.push_back({each->id_, role, each->failure_domain_,
                                   service.engine_->slots_,
                                   service.engine_->kv_tokens_,
                                   each->software_version_});
            }
        }
        auto& state = services_[name];
        placement::stream_settings settings;
        settings.tokens_per_event_ = service.engine_->tokens_per_event_;
        state.scheduler_.configure(settings);
        state.scheduler_.use_allowances(allowances_);
        deliver(state.scheduler_.set_engines(engines, now));
        update_owner(name, state);
    }
}

void stream_placement::member_changed(const membership::member& member) {
    const auto now = base::clock::now();
    const bool live = membership::is_live(member.state_);
    for (auto& [name, state] : services_) {
        if (!live) {
            deliver(state.scheduler_.gateway_lost(member.instance_, now));
        }
        update_owner(name, state);
    }
}

void stream_placement::receive(base::instance_id from,
                               service_stream_message message) {
    const auto now = base::clock::now();
    auto& scheduler = services_[message.service_].scheduler_;
    std::visit(
        base::overloaded{
            [&](const placement::stream_request& m) {
                const auto decisions = scheduler.request(m, now);
                if (decisions.empty()) {
                    fleet_.send_(from,
                                 placement::stream_reply{
                                     placement::stream_queued{m.attempt_}});
                }
                deliver(decisions);
            },
            [&](const placement::stream_announcement& m) {
                scheduler.stream_announced(m, now);
            },
            [&](const placement::stream_prefilled& m) {
                scheduler.prefill_finished(m.attempt_, now);
            },
            [&](const placement::stream_started& m) {
                scheduler.decode_started(m.attempt_, now);
            },
            [&](const placement::stream_rejected& m) {
                deliver(scheduler.decode_rejected(m.attempt_, m.reason_, now));
            },
            [&](const placement::stream_engine_failed& m) {
                scheduler.engine_failed(m.engine_, now);
            },
            [&](const placement::stream_ended& m) {
                deliver(scheduler.ended(m.attempt_, m.events_, now));
            }},
        message.message_);
}

void stream_placement::receive(const placement::stream_reply& reply) {
    // Only owners reply, so a bypassed owner responds again.
    for (auto& [name, state] : services_) {
        state.bypass_owner_until_ = {};
    }
    std::visit(base::overloaded{[this](const placement::stream_queued& r) {
                                    const auto found =
                                        pending_decisions_.find(r.attempt_);
                                    if (found != pending_decisions_.end()) {
                                        found->second->queued_ = true;
                                        found->second->signal_.wake();
                                    }
                                },
                                [this](const auto& r) {
                                    const auto found =
                                        pending_decisions_.find(r.attempt_);
                                    if (found != pending_decisions_.end()) {
                                        found->second->decided_by_owner_ = true;
                                    }
                                    deliver(placement::stream_decision{r});
                                }},
               reply);
}

void stream_placement::tick(base::time_point now) {
    if (now < next_tick_) {
        return;
    }
    next_tick_ = now + tick_interval;
    for (auto& [name, state] : services_) {
        deliver(state.scheduler_.tick(now));
    }
}

} // namespace pimentoferry::gateway
