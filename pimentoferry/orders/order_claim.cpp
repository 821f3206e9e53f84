#include "pimentoferry/orders/order_claim.hpp"

#include <variant>

namespace pimentoferry::orders {

namespace {

// A write without an answer is given up after this time; it may still take
// effect, which the next conditional write notices.
constexpr base::milliseconds answer_limit{1500};

} // namespace

std::optional<std::uint64_t>
order_claim::fencing_number(base::time_point now) const {
    return number_ && now < valid_until_ ? number_ : std::nullopt;
}

std::vector<store::operation> order_claim::write(base::time_point now) {
    pending_ = store::token{next_token_++};
    pending_since_ = now;
    return {{*pending_, store::put{key_, holder_, known_, {}}}};
}

std::vector<store::operation> order_claim::want(base::time_point now) {
    if (pending_ && now - pending_since_ >= answer_limit) {
        pending_.reset();
    }
    const bool waiting = wait_until_ && now < *wait_until_;
    if (pending_ || waiting || fencing_number(now)) {
        return {};
    }
    return write(now);
}

std::vector<store::operation> order_claim::handle(const store::result& result,
                                                  base::time_point now) {
    if (!pending_ || result.token_ != *pending_) {
        return {};
    }
    pending_.reset();
    if (const auto* conflict = std::get_if<store::conflict>(&result.outcome_)) {
        known_ = conflict->current_;
        settled_ = false;
        wait_until_.reset();
        return {};
    }
    const auto* written = std::get_if<store::written>(&result.outcome_);
    if (written == nullptr) {
        return {};
    }
    const bool absent_before = known_ == 0;
    const bool own_before = own_ && *own_ == known_;
    known_ = written->revision_;
    own_ = written->revision_;
    const bool waited = wait_until_ && own_before;
    if (absent_before || (own_before && settled_) || waited) {
        settled_ = true;
        wait_until_.reset();
        number_ = written->revision_;
        valid_until_ = pending_since_ + claim_validity;
    } else {
        settled_ = false;
        wait_until_ = now + takeover_wait;
    }
    return {};
}

std::vector<store::operation> order_claim::release(base::time_point now) {
    constexpr auto distance = takeover_wait - claim_validity;
    const bool recent = last_order_ && now - *last_order_ < distance;
    const bool held = settled_ && own_ && *own_ == known_ && !pending_;
    settled_ = false;
    number_.reset();
    own_.reset();
    wait_until_.reset();
    if (!held || recent) {
        return {};
    }
    return {{store::token{next_token_++}, store::erase{key_, known_}}};
}

} // namespace pimentoferry::orders
