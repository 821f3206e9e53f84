/// Reads the head of the tickets from the store and brings a replica up to it.
/// Also reads the parts of the compacted state if the replica is older than
/// that.
#ifndef PIMENTOFERRY_TICKETS_HEAD_READER_HPP
#define PIMENTOFERRY_TICKETS_HEAD_READER_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/tickets/call_table.hpp"
#include "pimentoferry/tickets/head.hpp"
#include "pimentoferry/tickets/replica.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::tickets {

/// The replica has applied every ticket of the head.
struct caught_up {
    head head_;
    store::revision revision_{0}; ///< 0 if the head does not exist.
    base::time_point sent_;       ///< When the read of the head was sent.
};

/// The store did not answer, its content changed between two reads, or the
/// replica is newer than the head that was read.
struct read_failed {};

/// The read needs more operations, which are in flight.
struct read_continues {};

using read_progress = std::variant<caught_up, read_failed, read_continues>;

class head_reader {
public:
    bool busy() const { return busy_; }

    /// Starts a read unless one is in flight.
    void
    begin(base::time_point now, call_table& calls, std::vector<action>& out);

    /// Handles the result of an operation with purpose `head`.
    read_progress handle(const store::outcome& outcome,
                         base::time_point now,
                         replica& local,
                         call_table& calls,
                         std::vector<action>& out);

private:
    read_progress handle_head(const store::outcome& outcome,
                              base::time_point now,
                              replica& local,
                              call_table& calls,
                              std::vector<action>& out);
    read_progress handle_part(const store::outcome& outcome,
                              base::time_point now,
                              replica& local,
                              call_table& calls,
                              std::vector<action>& out);
    read_progress finish(replica& local);
    read_progress fail();

    bool busy_{false};
    std::optional<head> head_; ///< Set while parts are being read.
    store::revision revision_{0};
    base::time_point sent_;
    std::string state_text_;
    std::uint64_t next_part_{0};
};

} // namespace pimentoferry::tickets

#endif
