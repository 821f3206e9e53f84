#include "pimentoferry/routing/call_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>

namespace pimentoferry::routing {

namespace {

using std::chrono::duration_cast;

// A replica gets this many calls more than it has places: between the end of a
// call and the arrival of the next one lie three messages, for which the place
// would be unused.
constexpr std::size_t calls_in_transit = 1;
// Duration of a call of which none has been answered yet.
constexpr std::chrono::duration<double, std::milli> initial_service_time{30};
constexpr double newest_weight = 0.05;
// Of the pace of one replica. Durations differ by half of their mean, so that
// with a larger weight many calls would leave their domain for no gain; a
// replica answers often enough to show a spell of some hundred ms.
constexpr double newest_pace_weight = 0.1;
// Over which arrivals and the use of accounts are remembered.
constexpr std::chrono::duration<double, std::milli> arrival_memory{1000};
constexpr std::chrono::duration<double, std::milli> use_memory{2000};
// One grant in this many goes to the call that has waited longest.
constexpr std::uint64_t oldest_first_interval = 8;
// Part of the places that late calls may count on while calls in time take all.
constexpr double least_late_share = 0.1;
constexpr base::milliseconds least_retry_after{100};
constexpr base::milliseconds no_replica_retry_after{500};
// A call whose end is not reported by then has ended: its message was lost.
constexpr base::milliseconds report_margin{1000};

} // namespace

std::size_t call_scheduler::places() const {
    std::size_t sum = 0;
    for (const auto& each : replicas_) {
        sum += std::max(each.slots_, 1U);
    }
    return sum;
}

std::size_t
call_scheduler::running_at(const base::upstream_name& replica) const {
    const auto found = running_by_replica_.find(replica);
    return found != running_by_replica_.end() ? found->second : 0;
}

std::vector<const instance*> call_scheduler::open_replicas() const {
    std::vector<const instance*> open;
    for (const auto& each : replicas_) {
        if (running_at(each.id_) <
            std::max(each.slots_, 1U) + calls_in_transit) {
            open.push_back(&each);
        }
    }
    return open;
}

double call_scheduler::recent_use(std::uint64_t account,
                                  base::time_point now) const {
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return 0;
    }
    const fractional_ms age = now - found->second.updated_;
    return found->second.places_ * std::exp(-(age / use_memory));
}

void call_scheduler::observe_arrival(base::time_point now) {
    const fractional_ms age = now - last_arrival_;
    arrival_rate_ = arrival_rate_ * std::exp(-(age / arrival_memory)) +
                    1 / arrival_memory.count();
    last_arrival_ = now;
}

// Waiting calls that are in time take the places first, so a late call counts
// on those that new arrivals leave.
fractional_ms call_scheduler::expected_wait() const {
    const auto all = static_cast<double>(places());
    if (all == 0) {
        return fractional_ms{no_replica_retry_after};
    }
    const double served = all / service_time().count();
    const double spare =
        std::max(served - arrival_rate_, served * least_late_share);
    return fractional_ms{static_cast<double>(waiting_.size() + 1) / spare};
}

fractional_ms call_scheduler::service_time() const {
    return service_time_ > fractional_ms{0}
               ? service_time_
               : fractional_ms{initial_service_time};
}

fractional_ms call_scheduler::completion_at(const instance& replica) const {
    const auto pace = paces_.find(replica.id_);
    return completion_time(
        {static_cast<std::uint32_t>(running_at(replica.id_)), replica.slots_,
         pace != paces_.end() ? pace->second : service_time()});
}

call_scheduler::chosen_replica call_scheduler::choose(const place_request& call,
                                                      base::time_point now) {
    const std::set<base::upstream_name> excluded{call.excluded_.begin(),
                                                 call.excluded_.end()};
    const auto open =
        picker_.eligible(open_replicas(), excluded, call.may_repeat_, now);
    const instance* home = nullptr;
    const instance* away = nullptr;
    for (const auto* each : open) {
        auto& best =
            each->failure_domain_ == call.failure_domain_ ? home : away;
        if (best == nullptr || completion_at(*each) < completion_at(*best)) {
            best = each;
        }
    }
    if (away == nullptr) {
        return {home, leave_reason::stays};
    }
    if (home != nullptr) {
        return leaving_pays(completion_at(*home), completion_at(*away),
                            fractional_ms{call.budget_}, price_)
                   ? chosen_replica{away, leave_reason::slower}
                   : chosen_replica{home, leave_reason::stays};
    }
    const bool has_home =
        std::ranges::any_of(replicas_, [&](const instance& each) {
            return each.failure_domain_ == call.failure_domain_ &&
                   !excluded.contains(each.id_);
        });
    return {away, has_home ? leave_reason::full : leave_reason::no_replica};
}

