/// Accepts tickets of operators, one at a time, by compare-and-swap of the
/// head.
///
/// A write whose answer is lost is never taken for granted: the head is read
/// again, and the ticket is accepted when the head holds it. A write that is
/// not found is repeated on the same revision, so it cannot take effect twice.
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

/// An operator waits no longer than this for the store.
inline constexpr base::milliseconds acceptance_limit{4000};
inline constexpr std::size_t acceptance_queue_limit = 64;

/// A ticket that needs a look into the history, because it is older than what
/// the replica holds.
struct old_ticket {
    operator_request request_;
    config::ticket ticket_;
};

class acceptance {
public:
    /// Queues a ticket, or answers at once when it is invalid.
    void
    submit(const apply& event, base::time_point now, std::vector<action>& out);

    /// Whether the head must be read before the next step.
    bool needs_head() const { return !queue_.empty() && !writing_; }

    /// The replica was brought up to the head: writes the ticket or answers.
    /// Returns tickets that need a look into the history.
    std::vector<old_ticket> handle_head(const caught_up& now_known,
                                        base::time_point now,
                                        replica& copy,
                                        call_table& calls,
                                        std::vector<action>& out);

    /// The result of the write. Returns the new head if the ticket was
    /// accepted.
    std::optional<head> handle_write(const store::outcome& outcome,
                                     replica& copy,
                                     std::vector<action>& out);

    /// Answers what waited for too long.
    void tick(base::time_point now, std::vector<action>& out);

private:
    struct waiting {
        operator_request request_;
        config::ticket ticket_;
        std::string text_; ///< Canonical.
        base::time_point deadline_;
        bool write_sent_{false};
    };

    void answer_front(answer reply, std::vector<action>& out);
    std::optional<answer> reason_against(const waiting& item,
                                         const caught_up& now_known,
                                         const replica& copy) const;

    std::deque<waiting> queue_;
    bool writing_{false};
    head written_; ///< While a write is in flight.
};

/// `accepted` when `text` is the ticket of that number, otherwise who took
/// the number.
answer compare_tickets(const config::ticket& asked, const std::string& text);

} // namespace pimentoferry::tickets

#endif
