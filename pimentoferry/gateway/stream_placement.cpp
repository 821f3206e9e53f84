#include "pimentoferry/gateway/stream_placement.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/log/log.hpp"
#include "pimentoferry/membership/ownership.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>

namespace pimentoferry::gateway {

namespace {

// An owner that has not even confirmed a question after this time is taken for
// lost. A message between failure domains takes about 1 ms; the rest is for a
// busy processor.
constexpr base::milliseconds owner_silence{150};
// How long a silent owner is not asked again. Membership takes up to 3 s to
// notice the loss of a gateway.
constexpr base::milliseconds distrust{1500};
// Margin after the time at which the owner decides at the latest.
constexpr base::milliseconds decision_margin{200};
constexpr base::milliseconds tick_interval{20};

std::string shown(base::attempt_id attempt) {
    return base::to_string(attempt);
}

base::attempt_id attempt_of(const placement::stream_decision& decision) {
    return std::visit([](const auto& d) { return d.attempt_; }, decision);
}

} // namespace

base::attempt_id stream_placement::next_attempt() {
    return {peers_.self(), ++last_sequence_};
}

placement::stream_scheduler*
stream_placement::scheduler(const base::service_name& service) {
    const auto found = services_.find(service);
    return found != services_.end() ? &found->second.scheduler_ : nullptr;
}

bool stream_placement::owns(const base::service_name& service) const {
    const auto found = services_.find(service);
    return found != services_.end() && found->second.owner_ == peers_.self();
}

bool stream_placement::is_local(const service_state& state,
                                base::time_point now) const {
    return state.owner_ == peers_.self() ||
           state.owner_ == base::instance_id{} || now < state.distrusted_until_;
}

void stream_placement::update_owner(const base::service_name& service,
                                    service_state& state) {
    const membership::cell_place cell{base::cell_name{service.value_}, region_};
    const auto candidates =
        membership::cell_candidates(cell, {cell}, peers_.live());
    const auto owner = candidates.empty() ? peers_.self() : candidates.front();
    if (owner == state.owner_) {
        return;
    }
    log::log_info("stream_owner",
                  {{"service", service.value_},
                   {"owner", base::to_hex(owner.value_)},
                   {"before", base::to_hex(state.owner_.value_)},
                   {"self", owner == peers_.self() ? "yes" : "no"}});
    state.owner_ = owner;
    state.distrusted_until_ = {};
    if (owner == peers_.self()) {
        return;
    }
    const auto now = base::clock::now();
    for (const auto& [attempt, stream] : streams_) {
        if (stream.service_ == service) {
            auto hold = stream.hold_;
            if (stream.started_) {
                hold.running_for_ =
                    std::chrono::duration_cast<base::milliseconds>(
                        now - *stream.started_);
            }
            peers_.send(owner, service_stream_message{service, hold});
        }
    }
}

void stream_placement::tell_owner(const base::service_name& service,
                                  placement::stream_message message) {
    const auto found = services_.find(service);
    if (found != services_.end() && found->second.owner_ != peers_.self()) {
        peers_.send(found->second.owner_,
                    service_stream_message{service, std::move(message)});
    }
}

void stream_placement::deliver(
    const placement::stream_scheduler::decisions& decisions) {
    std::ranges::for_each(decisions,
                          [this](const auto& each) { deliver(each); });
}

void stream_placement::deliver(const placement::stream_decision& decision) {
    const auto attempt = attempt_of(decision);
    if (attempt.instance_ != peers_.self()) {
        peers_.send(attempt.instance_,
                    std::visit(
                        [](const auto& d) {
                            return peer_message{placement::stream_reply{d}};
                        },
                        decision));
        return;
    }
    const auto found = questions_.find(attempt);
    if (found != questions_.end()) {
        found->second->decision_ = decision;
        found->second->signal_.wake();
    }
}

void stream_placement::note_grant(const placement::stream_decision& decision,
                                  const base::service_name& service,
                                  const placement::stream_request& wanted) {
    const auto* grant = std::get_if<placement::stream_grant>(&decision);
    if (grant == nullptr) {
        return;
    }
    placement::stream_announcement hold;
    hold.attempt_ = grant->attempt_;
    hold.prefill_ = grant->prefill_;
    hold.decode_ = grant->decode_;
    hold.prompt_tokens_ = wanted.prompt_tokens_;
    hold.max_output_tokens_ = wanted.max_output_tokens_;
    hold.expected_output_tokens_ = wanted.expected_output_tokens_;
    services_[service].scheduler_.stream_announced(hold, base::clock::now());
    streams_.insert_or_assign(grant->attempt_,
                              own_stream{service, hold, std::nullopt});
}

// Waits for the owner; decides here when the owner is silent.
http::awaitable<placement::stream_decision>
stream_placement::wait_for(base::service_name service,
                           std::shared_ptr<question> asked,
                           placement::stream_message again,
                           base::attempt_id attempt,
                           base::time_point limit) {
    const auto silent_at = base::clock::now() + owner_silence;
    while (!asked->decision_) {
        const auto until = asked->queued_ ? limit : std::min(silent_at, limit);
        if (base::clock::now() >= until) {
            break;
        }
        co_await asked->signal_.wait_until(until);
    }
    if (asked->decision_) {
        questions_.erase(attempt);
        co_return *asked->decision_;
    }
    auto& state = services_[service];
    const auto now = base::clock::now();
    log::log_warn("stream_owner_silent",
                  {{"attempt", shown(attempt)},
                   {"service", service.value_},
                   {"owner", base::to_hex(state.owner_.value_)},
                   {"queued", asked->queued_ ? "yes" : "no"}});
    state.distrusted_until_ = now + distrust;
    counters_.count_placement("autonomous");
    placement::stream_decision decision = placement::stream_refusal{attempt};
    if (auto* wanted = std::get_if<placement::stream_request>(&again)) {
        // What is left of the time has been used up waiting for the owner.
        const auto waited = [](base::milliseconds time) {
            return std::max(time - owner_silence, base::milliseconds{0});
        };
        wanted->budget_ = waited(wanted->budget_);
        wanted->patience_ = waited(wanted->patience_);
        wanted->time_left_ = waited(wanted->time_left_);
        const auto made = state.scheduler_.request(*wanted, now);
        if (!made.empty()) {
            decision = made.front();
        }
    } else {
        const auto& rejected = std::get<placement::stream_rejected>(again);
        decision =
            state.scheduler_.decode_rejected(attempt, rejected.reason_, now)
                .front();
    }
    questions_.erase(attempt);
    co_return decision;
}

http::awaitable<placement::stream_decision>
stream_placement::place(base::service_name service,
                        placement::stream_request wanted,
                        std::shared_ptr<http::cancellation> cancel) {
    const auto began = base::clock::now();
    auto& state = services_[service];
    auto asked = std::make_shared<question>(io_);
    const http::subscription cancelled{
        std::move(cancel), [asked, attempt = wanted.attempt_] {
            asked->decision_ = placement::stream_refusal{attempt};
            asked->signal_.wake();
        }};
    questions_.insert_or_assign(wanted.attempt_, asked);
    const auto limit =
        began + std::max(wanted.budget_, wanted.patience_) + decision_margin;
    placement::stream_decision decision;
    if (is_local(state, began)) {
        deliver(state.scheduler_.request(wanted, began));
        while (!asked->decision_ && base::clock::now() < limit) {
            co_await asked->signal_.wait_until(limit);
        }
        decision = asked->decision_.value_or(
            placement::stream_refusal{wanted.attempt_});
        questions_.erase(wanted.attempt_);
    } else {
        tell_owner(service, wanted);
        placement::stream_message again = wanted;
        decision = co_await wait_for(service, asked, std::move(again),
                                     wanted.attempt_, limit);
    }
    note_grant(decision, service, wanted);
    const bool granted =
        std::holds_alternative<placement::stream_grant>(decision);
    counters_.count_placement(granted ? "granted" : "refused");
    counters_.observe_placement_wait(
        std::chrono::duration_cast<base::milliseconds>(base::clock::now() -
                                                       began));
    if (!granted) {
        // The request may still be queued, here or at the owner.
        deliver(state.scheduler_.ended(wanted.attempt_, 0, base::clock::now()));
        tell_owner(service, placement::stream_ended{wanted.attempt_, 0});
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
    const auto now = base::clock::now();
    placement::stream_decision decision;
    if (is_local(state, now)) {
        decision =
            state.scheduler_.decode_rejected(attempt, reason, now).front();
    } else {
        auto asked = std::make_shared<question>(io_);
        questions_.insert_or_assign(attempt, asked);
        placement::stream_message again =
            placement::stream_rejected{attempt, reason};
        tell_owner(service, again);
        decision = co_await wait_for(service, asked, std::move(again), attempt,
                                     now + owner_silence);
    }
    const auto again = streams_.find(attempt);
    if (const auto* grant = std::get_if<placement::stream_grant>(&decision);
        grant != nullptr && again != streams_.end()) {
        again->second.hold_.decode_ = grant->decode_;
        state.scheduler_.stream_announced(again->second.hold_, now);
    }
    co_return decision;
}

void stream_placement::prefilled(base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        found->second.hold_.prefilled_ = true;
        services_[found->second.service_].scheduler_.prefill_finished(
            attempt, base::clock::now());
        tell_owner(found->second.service_,
                   placement::stream_prefilled{attempt});
    }
}

void stream_placement::started(base::attempt_id attempt) {
    const auto found = streams_.find(attempt);
    if (found != streams_.end()) {
        const auto now = base::clock::now();
        found->second.hold_.started_ = true;
        found->second.started_ = now;
        services_[found->second.service_].scheduler_.decode_started(attempt,
                                                                    now);
        tell_owner(found->second.service_, placement::stream_started{attempt});
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
    tell_owner(service, placement::stream_ended{attempt, events});
}

void stream_placement::engine_failed(const base::service_name& service,
                                     const base::upstream_name& engine) {
    services_[service].scheduler_.engine_failed(engine, base::clock::now());
    tell_owner(service, placement::stream_engine_failed{engine});
}

void stream_placement::set_engines(const registry& known,
                                   base::time_point now) {
    const auto routes = known.routes();
    if (!routes) {
        return;
    }
    for (const auto& [name, service] : routes->source().services_) {
        if (!service.engine_) {
            continue;
        }
        std::vector<placement::stream_engine> engines;
        for (const auto* each : known.instances().usable(name, now)) {
            if (each->stage_) {
                const auto role =
                    *each->stage_ == routing::engine_stage::prefill
                        ? placement::engine_role::prefill
                        : placement::engine_role::decode;
                engines.push_back({each->id_, role, each->failure_domain_,
                                   service.engine_->slots_,
                                   service.engine_->kv_tokens_});
            }
        }
        auto& state = services_[name];
        placement::stream_settings settings;
        settings.tokens_per_event_ = service.engine_->tokens_per_event_;
        state.scheduler_.configure(settings);
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
                const auto made = scheduler.request(m, now);
                if (made.empty()) {
                    peers_.send(from,
                                placement::stream_reply{
                                    placement::stream_queued{m.attempt_}});
                }
                deliver(made);
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
    std::visit(base::overloaded{[this](const placement::stream_queued& r) {
                                    const auto found =
                                        questions_.find(r.attempt_);
                                    if (found != questions_.end()) {
                                        found->second->queued_ = true;
                                        found->second->signal_.wake();
                                    }
                                },
                                [this](const auto& r) {
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
