/// Reads the head of the tickets and brings a replica up to it, with the
/// parts of the compacted state where the replica is older than that.
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

/// The replica has everything that the head had.
struct caught_up {
    head head_;
    store::revision revision_{0}; ///< 0: the head is absent.
    base::time_point sent_;       ///< When the question was sent.
};

/// The store did not answer, or its content changed meanwhile.
struct read_failed {};

/// More operations are in flight.
struct read_continues {};

using read_progress = std::variant<caught_up, read_failed, read_continues>;

class head_reader {
public:
    bool busy() const { return busy_; }

    /// Begins unless a read is in flight.
    void
    begin(base::time_point now, call_table& calls, std::vector<action>& out);

    /// Handles the result of an operation with purpose `head`.
    read_progress handle(const store::outcome& outcome,
                         base::time_point now,
                         replica& copy,
                         call_table& calls,
                         std::vector<action>& out);

private:
    read_progress handle_head(const store::outcome& outcome,
                              base::time_point now,
                              replica& copy,
                              call_table& calls,
                              std::vector<action>& out);
    read_progress handle_part(const store::outcome& outcome,
                              base::time_point now,
                              replica& copy,
                              call_table& calls,
                              std::vector<action>& out);
    read_progress finish(replica& copy);
    read_progress fail();

    bool busy_{false};
    std::optional<head> head_; ///< While parts are read.
    store::revision revision_{0};
    base::time_point sent_;
    std::string state_text_;
    std::uint64_t next_part_{0};
};

} // namespace pimentoferry::tickets

#endif
