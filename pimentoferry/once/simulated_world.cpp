#include "pimentoferry/once/simulated_world.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <optional>
#include <string>

namespace pimentoferry::once {
namespace {

using base::microseconds;
using base::milliseconds;

constexpr milliseconds store_timeout{500};
constexpr std::uint64_t slow_store_ms = 2000;
constexpr std::uint64_t slow_upstream_ms = 5000;
constexpr std::uint64_t gossip_ms = 1500;
constexpr milliseconds join_delay{1000};
constexpr milliseconds tick_interval{1000};
constexpr base::wall_time wall_start{std::chrono::hours{500'000}};
constexpr int max_steps_per_instant = 10'000;

} // namespace

simulated_world::simulated_world(const world_settings& settings)
    : settings_(settings) {
    for (std::size_t i = 0; i < settings.entries_; ++i) {
        start_entry();
    }
    advance(join_delay * 3);
}

base::request_id simulated_world::submit_call(std::size_t entry,
                                              const key_id& key,
                                              std::uint64_t body_hash) {
    const base::request_id request{++last_request_};
    oracle_.on_submitted(
        {request, nodes_[entry].instance_, key, body_hash, now_});
    entry_of_request_[request] = entry;
    deliver(entry, call_arrived{request, key, body_hash});
    return request;
}

void simulated_world::disconnect_caller(base::request_id request) {
    const auto entry = entry_of_request_.at(request);
    if (is_live(entry) && !nodes_[entry].paused_) {
        oracle_.on_disconnected(request);
        deliver(entry, caller_disconnected{request});
    }
}

std::size_t simulated_world::start_entry() {
    const auto entry = nodes_.size();
    node& started = nodes_.emplace_back();
    started.instance_ = {base::hash_combine(settings_.seed_, entry) |
                         std::uint64_t{1}};
    started.service_ =
        std::make_unique<once_service>(settings_.once_, started.instance_);
    started.steady_offset_ = milliseconds{random(1'000'000)};
    set_listed(entry, entry, true);
    after(tick_interval, [this, entry] { tick_entry(entry); });
    after(join_delay, [this, entry] {
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (is_live(entry) && is_live(other)) {
                if (nodes_[other].draining_) {
                    nodes_[entry].draining_view_.insert(other);
                }
                set_listed(entry, other, true);
                set_listed(other, entry, true);
            }
        }
    });
    return entry;
}

void simulated_world::tick_entry(std::size_t entry) {
    if (!is_live(entry)) {
        return;
    }
    deliver(entry, tick{wall() + nodes_[entry].wall_offset_});
    stop_drained_entries();
    after(tick_interval, [this, entry] { tick_entry(entry); });
}

void simulated_world::kill(std::size_t entry) {
    if (!is_live(entry)) {
        return;
    }
    nodes_[entry].service_.reset();
    nodes_[entry].killed_ = true;
    schedule_death_detection(entry);
}

void simulated_world::schedule_death_detection(std::size_t entry) {
    after(settings_.death_detection_, [this, entry] {
        if (is_live(entry) && !nodes_[entry].paused_) {
            return;
        }
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (other != entry) {
                set_listed(other, entry, false);
            }
        }
    });
}

void simulated_world::pause(std::size_t entry) {
    if (is_live(entry) && !nodes_[entry].paused_) {
        nodes_[entry].paused_ = true;
        schedule_death_detection(entry);
    }
}

void simulated_world::resume(std::size_t entry) {
    auto& resumed = nodes_[entry];
    if (!is_live(entry) || !resumed.paused_) {
        return;
    }
    resumed.paused_ = false;
    // The queued events are handled together, in their order of arrival. The
    // entry has not detected its pause and still acts as owner of its shards.
    for (const auto& e : std::exchange(resumed.paused_events_, {})) {
        run(entry, e);
    }
    after(join_delay, [this, entry] {
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (is_live(entry) && !nodes_[entry].paused_) {
                set_listed(other, entry, true);
            }
        }
    });
}

void simulated_world::drain(std::size_t entry) {
    if (!is_live(entry) || nodes_[entry].draining_) {
        return;
    }
    nodes_[entry].draining_ = true;
    deliver(entry, drain_started{});
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        after(milliseconds{random(gossip_ms)}, [this, entry, other] {
            nodes_[other].draining_view_.insert(entry);
            deliver_view(other);
        });
    }
}

void simulated_world::jump_wall_clock(std::size_t entry, milliseconds by) {
    nodes_[entry].wall_offset_ += by;
}

void simulated_world::flip_view(std::size_t entry, std::size_t other) {
    if (entry != other) {
        set_listed(entry, other, !nodes_[entry].live_view_.contains(other));
    }
}

void simulated_world::set_cut(std::size_t first, std::size_t second, bool cut) {
    const auto pair = std::minmax(first, second);
    if (cut && first != second) {
        cuts_.insert(pair);
    } else {
        cuts_.erase(pair);
    }
}

void simulated_world::set_store_cut(std::size_t entry, bool cut) {
    nodes_[entry].store_cut_ = cut;
}

