#include "pimentoferry/orders/order_claim.hpp"

#include <variant>

namespace pimentoferry::orders {

namespace {

// A write without a result is abandoned after this time. If it takes effect
// later, the next conditional write fails with a conflict.
constexpr base::milliseconds write_timeout{1500};

/// More revisions than a store gives out in an era.
constexpr std::uint64_t revisions_per_era = std::uint64_t{1} << 40U;

std::uint64_t number_of(store::era era, store::revision revision) {
    return era * revisions_per_era + revision;
}

} // namespace

std::optional<std::uint64_t>
order_claim::fencing_number(base::time_point now) const {
    return number_ && now < valid_until_ ? number_ : std::nullopt;
}

std::vector<store::operation> order_claim::write(base::time_point now) {
    pending_ = store::token{next_token_++};
    pending_since_ = now;
    return {{*pending_, store::put{key_, holder_, key_revision_, {}}}};
}

std::vector<store::operation> order_claim::acquire(base::time_point now) {
    if (pending_ && now - pending_since_ >= write_timeout) {
        pending_.reset();
    }
    const bool waiting = wait_until_ && now < *wait_until_;
    if (pending_ || waiting || fencing_number(now)) {
        return {};
    }
    return write(now);
}

std::vector<store::operation> order_claim::handle(const store::result& result,
                                                  const known_era& known,
                                                  base::time_point now) {
    if (!pending_ || result.token_ != *pending_) {
        return {};
    }
    pending_.reset();
    if (const auto* conflict = std::get_if<store::conflict>(&result.outcome_)) {
        key_revision_ = conflict->current_;
        exclusive_ = false;
        wait_until_.reset();
        return {};
    }
    const auto* written = std::get_if<store::written>(&result.outcome_);
    if (written == nullptr) {
        return {};
    }
    const auto era = result.era_.value_or(0);
    const bool absent_before = key_revision_ == 0 && known.is_settled(era, now);
    const bool owned_before =
        own_revision_ && own_era_ == era && *own_revision_ == key_revision_;
    key_revision_ = written->revision_;
    own_revision_ = written->revision_;
    own_era_ = era;
    const bool waited = wait_until_ && owned_before;
    if (absent_before || (owned_before && exclusive_) || waited) {
        exclusive_ = true;
        wait_until_.reset();
        number_ = number_of(era, written->revision_);
        valid_until_ = pending_since_ + claim_validity;
    } else {
        exclusive_ = false;
        wait_until_ = now + takeover_wait;
    }
    return {};
}

void order_claim::forget() {
    pending_.reset();
    key_revision_ = 0;
    own_revision_.reset();
    exclusive_ = false;
    number_.reset();
    wait_until_.reset();
}

std::vector<store::operation> order_claim::release(base::time_point now) {
    constexpr auto distance = takeover_wait - claim_validity;
    const bool recent = last_order_ && now - *last_order_ < distance;
    const bool held = exclusive_ && own_revision_ &&
                      *own_revision_ == key_revision_ && !pending_;
    exclusive_ = false;
    number_.reset();
    own_revision_.reset();
    wait_until_.reset();
    if (!held || recent) {
        return {};
    }
    return {{store::token{next_token_++}, store::erase{key_, key_revision_}}};
}

} // namespace pimentoferry::orders
