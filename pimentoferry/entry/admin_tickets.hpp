/// Answers operator requests about tickets from the given data alone, without
/// the ticket log.
#ifndef PIMENTOFERRY_ENTRY_ADMIN_TICKETS_HPP
#define PIMENTOFERRY_ENTRY_ADMIN_TICKETS_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/config/state.hpp"

#include <string>
#include <vector>

namespace pimentoferry::entry {

/// Answers whether the ticket can be applied to the state.
admin::admin_answer validate_ticket(const config::state& state,
                                    const std::string& ticket);

/// Lists what the ticket would change in the state.
admin::admin_answer diff_ticket(const config::state& state,
                                const std::string& ticket);

/// Lists number, operator, reason and touched objects of each ticket as JSON;
/// texts that are no tickets are skipped.
admin::admin_answer list_tickets(const std::vector<std::string>& tickets);

} // namespace pimentoferry::entry

#endif
