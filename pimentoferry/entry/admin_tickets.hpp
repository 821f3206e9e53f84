/// Answers to operators about tickets that need no decision.
#ifndef PIMENTOFERRY_ENTRY_ADMIN_TICKETS_HPP
#define PIMENTOFERRY_ENTRY_ADMIN_TICKETS_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/config/state.hpp"

#include <string>
#include <vector>

namespace pimentoferry::entry {

/// Whether the ticket could be applied to the state.
admin::admin_answer validate_ticket(const config::state& state,
                                    const std::string& ticket);

/// What the ticket would change.
admin::admin_answer diff_ticket(const config::state& state,
                                const std::string& ticket);

/// Number, operator, reason and touched objects of each ticket, as JSON.
admin::admin_answer list_tickets(const std::vector<std::string>& tickets);

} // namespace pimentoferry::entry

#endif
