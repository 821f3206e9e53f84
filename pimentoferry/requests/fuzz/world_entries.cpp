// Entries, their callers and the cell owners.

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/requests/fuzz/world.hpp"

#include <algorithm>
#include <utility>

namespace pimentoferry::requests::fuzz {

using base::milliseconds;

namespace {

const base::cell_name cell{"cell"};
// Time from the crash or pause of an entry until the cell owner cancels its
// attempts.
constexpr milliseconds entry_timeout{3'000};

} // namespace

void world::start_entry(std::size_t index) {
    entry& e = entries_.at(index);
    e = entry{};
    e.instance_ = base::instance_id{next_instance_++};
    e.alive_ = true;
    table_settings settings;
    settings.instance_ = e.instance_;
    settings.seed_ = e.instance_.value_;
    // Small, so that the tests reach the limit.
    settings.retries_.constant_ = 4;
    e.table_ = std::make_unique<request_table>(settings);
    engines_updated view{cell, {}};
    for (const fake_engine& engine : engines_) {
        e.viewed_instances_[engine.name_] = engine.instance_;
        view.engines_.push_back({engine.name_, engine.decode_, 4});
    }
    handle(index, view);
}

world::entry* world::entry_of(base::instance_id instance) {
    const auto found = std::ranges::find_if(entries_, [&](const entry& e) {
        return e.alive_ && e.instance_ == instance;
    });
    return found == entries_.end() ? nullptr : &*found;
}

std::size_t world::index_of(const entry& e) const {
    return static_cast<std::size_t>(&e - entries_.data());
}

void world::deliver(std::size_t index,
                    base::instance_id instance,
                    std::function<void()> task) {
    entry& e = entries_.at(index);
    if (!e.alive_ || e.instance_ != instance) {
        return;
    }
    if (e.paused_) {
        e.backlog_.push_back(std::move(task));
        return;
    }
    task();
}

void world::post(std::size_t index, const event& e) {
    const base::instance_id instance = entries_.at(index).instance_;
    const auto send = [this, index, instance, e](milliseconds delay) {
        schedule_after(delay, [this, index, instance, e] {
            deliver(index, instance, [this, index, e] { handle(index, e); });
        });
    };
    send(latency());
    if (duplicates_ && draw(2) == 0) {
        send(milliseconds{1 + draw(2'000)});
    }
}

// Reports of the traffic thread keep their order.
void world::post_stream(std::size_t index, const event& e) {
    entry& to = entries_.at(index);
    const base::instance_id instance = to.instance_;
    to.last_stream_event_ = std::max(to.last_stream_event_, now_ + latency());
    scheduled_.emplace(to.last_stream_event_, [this, index, instance, e] {
        deliver(index, instance, [this, index, e] { handle(index, e); });
    });
}

void world::handle(std::size_t index, const event& e) {
    entry& to = entries_.at(index);
    const auto actions = to.table_->handle(e, now_);
    oracle_.check_actions(to.instance_, e, actions, to.table_->memory_holds(),
                          now_);
    retry_limits limits;
    limits.constant_ = 4;
    oracle_.check_retry_budget(to.instance_, to.table_->counts().reruns_,
                               limits, now_);
    for (const action& each : actions) {
        execute(index, each);
    }
    check_memory(index);
    arm_timer(index);
}

void world::arm_timer(std::size_t index) {
    const auto due = entries_.at(index).table_->next_deadline();
    if (!due) {
        return;
    }
    const base::instance_id instance = entries_.at(index).instance_;
    scheduled_.emplace(std::max(*due, now_), [this, index, instance] {
        const entry& e = entries_.at(index);
        if (!e.alive_ || e.paused_ || e.instance_ != instance) {
            return;
        }
        const auto still = e.table_->next_deadline();
        if (still && *still <= now_) {
            handle(index, tick{});
        }
    });
}

void world::check_memory(std::size_t index) {
    const entry& e = entries_.at(index);
    std::set<std::pair<base::attempt_id, base::upstream_name>> tracked;
    for (const memory_hold& held : e.table_->memory_holds()) {
        tracked.emplace(held.attempt_, held.engine_);
    }
    for (const fake_engine& engine : engines_) {
        for (const auto& [attempt, unused] : engine.allocations_) {
            if (attempt.instance_ == e.instance_ &&
                !tracked.contains({attempt, engine.name_})) {
                throw violation{"the entry does not track memory at " +
                                engine.name_.value_};
            }
        }
    }
}

void world::accept(unsigned chosen, const body& content) {
    const std::size_t index = chosen % entry_count;
    entry& e = entries_.at(index);
    if (!e.alive_ || e.paused_) {
        return;
    }
    request_arrived a;
    a.request_ = base::request_id{next_request_++};
    a.caller_ = base::caller_name{"caller"};
    a.deployment_ = base::deployment_name{"model"};
    a.cell_ = cell;
    a.fingerprint_ = content.fingerprint_;
    a.prompt_tokens_ = content.prompt_tokens_;
    a.max_output_tokens_ = 20;
    a.first_token_budget_ = milliseconds{1'600};
    a.deterministic_ = content.deterministic_;
    oracle_.record_arrival(e.instance_, a.request_, content, now_);
    submitted_.emplace_back(index, a.request_);
    ++totals_.requests_;
    handle(index, a);
    const request_record& record = oracle_.request(a.request_);
    if (e.draining_ && record.outcome_ != outcome::refused) {
        throw violation{"a draining entry accepted a new request"};
    }
}

void world::disconnect_caller(unsigned which) {
    if (submitted_.empty()) {
        return;
    }
    const auto [index, request] = submitted_[which % submitted_.size()];
    const entry& e = entries_.at(index);
    schedule_after(latency(), [this, index = index, request = request,
                               instance = e.instance_] {
        deliver(index, instance, [this, index, request] {
            const auto& requests = oracle_.requests();
            if (requests.at(request).outcome_ == outcome::none) {
                oracle_.record_disconnect(request);
            }
            handle(index, caller_disconnected{request});
        });
    });
}

void world::kill_entry(unsigned entry) {
    const std::size_t index = entry % entry_count;
    auto& e = entries_.at(index);
    if (!e.alive_) {
        return;
    }
    const table_counts counts = e.table_->counts();
    totals_.tables_.completed_ += counts.completed_;
    totals_.tables_.refused_ += counts.refused_;
    totals_.tables_.cancelled_ += counts.cancelled_;
    totals_.tables_.reruns_ += counts.reruns_;
    totals_.tables_.resumes_ += counts.resumes_;
    totals_.tables_.budget_denied_ += counts.budget_denied_;
    totals_.tables_.autonomous_ += counts.autonomous_;
    totals_.tables_.dropped_events_ += counts.dropped_events_;
    totals_.tables_.quarantined_ += counts.quarantined_;
    e.alive_ = false;
    crashed_at_[e.instance_] = now_;
    for (auto& [at, request] : submitted_) {
        if (at == index && oracle_.request(request).outcome_ == outcome::none) {
            oracle_.record_connection_loss(request);
        }
    }
    for (auto next = calls_.begin(); next != calls_.end();) {
        const call& c = next->second;
        allocation* memory = c.engine_->find(c.attempt_);
        if (c.entry_ == index && memory != nullptr &&
            memory->stream_ == next->first) {
            memory->stream_ = 0;
            memory->expires_at_ = now_ + milliseconds{5'000};
        }
        next = c.entry_ == index ? calls_.erase(next) : std::next(next);
    }
    schedule_after(milliseconds{500 + draw(2'000)}, [this, index] {
        if (!entries_.at(index).alive_) {
            start_entry(index);
        }
    });
}

void world::toggle_pause(unsigned entry) {
    const std::size_t index = entry % entry_count;
    auto& e = entries_.at(index);
    if (!e.alive_) {
        return;
    }
    e.paused_ = !e.paused_;
    e.paused_at_ = now_;
    while (!e.paused_ && !e.backlog_.empty()) {
        const auto next = std::move(e.backlog_.front());
        e.backlog_.pop_front();
        next();
    }
    if (!e.paused_) {
        arm_timer(index);
    }
}

void world::drain_entry(unsigned entry) {
    const std::size_t index = entry % entry_count;
    auto& e = entries_.at(index);
    if (e.alive_ && !e.paused_) {
        e.draining_ = true;
        handle(index, drain_started{});
    }
}

bool world::entry_is_current(base::instance_id instance) const {
    return std::ranges::any_of(entries_, [&](const entry& e) {
        const bool expired = e.paused_ && now_ - e.paused_at_ >= entry_timeout;
        return e.instance_ == instance && e.alive_ && !expired;
    });
}

// The cell owner cancels the attempts of crashed entry instances.
void world::cancel_orphaned_attempts() {
    schedule_after(milliseconds{1'000}, [this] { cancel_orphaned_attempts(); });
    if (owners_[0].unresponsive_) {
        return;
    }
    std::set<base::instance_id> crashed;
    for (fake_engine& engine : engines_) {
        std::vector<base::attempt_id> orphaned;
        for (const auto& [attempt, unused] : engine.allocations_) {
            const auto died = crashed_at_.find(attempt.instance_);
            const bool recent = died != crashed_at_.end() &&
                                now_ - died->second < entry_timeout;
            if (!recent && !entry_is_current(attempt.instance_)) {
                orphaned.push_back(attempt);
            }
        }
        for (const base::attempt_id attempt : orphaned) {
            engine.cancel(attempt);
            crashed.insert(attempt.instance_);
        }
    }
    for (const base::instance_id instance : crashed) {
        owners_[0].state_.remove_instance(instance);
    }
}

std::vector<engine_view> world::views() {
    std::vector<engine_view> all;
    for (const fake_engine& engine : engines_) {
        // Load reports lag, so the owner also grants full and crashed engines.
        if (engine.alive_ || draw(4) == 0) {
            all.push_back({engine.name_, engine.decode_, engine.slots_});
        }
    }
    return all;
}

void world::deliver_to_owner(std::size_t rank,
                             base::instance_id from,
                             const placement::to_owner& message) {
    schedule_after(latency(), [this, rank, from, message] {
        owner& o = owners_.at(rank);
        if (o.unresponsive_) {
            o.undelivered_.emplace_back(from, message);
            return;
        }
        deliver_answers(o, o.state_.handle(message, views(), now_, random_));
        serve_queues();
    });
}

world::owner world::make_owner(std::uint64_t number) {
    owner made;
    made.instance_ = base::instance_id{number};
    return made;
}

std::size_t world::rank_of(const send_to_owner& sent) const {
    if (!sent.recipient_) {
        return sent.rank_;
    }
    const auto found =
        std::ranges::find(owners_, *sent.recipient_, &owner::instance_);
    // A message to an owner that no longer exists goes to the first owner,
    // which ignores it.
    return found == owners_.end()
               ? 0
               : static_cast<std::size_t>(found - owners_.begin());
}

void world::deliver_answers(const owner& from, const owner_answers& answers) {
    for (const auto& [instance, message] : answers) {
        if (const entry* e = entry_of(instance)) {
            post(index_of(*e), owner_reply_received{message, from.instance_});
        }
    }
}

void world::serve_queues() {
    const bool queued = std::ranges::any_of(
        owners_, [](const owner& o) { return o.state_.has_queue(); });
    if (queue_timer_ || !queued) {
        return;
    }
    queue_timer_ = true;
    schedule_after(milliseconds{50}, [this] {
        queue_timer_ = false;
        for (owner& o : owners_) {
            if (!o.unresponsive_) {
                deliver_answers(o,
                                o.state_.serve_queue(views(), now_, random_));
            }
        }
        serve_queues();
    });
}

void world::toggle_owner_unresponsive(unsigned rank) {
    owner& o = owners_.at(rank % owners_.size());
    o.unresponsive_ = !o.unresponsive_;
    while (!o.unresponsive_ && !o.undelivered_.empty()) {
        const auto message = o.undelivered_.front().second;
        o.undelivered_.pop_front();
        deliver_answers(o, o.state_.handle(message, views(), now_, random_));
    }
    serve_queues();
}

void world::change_owner() {
    std::swap(owners_[0], owners_[1]);
    owners_[0] = make_owner(++owners_made_);
    owners_[0].state_.admit_suspects_from(now_ + milliseconds{1'000});
    for (std::size_t index = 0; index < entry_count; ++index) {
        post(index, owner_changed{cell});
    }
}

void world::execute(std::size_t index, const action& a) {
    std::visit(
        base::overloaded{
            [&](const send_to_owner& each) {
                deliver_to_owner(rank_of(each), entries_.at(index).instance_,
                                 each.message_);
            },
            [&](const start_prefill& each) { do_prefill(index, each); },
            [&](const start_import& each) { do_import(index, each); },
            [&](const start_decode& each) { do_decode(index, each); },
            [&](const cancel_attempts& each) { do_cancel(index, each); },
            [&](const publish_crash_mark& each) {
                const crash_mark_received mark{each.fingerprint_, each.crashes_,
                                               each.remaining_};
                for (std::size_t other = 0; other < entry_count; ++other) {
                    if (other != index) {
                        schedule_after(
                            milliseconds{draw(1'500)},
                            [this, other, mark] { post(other, mark); });
                    }
                }
            },
            [&](const refuse& each) {
                totals_.not_run_ +=
                    each.refusal_.ran_ == base::ran_state::not_run ? 1 : 0;
            },
            [](const auto&) {},
        },
        a);
}

} // namespace pimentoferry::requests::fuzz
