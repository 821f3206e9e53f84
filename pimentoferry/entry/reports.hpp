/// What traffic threads report to the control thread, and what they are told.
#ifndef PIMENTOFERRY_ENTRY_REPORTS_HPP
#define PIMENTOFERRY_ENTRY_REPORTS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/once/events.hpp"
#include "pimentoferry/requests/events.hpp"

#include <cstdint>
#include <functional>
#include <variant>
#include <vector>

namespace pimentoferry::entry {

/// Events of the traffic threads for the decision objects.
using report = std::variant<requests::event, once::event>;

/// Passes a report to the control thread; callable from any thread.
using report_function = std::function<void(report)>;

/// Actions on one request, executed by the thread that holds its caller.
using request_command = std::variant<requests::start_prefill,
                                     requests::start_import,
                                     requests::start_decode,
                                     requests::refuse,
                                     requests::complete_response>;

using call_command =
    std::variant<once::send_call, once::replay_result, once::refuse_call>;

/// The request ids of one traffic thread. The thread is the low byte of the
/// id, so that an action finds its thread without a table.
class request_id_source {
public:
    request_id_source(base::instance_id instance, std::uint8_t thread)
        : instance_(instance), thread_(thread) {}

    base::request_id next();

private:
    base::instance_id instance_;
    std::uint8_t thread_;
    std::uint64_t sequence_{0};
};

/// The thread that made the id.
std::uint8_t thread_of(base::request_id id);

} // namespace pimentoferry::entry

#endif
