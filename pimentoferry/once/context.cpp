#include "pimentoferry/once/context.hpp"

#include "pimentoferry/base/hash.hpp"

#include <algorithm>
#include <string>

namespace pimentoferry::once::internal {
namespace {

constexpr unsigned shard_bits = 16;
constexpr std::uint64_t shard_mask = (1U << shard_bits) - 1U;

} // namespace

entry_view::entry_view(base::instance_id self, shard_number shards)
    : self_(self), owners_(shards), candidates_(shards) {
    for (shard_number shard = 0; shard < shards; ++shard) {
        owners_[shard].shard_ = shard;
    }
}

void entry_view::update(const view_changed& view) {
    draining_by_live_.clear();
    for (const auto& entry : view.live_) {
        draining_by_live_[entry.instance_] = entry.draining_;
        ever_listed_.insert(entry.instance_);
    }
    // This entry is live, whatever the view of membership says.
    draining_by_live_.try_emplace(self_, false);
    for (const auto& ownership : view.owners_) {
        merge_ownership(ownership);
    }
    choose_candidates();
    ++version_;
}

bool entry_view::merge_ownership(const shard_ownership& ownership) {
    if (ownership.shard_ >= owners_.size() ||
        ownership.epoch_ <= owners_[ownership.shard_].epoch_) {
        return false;
    }
    owners_[ownership.shard_] = ownership;
    ++version_;
    return true;
}

bool entry_view::is_live(base::instance_id instance) const {
    return draining_by_live_.contains(instance);
}

bool entry_view::was_ever_listed(base::instance_id instance) const {
    return ever_listed_.contains(instance);
}

const shard_ownership& entry_view::owner(shard_number shard) const {
    return owners_[shard];
}

base::instance_id entry_view::candidate(shard_number shard) const {
    return candidates_[shard];
}

base::instance_id entry_view::route(shard_number shard) const {
    const auto owner = owners_[shard].owner_;
    return is_live(owner) ? owner : candidates_[shard];
}

void entry_view::choose_candidates() {
    for (shard_number shard = 0; shard < candidates_.size(); ++shard) {
        const auto key = "once/" + std::to_string(shard);
        base::instance_id best;
        std::uint64_t best_score = 0;
        for (const auto& [instance, draining] : draining_by_live_) {
            const auto score = base::rendezvous_score(key, instance.value_);
            if (!draining && (best.value_ == 0 || score > best_score)) {
                best = instance;
                best_score = score;
            }
        }
        candidates_[shard] = best;
    }
}

void outbox::queue_for_owner(base::instance_id to, to_owner message) {
    if (to == self_) {
        local_.emplace_back(std::move(message));
    } else {
        push(send_to_owner{to, std::move(message)});
    }
}

void outbox::queue_for_entry(base::instance_id to, to_entry message) {
    if (to == self_) {
        local_.emplace_back(std::move(message));
    } else {
        push(send_to_entry{to, std::move(message)});
    }
}

store::token outbox::use_store(shard_number shard, store::request request) {
    ++operations_;
    const store::token token{(operations_ << shard_bits) | shard};
    push(once::use_store{store::operation{token, std::move(request)}});
    return token;
}

shard_number outbox::shard_of_token(store::token token) {
    return static_cast<shard_number>(token.value_ & shard_mask);
}

std::deque<outbox::local_message> outbox::take_local() {
    return std::exchange(local_, {});
}

std::vector<action> outbox::take_actions() {
    return std::exchange(actions_, {});
}

std::optional<base::time_point>
earliest(std::optional<base::time_point> first,
         std::optional<base::time_point> second) {
    if (!first || !second) {
        return first ? first : second;
    }
    return std::min(*first, *second);
}

} // namespace pimentoferry::once::internal
