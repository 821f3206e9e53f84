/// What an instance knows about when the store answered the fleet.
///
/// The state of one's own link is not the state of the store: an instance that
/// is cut off, or that leaves the calls to others, cannot tell an outage of the
/// store from one of its link. Instances therefore exchange the span of time in
/// which the store has been answering them, and join overlapping spans. What
/// remains as an outage is a time in which calls were made and nobody is known
/// to have received an answer.
///
///     availability known;
///     known.record_failure(now);            // own calls
///     known.record_answer(now);
///     send(peer, known.report());           // times as ages
///     known.merge(span_of_peer);
///     known.returned_at();                  // end of an outage
///
/// All times are of the local clock; those of a peer are converted by their
/// ages.
#ifndef PIMENTOFERRY_STORE_AVAILABILITY_HPP
#define PIMENTOFERRY_STORE_AVAILABILITY_HPP

#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>
#include <string_view>

namespace pimentoferry::store {

/// A span of time in which the store answered without a long gap.
struct answering_span {
    base::time_point from_;
    base::time_point last_answer_;
    /// Calls went unanswered before `from_`. False if nothing is known about
    /// the time before.
    bool after_outage_{false};
};

/// Who received the first answer of a span.
enum class told_by : std::uint8_t { own_call, peer };

std::string_view to_string(told_by source);

class availability {
public:
    /// The store answered a call of this instance.
    void record_answer(base::time_point now);

    /// A call of this instance was not answered.
    void record_failure(base::time_point now);

    /// Joins a span that a peer reported. A span that ended before the known
    /// one began is ignored.
    void merge(const answering_span& of_peer);

    /// The latest span of answers to anyone; unset before the first answer.
    const std::optional<answering_span>& span() const { return span_; }

    /// Who reported the beginning of the span.
    told_by source() const { return source_; }

    /// The span for peers; it has to accompany data of the store that an
    /// instance passes on. Its last answer is the last one to this instance in
    /// the span, or the first one to anyone: passing on later ones would make
    /// them appear more recent with each hop.
    std::optional<answering_span> report() const;

    /// The last answer to this instance; unset before the first.
    const std::optional<base::time_point>& last_own_answer() const {
        return last_own_answer_;
    }

    /// End of the last outage of the store; unset if none is known.
    std::optional<base::time_point> returned_at() const;

    /// Whether the last call of this instance was answered. It says nothing
    /// about the store while the instance leaves the calls to its peers.
    bool own_link_up() const { return own_link_up_; }

private:
    std::optional<answering_span> span_;
    told_by source_{told_by::own_call};
    std::optional<base::time_point> last_own_answer_;
    /// First unanswered call of this instance since the last answer to anyone.
    std::optional<base::time_point> unanswered_since_;
    bool own_link_up_{false};
};

} // namespace pimentoferry::store

#endif
