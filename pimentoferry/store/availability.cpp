#include "pimentoferry/store/availability.hpp"

#include <algorithm>

namespace pimentoferry::store {

namespace {

// While the store works, a watch is answered at least every 1.5 s, so answers
// that are further apart do not show that it worked in between. A shorter
// outage does not make a registration lapse.
constexpr base::milliseconds max_answer_gap{2000};

} // namespace

std::string_view to_string(told_by source) {
    return source == told_by::own_call ? "own_call" : "peer";
}

void availability::record_answer(base::time_point now) {
    if (!span_ || now - span_->last_answer_ > max_answer_gap) {
        const bool unanswered =
            unanswered_since_ &&
            (span_ || now - *unanswered_since_ > max_answer_gap);
        span_ = answering_span{now, now, unanswered};
        source_ = told_by::own_call;
    }
    span_->last_answer_ = now;
    last_own_answer_ = now;
    unanswered_since_.reset();
    own_link_up_ = true;
}

void availability::record_failure(base::time_point now) {
    unanswered_since_ = unanswered_since_.value_or(now);
    own_link_up_ = false;
}

void availability::merge(const answering_span& of_peer) {
    if (!span_) {
        span_ = of_peer;
        source_ = told_by::peer;
        unanswered_since_.reset();
        return;
    }
    const bool peer_began_later = of_peer.from_ > span_->from_;
    const auto earlier = peer_began_later ? *span_ : of_peer;
    auto later = peer_began_later ? of_peer : *span_;
    if (later.from_ - earlier.last_answer_ > max_answer_gap) {
        if (peer_began_later) {
            // The peer may have started after the outage that this instance
            // noticed.
            later.after_outage_ =
                later.after_outage_ || unanswered_since_.has_value();
            span_ = later;
            source_ = told_by::peer;
            unanswered_since_.reset();
        }
        return;
    }
    // Answers before the later span refute the outage that it reports, unless
    // both begin with the same return of the store.
    const bool same_beginning = later.from_ - earlier.from_ <= max_answer_gap;
    const bool after_outage =
        earlier.after_outage_ || (same_beginning && later.after_outage_);
    source_ = peer_began_later ? source_ : told_by::peer;
    span_ = answering_span{earlier.from_,
                           std::max(earlier.last_answer_, later.last_answer_),
                           after_outage};
    if (unanswered_since_ && span_->last_answer_ > *unanswered_since_) {
        unanswered_since_.reset();
    }
}

std::optional<answering_span> availability::report() const {
    if (!span_) {
        return std::nullopt;
    }
    const auto last =
        std::max(last_own_answer_.value_or(span_->from_), span_->from_);
    return answering_span{span_->from_, last, span_->after_outage_};
}

std::optional<base::time_point> availability::returned_at() const {
    return span_ && span_->after_outage_ ? std::optional{span_->from_}
                                         : std::nullopt;
}

} // namespace pimentoferry::store
