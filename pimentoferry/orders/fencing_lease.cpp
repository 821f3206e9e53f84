#include "pimentoferry/orders/fencing_lease.hpp"

#include <utility>
#include <variant>

namespace pimentoferry::orders {

namespace {

/// High bits of this library's tokens; others in the process use different
/// ones.
constexpr std::uint64_t token_base = 0x4F52000000000000ULL;

} // namespace

std::string fencing_lease::holder_value() const {
    return base::to_hex(instance_.value_) + "/" + std::to_string(attempt_);
}

std::vector<store::operation>
fencing_lease::send(step next, store::request request, base::time_point now) {
    step_ = next;
    pending_token_ = store::token{token_base + next_token_++};
    pending_since_ = now;
    return {{pending_token_, std::move(request)}};
}

void fencing_lease::drop_lease() {
    number_.reset();
    lease_ = {};
}

void fencing_lease::set_held(std::uint64_t number) {
    number_ = number;
}

std::optional<std::uint64_t>
fencing_lease::fencing_number(base::time_point now) const {
    if (!number_ || now >= valid_from_ + lease_margin) {
        return std::nullopt;
    }
    return number_;
}

std::vector<store::operation> fencing_lease::tick(bool candidate,
                                                  base::time_point now) {
    if (step_ != step::idle) {
        if (now < pending_since_ + lease_operation_timeout) {
            return {};
        }
        // The result is lost. If it arrives late, its token no longer matches
        // the pending one.
        step_ = step::idle;
        pending_token_ = {};
    }
    if (number_) {
        if (now >= valid_from_ + lease_ttl) {
            drop_lease();
        } else if (now >= valid_from_ + lease_renewal && now >= next_poll_) {
            next_poll_ = now + lease_renewal / 3;
            return send(step::renewing, store::renew_lease{lease_}, now);
        }
        return {};
    }
    if (!candidate || now < next_poll_) {
        return {};
    }
    next_poll_ = now + lease_poll;
    return send(step::reading, store::get{lease_key}, now);
}

std::vector<store::operation> fencing_lease::release(base::time_point now) {
    if (lease_ == store::lease_id{}) {
        return {};
    }
    const auto lease = lease_;
    drop_lease();
    auto operations = send(step::idle, store::revoke_lease{lease}, now);
    pending_token_ = {};
    return operations;
}

std::vector<store::operation> fencing_lease::handle(const store::result& result,
                                                    base::time_point now) {
    if (result.token_ != pending_token_ || step_ == step::idle) {
        return {};
    }
    pending_token_ = {};
    switch (std::exchange(step_, step::idle)) {
    case step::idle:
        break;
    case step::reading:
        return on_read(result.outcome_, now);
    case step::granting:
        return on_granted(result.outcome_, now);
    case step::acquiring:
        return on_acquired(result.outcome_, now);
    case step::confirming:
        on_confirmed(result.outcome_);
        break;
    case step::renewing:
        on_renewed(result.outcome_);
        break;
    }
    return {};
}

std::vector<store::operation>
fencing_lease::on_read(const store::outcome& outcome, base::time_point now) {
    if (!std::holds_alternative<store::not_found>(outcome)) {
        return {};
    }
    return send(step::granting, store::grant_lease{lease_ttl}, now);
}

std::vector<store::operation>
fencing_lease::on_granted(const store::outcome& outcome, base::time_point now) {
    const auto* granted = std::get_if<store::lease_granted>(&outcome);
    if (granted == nullptr) {
        return {};
    }
    lease_ = granted->lease_;
    // The store measures the time to live from its receipt of the request,
    // which is later than the sending.
    valid_from_ = pending_since_;
    ++attempt_;
    return send(step::acquiring,
                store::put{lease_key, holder_value(), 0, lease_}, now);
}

std::vector<store::operation>
fencing_lease::on_acquired(const store::outcome& outcome,
                           base::time_point now) {
    if (const auto* written = std::get_if<store::written>(&outcome)) {
        set_held(written->revision_);
        return {};
    }
    if (std::holds_alternative<store::unavailable>(outcome)) {
        return send(step::confirming, store::get{lease_key}, now);
    }
    drop_lease();
    return {};
}

void fencing_lease::on_confirmed(const store::outcome& outcome) {
    const auto* found = std::get_if<store::found>(&outcome);
    if (found != nullptr && found->value_ == holder_value()) {
        set_held(found->revision_);
        return;
    }
    // Either the write failed or its result is unknown. In both cases no order
    // is sent; a key that was written expires with its lease.
    drop_lease();
}

void fencing_lease::on_renewed(const store::outcome& outcome) {
    if (std::holds_alternative<store::lease_granted>(outcome)) {
        valid_from_ = pending_since_;
    } else if (std::holds_alternative<store::lease_unknown>(outcome)) {
        drop_lease();
    }
}

} // namespace pimentoferry::orders
