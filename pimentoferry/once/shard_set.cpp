#include "pimentoferry/once/shard_set.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/once/idempotency_key.hpp"

#include <algorithm>
#include <numeric>

namespace pimentoferry::once::internal {

shard_set::shard_set(const settings& limits, base::instance_id self)
    : limits_(limits), self_(self), plans_(limits.shards_) {
    shards_.reserve(limits.shards_);
    for (shard_number shard = 0; shard < limits.shards_; ++shard) {
        shards_.emplace_back(shard, self, limits);
    }
}

void shard_set::receive(const to_owner& message, context& ctx) {
    // The shard follows from the key: a sender with other settings must not
    // bring a key into two logs.
    const auto shard = shard_of(key_of(message), limits_.shards_);
    shards_[shard].receive(message, ctx);
}

void shard_set::handle(const store::result& result, context& ctx) {
    const auto shard = outbox::shard_of_token(result.token_);
    if (shard >= shards_.size()) {
        return;
    }
    for (const auto& event : shards_[shard].handle(result, ctx)) {
        on_event(shard, event, ctx);
    }
}

void shard_set::handle_time(context& ctx) {
    for (auto& shard : shards_) {
        shard.handle_time(ctx);
    }
    review(ctx);
}

void shard_set::review(context& ctx) {
    for (shard_number shard = 0; shard < shards_.size(); ++shard) {
        review_one(shard, ctx);
    }
}

void shard_set::pump(context& ctx) {
    for (auto& shard : shards_) {
        shard.pump(ctx);
    }
}

void shard_set::set_window(base::milliseconds window) {
    for (auto& shard : shards_) {
        shard.set_window(window);
    }
}

void shard_set::review_one(shard_number shard, context& ctx) {
    if (shards_[shard].is_open()) {
        review_open(shard, ctx);
    } else if (shards_[shard].is_closed()) {
        review_closed(shard, ctx);
    }
}

void shard_set::review_open(shard_number shard, context& ctx) {
    const auto& known = ctx.view_.owner(shard);
    auto& held = shards_[shard];
    if (known.epoch_ > held.epoch()) {
        held.step_down(ctx);
        plans_[shard].not_before_ = ctx.now_ + limits_.fenced_backoff_;
        return;
    }
    if (draining_) {
        held.drain();
    }
    if (ctx.now_ >= plans_[shard].poll_at_) {
        // Gossip that was lost must not leave an entry asking an old owner,
        // or an old owner idle in its belief.
        plans_[shard].poll_at_ = ctx.now_ + limits_.head_poll_interval_;
        ctx.out_.push(announce_owner{{shard, held.epoch(), self_}});
    }
}

void shard_set::review_closed(shard_number shard, context& ctx) {
    if (concerns_us(shard, ctx.view_) &&
        ctx.now_ >= look_at(shard, ctx.view_)) {
        shards_[shard].inspect(ctx);
    }
}

/// A head that names this entry without its knowledge keeps all others away:
/// a write that was given up may take effect late.
bool shard_set::concerns_us(shard_number shard, const entry_view& view) const {
    const bool is_candidate = !draining_ && view.candidate(shard) == self_;
    return is_candidate || view.owner(shard).owner_ == self_;
}

base::time_point shard_set::look_at(shard_number shard,
                                    const entry_view& view) const {
    const auto& planned = plans_[shard];
    const auto owner = view.owner(shard).owner_;
    const bool is_held = owner != self_ && view.is_live(owner);
    return is_held ? std::max(planned.not_before_, planned.poll_at_)
                   : planned.not_before_;
}

void shard_set::on_event(shard_number shard,
                         const log_event& event,
                         context& ctx) {
    std::visit(base::overloaded{
                   [&](const head_read& head) { on_head(shard, head, ctx); },
                   [&](const log_opened& opened) {
                       announce({shard, opened.epoch_, self_}, ctx);
                       review_one(shard, ctx);
                   },
                   [&](const log_released& released) {
                       announce({shard, released.epoch_, {}}, ctx);
                   },
                   [&](const log_lost&) {
                       plans_[shard].not_before_ =
                           ctx.now_ + limits_.fenced_backoff_;
                   },
                   [](const auto&) {}},
               event);
}

void shard_set::on_head(shard_number shard,
                        const head_read& head,
                        context& ctx) {
    auto& planned = plans_[shard];
    announce({shard, head.epoch_, head.owner_}, ctx);
    const bool is_free = head.owner_.value_ == 0 || head.owner_ == self_ ||
                         is_dead(head.owner_, planned, ctx);
    if (is_free && concerns_us(shard, ctx.view_)) {
        planned.unknown_since_.reset();
        shards_[shard].take(ctx);
        return;
    }
    shards_[shard].step_down(ctx);
    planned.poll_at_ = ctx.now_ + limits_.head_poll_interval_;
    planned.not_before_ = ctx.now_ + limits_.resend_interval_;
}

/// An owner that no view ever held may be dead since before this entry
/// started, or so new that the view lacks it.
bool shard_set::is_dead(base::instance_id owner,
                        plan& planned,
                        const context& ctx) {
    if (ctx.view_.is_live(owner)) {
        planned.unknown_since_.reset();
        return false;
    }
    if (ctx.view_.was_ever_listed(owner)) {
        return true;
    }
    if (!planned.unknown_since_) {
        planned.unknown_since_ = ctx.now_;
    }
    return ctx.now_ >= *planned.unknown_since_ + limits_.unknown_owner_grace_;
}

void shard_set::announce(const shard_ownership& ownership, context& ctx) {
    if (ctx.view_.merge_ownership(ownership)) {
        ctx.out_.push(announce_owner{ownership});
    }
}

std::optional<base::time_point>
shard_set::next_wakeup(const entry_view& view) const {
    std::optional<base::time_point> next;
    for (shard_number shard = 0; shard < shards_.size(); ++shard) {
        next = earliest(next, shards_[shard].next_wakeup());
        if (shards_[shard].is_open()) {
            next = earliest(next, plans_[shard].poll_at_);
        }
        if (shards_[shard].is_closed() && concerns_us(shard, view)) {
            next = earliest(next, look_at(shard, view));
        }
    }
    return next;
}

std::vector<shard_number> shard_set::owned() const {
    std::vector<shard_number> numbers;
    for (shard_number shard = 0; shard < shards_.size(); ++shard) {
        if (shards_[shard].is_open()) {
            numbers.push_back(shard);
        }
    }
    return numbers;
}

bool shard_set::holds_none() const {
    return std::ranges::all_of(
        shards_, [](const auto& shard) { return shard.is_closed(); });
}

std::size_t shard_set::record_count() const {
    return std::accumulate(shards_.begin(), shards_.end(), std::size_t{0},
                           [](std::size_t sum, const auto& shard) {
                               return sum + shard.record_count();
                           });
}

} // namespace pimentoferry::once::internal