void simulated_world::heal() {
    network_ = {};
    store_mode_ = store_mode::up;
    upstream_mode_ = upstream_mode::up;
    cuts_.clear();
    for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
        nodes_[entry].store_cut_ = false;
        resume(entry);
        for (std::size_t other = 0; other < nodes_.size(); ++other) {
            if (nodes_[other].draining_) {
                nodes_[entry].draining_view_.insert(other);
            }
            set_listed(entry, other, is_live(other));
        }
        deliver_view(entry);
    }
}

void simulated_world::advance(microseconds time) {
    const auto end = now_ + time;
    int steps = 0;
    auto before = now_;
    while (step(end)) {
        steps = now_ == before ? steps + 1 : 0;
        before = now_;
        if (steps > max_steps_per_instant) {
            oracle_.fail("events repeat without advancing the time");
            break;
        }
    }
    now_ = end;
}

/// Runs the next task or timer that is due by `end`; false if there is none.
bool simulated_world::step(base::time_point end) {
    auto next =
        tasks_.empty() ? base::time_point::max() : tasks_.begin()->first;
    std::optional<std::size_t> waking;
    for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
        const auto wakeup = next_wakeup(entry);
        if (wakeup < next) {
            next = wakeup;
            waking = entry;
        }
    }
    if (next > end) {
        return false;
    }
    now_ = std::max(now_, next);
    if (waking) {
        run(*waking, tick{wall() + nodes_[*waking].wall_offset_});
    } else {
        const auto due = tasks_.extract(tasks_.begin());
        due.mapped()();
    }
    return true;
}

base::time_point simulated_world::next_wakeup(std::size_t entry) const {
    const auto& waiting = nodes_[entry];
    if (!waiting.service_ || waiting.paused_) {
        return base::time_point::max();
    }
    const auto next = waiting.service_->next_wakeup();
    if (!next) {
        return base::time_point::max();
    }
    return std::max(*next - waiting.steady_offset_, now_);
}

void simulated_world::stop_drained_entries() {
    for (std::size_t entry = 0; entry < nodes_.size(); ++entry) {
        auto& draining = nodes_[entry];
        if (draining.service_ && draining.draining_ && !draining.paused_ &&
            draining.service_->drained()) {
            draining.service_.reset();
            schedule_death_detection(entry);
        }
    }
}

void simulated_world::check_settled() {
    std::map<shard_number, int> owners;
    for (const auto& checked : nodes_) {
        if (!checked.service_) {
            continue;
        }
        if (checked.service_->open_calls() != 0) {
            oracle_.fail("a live entry has open calls");
        }
        for (const auto shard : checked.service_->owned_shards()) {
            ++owners[shard];
        }
    }
    for (shard_number shard = 0; shard < settings_.once_.shards_; ++shard) {
        if (owners[shard] != 1) {
            oracle_.fail("shard " + std::to_string(shard) + " has " +
                         std::to_string(owners[shard]) + " owners");
        }
    }
    for (const auto& [id, request] : oracle_.requests()) {
        if (request.response_ == response_kind::none &&
            !request.disconnected_ && !was_killed(request.call_.entry_)) {
            oracle_.fail("request " + std::to_string(id.value_) +
                         " was never answered");
        }
    }
}

base::wall_time simulated_world::wall() const {
    return wall_start +
           std::chrono::duration_cast<milliseconds>(now_.time_since_epoch());
}

std::size_t simulated_world::live_count() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes_, [](const auto& n) { return n.service_ != nullptr; }));
}

bool simulated_world::was_killed(base::instance_id entry) const {
    return nodes_[index_of(entry)].killed_;
}

bool simulated_world::has_ended(base::instance_id entry) const {
    return !is_live(index_of(entry));
}

void simulated_world::after(microseconds delay, task next) {
    tasks_.emplace(now_ + delay, std::move(next));
}

void simulated_world::deliver(std::size_t entry, const event& e) {
    if (!is_live(entry)) {
        return;
    }
    if (nodes_[entry].paused_) {
        nodes_[entry].paused_events_.push_back(e);
    } else {
        run(entry, e);
    }
}

void simulated_world::run(std::size_t entry, const event& e) {
    auto& running = nodes_[entry];
    const auto actions =
        running.service_->handle(e, now_ + running.steady_offset_);
    for (const auto& next : actions) {
        perform(entry, next);
    }
}

void simulated_world::perform(std::size_t entry, const action& next) {
    const auto self = nodes_[entry].instance_;
    std::visit(
        base::overloaded{
            [&](const send_call& a) { call_upstream(entry, a); },
            [&](const replay_result& a) {
                oracle_.on_replay(a.request_, a.result_, now_);
            },
            [&](const refuse_call& a) {
                oracle_.on_refused(a.request_, a.refusal_, now_);
            },
            [&](const send_to_owner& a) {
                send(entry, a.to_, owner_message_received{self, a.message_});
            },
            [&](const send_to_entry& a) {
                send(entry, a.to_, entry_message_received{self, a.message_});
            },
            [&](const once::use_store& a) { use_store(entry, a.operation_); },
            [&](const announce_owner& a) { gossip(entry, a.ownership_); }},
        next);
}

