/// When a keeper of streams writes what the lasting record lacks.
///
/// The keepers of a service are ranked. The first one writes at once. The
/// others leave it to the first one as long as that does it: they ask it at
/// each review whether it is there, and write at once while it does not answer.
/// One that answers but does not write, as it may be cut off from the store, is
/// noticed by what is missing in the record for too long.
///
///     turn.asked(now);               // sent a question to the first keeper
///     turn.answered();               // it answered
///     if (turn.find_silent(now)) {}  // it has just been found silent
///     turn.due_before(rank, now);    // write what was added before this time
///     turn.wrote(rank, now);
///
/// The class has no clock; the passed times must not decrease.
#ifndef PIMENTOFERRY_ROUTING_WRITE_TURN_HPP
#define PIMENTOFERRY_ROUTING_WRITE_TURN_HPP

#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <optional>

namespace pimentoferry::routing {

class write_turn {
public:
    /// Time after which what a keeper has to write is missed by the next one.
    /// Covers a review, the write, and its way to every gateway.
    static constexpr base::milliseconds patience{2000};

    void asked(base::time_point now);
    void answered();

    /// Another keeper is the first one now.
    void reset();

    /// Returns whether the first keeper has left a question unanswered for too
    /// long, once until it answers.
    bool find_silent(base::time_point now);

    /// `rank`: the number of keepers that write before this one.
    base::time_point due_before(std::size_t rank, base::time_point now) const;

    /// This keeper writes something that `due_before` named.
    void wrote(std::size_t rank, base::time_point now);

private:
    std::optional<base::time_point> asked_at_; ///< The oldest open question.
    bool silent_{false};
    /// Until when the first keeper is not trusted to write.
    std::optional<base::time_point> overdue_until_;
};

} // namespace pimentoferry::routing

#endif
