/// Reports of the traffic threads to the control thread, and the commands that
/// they receive from it.
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

/// Events that the traffic threads report to the decision objects.
using report = std::variant<requests::event, once::event>;

/// Passes a report to the control thread; callable from any thread.
using report_function = std::function<void(report)>;

/// Actions on one request, executed by the thread that holds the connection of
/// its caller.
using request_command = std::variant<requests::start_prefill,
                                     requests::start_import,
                                     requests::start_decode,
                                     requests::refuse,
                                     requests::complete_response>;

/// Actions on one at-most-once call, executed by that thread too.
using call_command =
    std::variant<once::send_call, once::replay_result, once::refuse_call>;

/// Generates the request ids of one traffic thread. The low byte of the id is
/// the number of the thread, so the thread of an action is found without a
/// table.
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

/// The number of the traffic thread that generated the id.
std::uint8_t thread_of(base::request_id id);

} // namespace pimentoferry::entry

#endif