void call_scheduler::start(base::attempt_id attempt,
                           const base::upstream_name& replica,
                           base::milliseconds time_left,
                           base::time_point now) {
    const auto [call, added] = running_.try_emplace(
        attempt, running_call{replica, now + time_left + report_margin});
    if (added) {
        ++running_by_replica_[replica];
        picker_.started(replica);
    }
}

place_grant call_scheduler::grant(const place_request& call,
                                  const chosen_replica& chosen,
                                  base::time_point now) {
    const auto& replica = chosen.replica_->id_;
    start(call.attempt_, replica, call.time_left_, now);
    const double use = recent_use(call.account_, now) + 1;
    accounts_[call.account_] = {use, now};
    return {call.attempt_, replica, chosen.left_domain_};
}

place_refusal call_scheduler::refuse(const place_request& call) const {
    const auto waiting = static_cast<std::uint32_t>(waiting_.size());
    if (replicas_.empty()) {
        return {call.attempt_, true, no_replica_retry_after, waiting};
    }
    const auto wait = std::chrono::ceil<base::milliseconds>(expected_wait());
    return {call.attempt_, false,
            std::clamp(wait, least_retry_after,
                       std::max(call.retry_window_, least_retry_after)),
            waiting};
}

// The waiting call to serve next. The order changes with time and with each
// grant, and few calls wait, so they are not kept sorted.
std::vector<call_scheduler::waiting_call>::iterator
call_scheduler::next_call(base::time_point now) {
    if (queued_grants_ % oldest_first_interval == oldest_first_interval - 1) {
        return std::ranges::min_element(waiting_, {}, &waiting_call::arrived_);
    }
    return std::ranges::min_element(
        waiting_, {}, [&](const waiting_call& each) {
            const bool late = is_late(each, now);
            return std::tuple{each.request_.priority_, late,
                              recent_use(each.request_.account_, now),
                              each.objective_};
        });
}

bool call_scheduler::is_late(const waiting_call& call,
                             base::time_point now) const {
    return now + duration_cast<base::clock::duration>(service_time() +
                                                      deviation_) >
           call.objective_;
}

std::vector<call_scheduler::waiting_call>::iterator
call_scheduler::own_call_before(std::vector<waiting_call>::iterator first,
                                const instance& replica,
                                base::time_point now) {
    const auto is_own = [&](const waiting_call& each) {
        const auto& request = each.request_;
        return request.failure_domain_ == replica.failure_domain_ &&
               request.priority_ == first->request_.priority_ &&
               is_late(each, now) == is_late(*first, now) &&
               std::ranges::find(request.excluded_, replica.id_) ==
                   request.excluded_.end();
    };
    const auto own = std::ranges::find_if(waiting_, is_own);
    return own != waiting_.end() ? own : first;
}

void call_scheduler::dispatch(decisions& made, base::time_point now) {
    std::erase_if(waiting_, [&](const waiting_call& each) {
        const bool expired = each.expires_at_ < now;
        if (expired) {
            made.emplace_back(refuse(each.request_));
        }
        return expired;
    });
    while (!waiting_.empty()) {
        auto next = next_call(now);
        auto chosen = choose(next->request_, now);
        if (chosen.replica_ == nullptr) {
            break;
        }
        if (chosen.left_domain_ != leave_reason::stays) {
            const auto own = own_call_before(next, *chosen.replica_, now);
            if (own != next) {
                next = own;
                chosen.left_domain_ = leave_reason::stays;
            }
        }
        made.emplace_back(grant(next->request_, chosen, now));
        ++queued_grants_;
        waiting_.erase(next);
    }
}

