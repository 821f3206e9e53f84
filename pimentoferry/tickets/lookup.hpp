/// Looks up accepted tickets by number: in the replica, then in the history
/// keys, then in the head.
#ifndef PIMENTOFERRY_TICKETS_LOOKUP_HPP
#define PIMENTOFERRY_TICKETS_LOOKUP_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/state.hpp"
#include "pimentoferry/tickets/call_table.hpp"
#include "pimentoferry/tickets/replica.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::tickets {

class lookup {
public:
    /// Looks a ticket up and answers `history_found`, `history_absent` or
    /// `store_unavailable`.
    void query(const history_query& event,
               base::time_point now,
               const replica& local,
               call_table& calls,
               std::vector<action>& out);

    /// Compares the ticket with the accepted one of its number and answers as
    /// `compare_tickets` does, or `store_unavailable`.
    void compare(operator_request request,
                 config::ticket ticket,
                 base::time_point now,
                 call_table& calls,
                 std::vector<action>& out);

    /// Handles the result of an operation with purpose `lookup`.
    void handle(const store::result& result,
                base::time_point now,
                call_table& calls,
                std::vector<action>& out);

private:
    struct pending_lookup {
        operator_request request_;
        std::uint64_t number_{0};
        std::optional<config::ticket> ticket_; ///< Set for `compare`.
        bool in_head_{false};
    };

    void read(pending_lookup item,
              base::time_point now,
              call_table& calls,
              std::vector<action>& out);

    std::map<store::token, pending_lookup> pending_;
};

} // namespace pimentoferry::tickets

#endif
