/// The text of the reasons why an entry serves or refuses new work, for log
/// lines and the status of the entry.
#ifndef PIMENTOFERRY_ENTRY_SERVING_TEXT_HPP
#define PIMENTOFERRY_ENTRY_SERVING_TEXT_HPP

#include "pimentoferry/tickets/events.hpp"

#include <string_view>

namespace pimentoferry::entry {

inline std::string_view reason_text(tickets::serving_reason reason) {
    switch (reason) {
    case tickets::serving_reason::in_force:
        return "in_force";
    case tickets::serving_reason::no_configuration:
        return "no_configuration";
    case tickets::serving_reason::unconfirmed:
        return "unconfirmed";
    case tickets::serving_reason::isolated:
        return "isolated";
    case tickets::serving_reason::partitioned:
        return "partitioned";
    case tickets::serving_reason::behind:
        return "behind";
    }
    return "unknown";
}

} // namespace pimentoferry::entry

#endif
