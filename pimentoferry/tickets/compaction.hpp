/// Moves the tickets of the head into a compacted state and the history.
///
/// The state parts and history keys are written first. One compare-and-swap
/// of the head then names the new generation and drops the tickets it
/// contains. Several entries may compact at once: their part keys differ, one
/// of them wins the head, and the parts of the others are deleted.
#ifndef PIMENTOFERRY_TICKETS_COMPACTION_HPP
#define PIMENTOFERRY_TICKETS_COMPACTION_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/tickets/call_table.hpp"
#include "pimentoferry/tickets/head.hpp"
#include "pimentoferry/tickets/replica.hpp"

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace pimentoferry::tickets {

/// A compaction is given up after this many failed operations in a row; the
/// next acceptance begins another.
inline constexpr int compaction_failure_limit = 10;

class compaction {
public:
    compaction(base::instance_id self, std::size_t tickets)
        : self_(self), tickets_(tickets) {}

    bool busy() const { return step_ != step::idle; }

    /// Begins if the head of `copy` is due and nothing is in progress. The
    /// head's tickets must be those that led to the replica's state.
    void begin(const head& due,
               base::time_point now,
               const replica& copy,
               call_table& calls,
               std::vector<action>& out);

    /// Handles the result of an operation with purpose `compaction`.
    void handle(const store::outcome& outcome,
                base::time_point now,
                call_table& calls,
                std::vector<action>& out);

private:
    enum class step : std::uint8_t {
        idle,
        writing,  ///< State parts, then history keys.
        reading,  ///< The head, to swap it.
        swapping, ///< The head.
        listing,  ///< Part keys, to find garbage.
        deleting, ///< Garbage parts.
    };

    void
    advance(base::time_point now, call_table& calls, std::vector<action>& out);
    void issue(store::request request,
               base::time_point now,
               call_table& calls,
               std::vector<action>& out);
    void handle_head(const store::outcome& outcome,
                     base::time_point now,
                     call_table& calls,
                     std::vector<action>& out);
    void collect_garbage(const store::listed& listed);

    base::instance_id self_;
    std::size_t tickets_; ///< Threshold.
    step step_{step::idle};
    std::uint64_t base_number_{0};
    std::string generation_;
    std::uint64_t parts_{0};
    /// What the head named when it was last read or written.
    std::uint64_t current_base_{0};
    std::string current_generation_;
    std::deque<store::request> work_; ///< Writes or deletions left.
    int failures_{0};
};

/// Whether the head has grown to the number of tickets, or too large.
bool compaction_due(const head& value, std::size_t tickets);

} // namespace pimentoferry::tickets

#endif