void simulated_world::send(std::size_t from,
                           base::instance_id to,
                           const event& e) {
    const auto target = index_of(to);
    if (target == nodes_.size() || is_cut(from, target)) {
        return;
    }
    const int copies =
        random(100) < static_cast<std::uint64_t>(network_.duplicate_percent_)
            ? 2
            : 1;
    for (int i = 0; i < copies; ++i) {
        const auto max_extra_ms =
            static_cast<std::uint64_t>(network_.extra_delay_.count());
        const microseconds delay =
            settings_.message_delay_ + milliseconds{random(max_extra_ms + 1)};
        if (random(100) >= static_cast<std::uint64_t>(network_.drop_percent_)) {
            after(delay, [this, target, e] { deliver(target, e); });
        }
    }
}

store_mode simulated_world::draw_store_mode(std::size_t entry) {
    if (nodes_[entry].store_cut_) {
        return store_mode::down;
    }
    if (store_mode_ == store_mode::flaky) {
        return static_cast<store_mode>(random(4));
    }
    return store_mode_;
}

void simulated_world::use_store(std::size_t entry,
                                const store::operation& operation) {
    const auto mode = draw_store_mode(entry);
    const auto token = operation.token_;
    if (mode == store_mode::down) {
        deliver_store_result(entry, token, store::unavailable{},
                             milliseconds{1});
        return;
    }
    auto delay = settings_.store_delay_ / 2;
    if (mode == store_mode::slow) {
        delay = milliseconds{random(slow_store_ms)};
    }
    const bool in_time = delay < store_timeout;
    const bool lost = mode == store_mode::lose_responses || !in_time;
    // The operation takes effect even if the entry is killed before.
    after(delay, [this, entry, operation, lost, delay] {
        const auto outcome = store_.apply(operation.request_);
        if (!lost) {
            deliver_store_result(entry, operation.token_, outcome,
                                 std::min(delay, settings_.store_delay_ / 2));
        }
    });
    if (lost) {
        deliver_store_result(entry, token, store::unavailable{}, store_timeout);
    }
}

void simulated_world::deliver_store_result(std::size_t entry,
                                           store::token token,
                                           const store::outcome& outcome,
                                           microseconds delay) {
    after(delay, [this, entry, token, outcome] {
        deliver(entry, store_answered{{token, outcome}});
    });
}

void simulated_world::call_upstream(std::size_t entry, const send_call& call) {
    oracle_.on_send(call.request_, now_);
    const auto mode = upstream_mode_;
    const auto attempt = call.attempt_;
    auto delay = settings_.upstream_delay_;
    if (mode == upstream_mode::refused) {
        after(delay, [this, entry, attempt] {
            deliver(entry, upstream_not_reached{attempt});
        });
        return;
    }
    if (mode == upstream_mode::slow) {
        delay = milliseconds{random(slow_upstream_ms)};
    }
    after(delay, [this, entry, call, mode, delay] {
        std::optional<stored_result> result;
        if (mode != upstream_mode::request_lost) {
            result = oracle_.on_execution(call.request_);
        }
        const bool answered =
            mode == upstream_mode::up || mode == upstream_mode::slow;
        after(delay, [this, entry, call, result, answered] {
            if (!answered || !result) {
                deliver(entry, upstream_answer_lost{call.attempt_});
            } else if (is_live(entry)) {
                oracle_.on_result_received(call.request_);
                deliver(entry, upstream_answered{call.attempt_, *result});
            }
        });
    });
}

void simulated_world::gossip(std::size_t from,
                             const shard_ownership& ownership) {
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (is_cut(from, to) ||
            random(100) < static_cast<std::uint64_t>(network_.drop_percent_)) {
            continue;
        }
        after(milliseconds{random(gossip_ms)}, [this, to, ownership] {
            nodes_[to].owners_.push_back(ownership);
            deliver_view(to);
            nodes_[to].owners_.clear();
        });
    }
}

void simulated_world::deliver_view(std::size_t entry) {
    view_changed view;
    for (const auto other : nodes_[entry].live_view_) {
        const bool draining = nodes_[entry].draining_view_.contains(other);
        view.live_.push_back({nodes_[other].instance_, draining});
    }
    view.owners_ = nodes_[entry].owners_;
    deliver(entry, view);
}

void simulated_world::set_listed(std::size_t entry,
                                 std::size_t other,
                                 bool live) {
    auto& view = nodes_[entry].live_view_;
    if (view.contains(other) == live) {
        return;
    }
    if (live) {
        view.insert(other);
    } else {
        view.erase(other);
    }
    deliver_view(entry);
}

std::size_t simulated_world::index_of(base::instance_id instance) const {
    const auto found = std::ranges::find(nodes_, instance, &node::instance_);
    return static_cast<std::size_t>(found - nodes_.begin());
}

bool simulated_world::is_cut(std::size_t first, std::size_t second) const {
    return cuts_.contains(std::minmax(first, second));
}

std::uint64_t simulated_world::random(std::uint64_t below) {
    ++draws_;
    return base::hash_combine(settings_.seed_, draws_) %
           std::max<std::uint64_t>(below, 1);
}

} // namespace pimentoferry::once
