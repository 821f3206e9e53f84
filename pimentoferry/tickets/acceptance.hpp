/// Accepts tickets that operators submit, one at a time, by compare-and-swap of
/// the head.
///
/// If the result of a write is lost, the head is read again, and the ticket is
/// reported as accepted only if the head contains it. If it does not, the write
/// is repeated with the same expected revision, so it cannot take effect twice.
#ifndef PIMENTOFERRY_TICKETS_ACCEPTANCE_HPP
#define PIMENTOFERRY_TICKETS_ACCEPTANCE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/tickets/call_table.hpp"
#include "pimentoferry/tickets/head_reader.hpp"
#include "pimentoferry/tickets/replica.hpp"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::tickets {

/// How long a submitted ticket waits for the store before the operator receives
/// `store_unavailable`.
inline constexpr base::milliseconds acceptance_limit{4000};
inline constexpr std::size_t acceptance_queue_limit = 64;

/// A ticket that must be compared with the history in the store, because the
/// replica no longer holds the ticket of that number.
struct old_ticket {
    operator_request request_;
    config::ticket ticket_;
};

class acceptance {
public:
    /// Queues a ticket, or answers at once if it is invalid or the queue is
    /// full.
    void
    submit(const apply& event, base::time_point now, std::vector<action>& out);

    /// Whether the head must be read before the next step.
    bool needs_head() const { return !queue_.empty() && !writing_; }

    /// Continues after the replica has caught up with the head: writes the next
    /// ticket or answers its operator. Returns the tickets that must be
    /// compared with the history.
    std::vector<old_ticket> handle_head(const caught_up& current,
                                        base::time_point now,
                                        replica& local,
                                        call_table& calls,
                                        std::vector<action>& out);

    /// Handles the result of the write. Returns the new head if the ticket was
    /// accepted.
    std::optional<head> handle_write(const store::outcome& outcome,
                                     replica& local,
                                     std::vector<action>& out);

    /// Answers the tickets whose deadline has passed.
    void tick(base::time_point now, std::vector<action>& out);

private:
    struct queued_ticket {
        operator_request request_;
        config::ticket ticket_;
        std::string text_; ///< Canonical JSON.
        base::time_point deadline_;
        bool write_sent_{false};
    };

    void answer_front(answer reply, std::vector<action>& out);
    /// The refusal of a ticket that cannot be written on top of the head.
    std::optional<answer> refusal_for_ticket(const queued_ticket& item,
                                             const caught_up& current,
                                             const replica& local) const;

    std::deque<queued_ticket> queue_;
    bool writing_{false};
    head written_; ///< The head of the write in flight.
};

/// Returns `accepted` if `text`, the accepted ticket of that number, equals
/// `submitted`, otherwise `number_taken` with the operator that took the
/// number.
answer compare_tickets(const config::ticket& submitted,
                       const std::string& text);

} // namespace pimentoferry::tickets

#endif
