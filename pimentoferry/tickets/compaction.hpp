/// Moves the tickets of the head into a compacted state and the history.
///
/// The state parts and history keys are written first. One compare-and-swap
/// of the head then names the new generation and drops the tickets that the
/// generation includes. Several entries may compact concurrently: they use
/// different part keys, one of them wins the compare-and-swap, and the parts of
/// the others are deleted.
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

/// A compaction is abandoned after more than this many consecutive failures;
/// the next accepted ticket starts another one.
inline constexpr int compaction_failure_limit = 10;

class compaction {
public:
    compaction(base::instance_id self, std::size_t tickets)
        : self_(self), tickets_(tickets) {}

    bool busy() const { return step_ != step::idle; }

    /// Starts a compaction if the head `due` has reached its limits and no
    /// compaction is in progress. The tickets of the head must be those that
    /// led to the state of `local`.
    void begin(const head& due,
               base::time_point now,
               const replica& local,
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
        writing,  ///< Writes the state parts, then the history keys.
        reading,  ///< Reads the head for the compare-and-swap.
        swapping, ///< Writes the new head.
        listing,  ///< Lists the part keys to find obsolete ones.
        deleting, ///< Deletes obsolete parts.
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
    void collect_obsolete_parts(const store::listed& listed);

    base::instance_id self_;
    std::size_t tickets_; ///< Compacts at this many tickets.
    step step_{step::idle};
    std::uint64_t base_number_{0};
    std::string generation_;
    std::uint64_t parts_{0};
    /// Base number and generation of the head when last read or written.
    std::uint64_t current_base_{0};
    std::string current_generation_;
    std::deque<store::request> work_; ///< Remaining writes or deletions.
    int failures_{0};
};

/// Whether the head holds `tickets` tickets or `compaction_bytes` of them.
bool compaction_due(const head& value, std::size_t tickets);

} // namespace pimentoferry::tickets

#endif
