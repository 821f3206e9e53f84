/// Finds accepted tickets by number: in the replica, then in the history keys,
/// then in the head.
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
    /// Answers `history_found`, `history_absent` or `store_unavailable`.
    void query(const history_query& event,
               base::time_point now,
               const replica& copy,
               call_table& calls,
               std::vector<action>& out);

    /// Answers whether the ticket is the accepted one of its number.
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
    struct question {
        operator_request request_;
        std::uint64_t number_{0};
        std::optional<config::ticket> ticket_; ///< To compare with.
        bool in_head_{false};
    };

    void ask(question item,
             base::time_point now,
             call_table& calls,
             std::vector<action>& out);

    std::map<store::token, question> questions_;
};

} // namespace pimentoferry::tickets

#endif