call_scheduler::decisions call_scheduler::request(const place_request& call,
                                                  base::time_point now) {
    observe_arrival(now);
    if (waiting_.empty()) {
        const auto chosen = choose(call, now);
        if (chosen.replica_ != nullptr) {
            return {grant(call, chosen, now)};
        }
    }
    const bool has_other =
        std::ranges::any_of(replicas_, [&](const instance& each) {
            return std::ranges::find(call.excluded_, each.id_) ==
                       call.excluded_.end() &&
                   !picker_.refuses(each.id_, now);
        });
    if (!has_other) {
        auto refusal = refuse(call);
        refusal.no_replica_ = true;
        refusal.retry_after_ = no_replica_retry_after;
        return {refusal};
    }
    const auto latest_start =
        call.time_left_ - duration_cast<base::milliseconds>(service_time());
    if (expected_wait() > fractional_ms{latest_start}) {
        return {refuse(call)};
    }
    waiting_.push_back({call, now, now + call.budget_, now + latest_start});
    decisions made;
    dispatch(made, now);
    return made;
}

void call_scheduler::taken(const place_taken& call, base::time_point now) {
    start(call.attempt_, call.replica_, call.time_left_, now);
}

call_scheduler::decisions
call_scheduler::released(const place_released& message, base::time_point now) {
    decisions made;
    std::erase_if(waiting_, [&](const waiting_call& each) {
        return each.request_.attempt_ == message.attempt_;
    });
    const auto found = running_.find(message.attempt_);
    if (found != running_.end()) {
        const auto replica = found->second.replica_;
        --running_by_replica_[replica];
        running_.erase(found);
        picker_.ended(replica, message.result_, message.duration_, now);
        if (message.connection_refused_) {
            picker_.connection_refused(replica, now);
        }
        if (message.result_ == call_result::answered) {
            const fractional_ms duration{message.duration_};
            auto& pace = paces_.try_emplace(replica, duration).first->second;
            pace += (duration - pace) * newest_pace_weight;
            deviation_ +=
                (std::chrono::abs(duration - service_time()) - deviation_) *
                newest_weight;
            service_time_ +=
                (duration - service_time_) *
                (service_time_ > fractional_ms{0} ? newest_weight : 1);
        }
    }
    dispatch(made, now);
    return made;
}

call_scheduler::decisions
call_scheduler::gateway_lost(base::instance_id gateway, base::time_point now) {
    std::erase_if(waiting_, [gateway](const waiting_call& each) {
        return each.request_.attempt_.instance_ == gateway;
    });
    std::vector<base::attempt_id> ended;
    for (const auto& [attempt, call] : running_) {
        if (attempt.instance_ == gateway) {
            ended.push_back(attempt);
        }
    }
    decisions made;
    for (const auto attempt : ended) {
        const auto more =
            released({attempt, call_result::abandoned, {}, false}, now);
        made.insert(made.end(), more.begin(), more.end());
    }
    return made;
}

call_scheduler::decisions call_scheduler::tick(base::time_point now) {
    std::vector<base::attempt_id> forgotten;
    for (const auto& [attempt, call] : running_) {
        if (call.forgotten_at_ < now) {
            forgotten.push_back(attempt);
        }
    }
    decisions made;
    for (const auto attempt : forgotten) {
        const auto more =
            released({attempt, call_result::abandoned, {}, false}, now);
        made.insert(made.end(), more.begin(), more.end());
    }
    constexpr double forgotten_use = 0.01;
    std::erase_if(accounts_, [&](const auto& each) {
        return recent_use(each.first, now) < forgotten_use;
    });
    dispatch(made, now);
    return made;
}

call_scheduler::decisions
call_scheduler::set_replicas(const std::vector<const instance*>& replicas,
                             base::time_point now) {
    replicas_.clear();
    std::ranges::transform(replicas, std::back_inserter(replicas_),
                           [](const instance* each) { return *each; });
    std::set<base::upstream_name> ids;
    std::ranges::transform(replicas_, std::inserter(ids, ids.end()),
                           &instance::id_);
    picker_.retain(ids);
    std::erase_if(paces_,
                  [&](const auto& each) { return !ids.contains(each.first); });
    std::erase_if(running_by_replica_, [&](const auto& each) {
        return each.second == 0 && !ids.contains(each.first);
    });
    decisions made;
    dispatch(made, now);
    return made;
}

call_usage call_scheduler::usage() const {
    return {waiting_.size(), running_.size(), places(),
            duration_cast<base::milliseconds>(service_time_)};
}

} // namespace pimentoferry::routing
