#include "pimentoferry/gateway/call_permits.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/log/log.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstddef>

namespace pimentoferry::gateway {

namespace {

// An owner that has sent neither a decision nor a confirmation within this time
// is considered unreachable, and is not asked for the second time below.
constexpr base::milliseconds owner_reply_timeout{150};
constexpr base::milliseconds owner_bypass_duration{1500};
// Added to the time after which the owner refuses a call that waits.
constexpr base::milliseconds decision_margin{100};
// A limited replica gets a call at least this often if there are any.
constexpr base::milliseconds spare_interval{1000};
constexpr base::milliseconds spare_validity{1000};

} // namespace

void call_permits::deliver(const requests::permit_queue::decisions& decisions) {
    for (const auto& decision : decisions) {
        const auto attempt =
            std::visit([](const auto& d) { return d.attempt_; }, decision);
        const auto found = pending_.find(attempt);
        if (attempt.instance_ != peers_.self()) {
            peers_.send(
                attempt.instance_,
                std::visit([](const auto& d) { return permit_reply{d}; },
                           decision));
        } else if (found != pending_.end()) {
            found->second->decision_ = decision;
            found->second->signal_.wake();
        }
    }
}

requests::permit_decision
call_permits::decide_alone(const requests::permit_request& call,
                           base::time_point now) {
    auto& allowances = shared_.allowances_;
    const auto found =
        std::ranges::find_if(call.candidates_, [&](const auto& each) {
            return allowances.available(each, now);
        });
    if (found == call.candidates_.end()) {
        return requests::permit_refusal{call.attempt_, owner_bypass_duration};
    }
    allowances.take(*found, now);
    return requests::permit_grant{call.attempt_, *found};
}

http::awaitable<requests::permit_decision>
call_permits::acquire(base::service_name service,
                      requests::permit_request call,
                      std::shared_ptr<http::cancellation> cancel) {
    const auto began = base::clock::now();
    call.attempt_ = {peers_.self(), ++last_attempt_};
    const auto attempt = call.attempt_;
    const auto owner = limits_.owner_of(service);
    const bool owns = owner == peers_.self();
    if (!owns && bypassed_[owner] > began) {
        co_return decide_alone(call, began);
    }
    auto pending = std::make_shared<pending_permit>(shared_.io_);
    const http::subscription cancelled{
        std::move(cancel), [pending, attempt] {
            pending->decision_ = requests::permit_refusal{attempt};
            pending->signal_.wake();
        }};
    pending_.insert_or_assign(attempt, pending);
    if (owns) {
        pending->queued_ = true;
        deliver(queue_of(service).request(call, shared_.allowances_, began));
    } else {
        peers_.send(owner, service_permit_request{service, call});
    }
    const auto decided_by = began + call.longest_wait_ + decision_margin;
    const auto reply_due = began + owner_reply_timeout;
    while (!pending->decision_) {
        const auto until = pending->queued_ ? decided_by : reply_due;
        if (base::clock::now() >= until) {
            break;
        }
        co_await pending->signal_.wait_until(until);
    }
    pending_.erase(attempt);
    if (pending->decision_) {
        co_return *pending->decision_;
    }
    const auto now = base::clock::now();
    if (owns) {
        co_return requests::permit_refusal{attempt, call.longest_wait_};
    }
    log::log_warn("permit_owner_silent",
                  {{"service", service.value_},
                   {"owner", base::to_hex(owner.value_)},
                   {"queued", pending->queued_ ? "yes" : "no"}});
    bypassed_[owner] = now + owner_bypass_duration;
    co_return decide_alone(call, now);
}

const routing::instance* call_permits::take_spare(
    const std::vector<const routing::instance*>& candidates,
    base::time_point now) {
    if (spare_.empty()) {
        return nullptr;
    }
    const auto found =
        std::ranges::find_if(candidates, [&](const routing::instance* each) {
            const auto permit = spare_.find(each->id_);
            return permit != spare_.end() && permit->second > now;
        });
    if (found == candidates.end()) {
        return nullptr;
    }
    spare_.erase((*found)->id_);
    return *found;
}

void call_permits::receive(base::instance_id from,
                           const service_permit_request& message) {
    const auto decisions =
        queue_of(message.service_)
            .request(message.request_, shared_.allowances_, base::clock::now());
    const auto attempt = message.request_.attempt_;
    const bool decided = std::ranges::any_of(decisions, [&](const auto& each) {
        return std::visit([&](const auto& d) { return d.attempt_ == attempt; },
                          each);
    });
    if (!decided) {
        peers_.send(from, permit_reply{permit_queued{attempt}});
    }
    deliver(decisions);
}

void call_permits::receive(const permit_reply& reply) {
    std::visit(base::overloaded{
                   [this](const permit_queued& r) {
                       const auto found = pending_.find(r.attempt_);
                       if (found != pending_.end()) {
                           found->second->queued_ = true;
                           found->second->signal_.wake();
                       }
                   },
                   [this](const requests::permit_grant& r) {
                       if (r.attempt_ == base::attempt_id{}) {
                           spare_[r.replica_] =
                               base::clock::now() + spare_validity;
                       } else {
                           deliver({r});
                       }
                   },
                   [this](const requests::permit_refusal& r) { deliver({r}); }},
               reply);
}

void call_permits::send_spare_permits(base::time_point now) {
    auto& allowances = shared_.allowances_;
    for (const auto& id : limits_.owned_instances()) {
        const auto* replica =
            shared_.registry_.instances().find_usable(id, now);
        const auto last = allowances.last_taken(id);
        const bool due = replica != nullptr && !replica->stage_ && last &&
                         now - *last >= spare_interval &&
                         allowances.available(id, now);
        if (!due) {
            continue;
        }
        allowances.take(id, now);
        const requests::permit_grant permit{{}, id};
        const auto live = peers_.live();
        const auto chosen = static_cast<std::size_t>(
            shared_.random_fraction() * static_cast<double>(live.size()));
        const auto to =
            chosen < live.size() ? live[chosen].instance_ : peers_.self();
        if (to == peers_.self()) {
            receive(permit_reply{permit});
        } else {
            peers_.send(to, permit_reply{permit});
        }
    }
}

void call_permits::tick(base::time_point now) {
    for (auto& [service, queue] : queues_) {
        if (queue.size() > 0) {
            deliver(queue.tick(shared_.allowances_, now));
        }
    }
    std::erase_if(spare_,
                  [now](const auto& entry) { return entry.second <= now; });
    std::erase_if(bypassed_,
                  [now](const auto& entry) { return entry.second <= now; });
    send_spare_permits(now);
}

} // namespace pimentoferry::gateway
