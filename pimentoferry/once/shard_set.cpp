#include "pimentoferry/once/shard_set.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/once/idempotency_key.hpp"

#include <algorithm>
#include <numeric>

namespace pimentoferry::once::internal {

shard_set::shard_set(const settings& limits, base::instance_id self)
    : limits_(limits), self_(self), review_states_(limits.shards_) {
    shards_.reserve(limits.shards_);
    for (shard_number shard = 0; shard < limits.shards_; ++shard) {
        shards_.emplace_back(shard, self, limits);
    }
}

void shard_set::receive(const to_owner& message, context& ctx) {
    // The shard is computed from the key, so that a sender with another shard
    // count cannot put one key into two logs.
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
        review_shard(shard, ctx);
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

void shard_set::review_shard(shard_number shard, context& ctx) {
    if (shards_[shard].is_open()) {
        review_open(shard, ctx);
    } else if (shards_[shard].is_closed()) {
        review_closed(shard, ctx);
    }
}

void shard_set::review_open(shard_number shard, context& ctx) {
    const auto& ownership = ctx.view_.owner(shard);
    auto& owner = shards_[shard];
    if (ownership.epoch_ > owner.epoch()) {
        owner.step_down(ctx);
        review_states_[shard].not_before_ = ctx.now_ + limits_.fenced_backoff_;
        return;
    }
    if (draining_) {
        owner.drain();
    }
    if (ctx.now_ >= review_states_[shard].poll_at_) {
        // Lost gossip must not leave an entry routing to a former owner, or a
        // former owner unaware that it was replaced.
        review_states_[shard].poll_at_ = ctx.now_ + limits_.head_poll_interval_;
        ctx.out_.push(announce_owner{{shard, owner.epoch(), self_}});
    }
}

void shard_set::review_closed(shard_number shard, context& ctx) {
    if (may_take_over(shard, ctx.view_) &&
        ctx.now_ >= next_head_read(shard, ctx.view_)) {
        shards_[shard].read_head(ctx);
    }
}

/// True if this entry is the candidate for the shard, or the head is known to
/// name it as the owner. The latter occurs when a write of the head that this
/// entry no longer tracks takes effect late; no other entry takes the shard
/// over then.
bool shard_set::may_take_over(shard_number shard,
                              const entry_view& view) const {
    const bool is_candidate = !draining_ && view.candidate(shard) == self_;
    return is_candidate || view.owner(shard).owner_ == self_;
}

base::time_point shard_set::next_head_read(shard_number shard,
                                           const entry_view& view) const {
    const auto& state = review_states_[shard];
    const auto owner = view.owner(shard).owner_;
    const bool is_held = owner != self_ && view.is_live(owner);
    return is_held ? std::max(state.not_before_, state.poll_at_)
                   : state.not_before_;
}

void shard_set::on_event(shard_number shard,
                         const log_event& event,
                         context& ctx) {
    std::visit(base::overloaded{
                   [&](const head_read& head) { on_head(shard, head, ctx); },
                   [&](const log_opened& opened) {
                       announce({shard, opened.epoch_, self_}, ctx);
                       review_shard(shard, ctx);
                   },
                   [&](const log_released& released) {
                       announce({shard, released.epoch_, {}}, ctx);
                   },
                   [&](const log_lost&) {
                       review_states_[shard].not_before_ =
                           ctx.now_ + limits_.fenced_backoff_;
                   },
                   [](const auto&) {}},
               event);
}

void shard_set::on_head(shard_number shard,
                        const head_read& head,
                        context& ctx) {
    auto& state = review_states_[shard];
    announce({shard, head.epoch_, head.owner_}, ctx);
    const bool is_free = head.owner_.value_ == 0 || head.owner_ == self_ ||
                         is_dead(head.owner_, state, ctx);
    if (is_free && may_take_over(shard, ctx.view_)) {
        state.unknown_since_.reset();
        shards_[shard].take_over(ctx);
        return;
    }
    shards_[shard].step_down(ctx);
    state.poll_at_ = ctx.now_ + limits_.head_poll_interval_;
    state.not_before_ = ctx.now_ + limits_.resend_interval_;
}

/// An owner that no view ever listed may have died before this entry started,
/// or may be too new for the view; it counts as dead after
/// `unknown_owner_grace_`.
bool shard_set::is_dead(base::instance_id owner,
                        review_state& state,
                        const context& ctx) {
    if (ctx.view_.is_live(owner)) {
        state.unknown_since_.reset();
        return false;
    }
    if (ctx.view_.was_ever_listed(owner)) {
        return true;
    }
    if (!state.unknown_since_) {
        state.unknown_since_ = ctx.now_;
    }
    return ctx.now_ >= *state.unknown_since_ + limits_.unknown_owner_grace_;
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
            next = earliest(next, review_states_[shard].poll_at_);
        }
        if (shards_[shard].is_closed() && may_take_over(shard, view)) {
            next = earliest(next, next_head_read(shard, view));
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

bool shard_set::all_closed() const {
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
