/// Relays calls to plain services. Idempotent calls are sent directly and are
/// retried at other replicas; all others go through the library `once` and are
/// sent at most once.
#ifndef PIMENTOFERRY_ENTRY_SERVICE_RELAY_HPP
#define PIMENTOFERRY_ENTRY_SERVICE_RELAY_HPP

#include "pimentoferry/entry/traffic_context.hpp"
#include "pimentoferry/http/exchange.hpp"
#include "pimentoferry/http/mailbox.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace pimentoferry::entry {

/// A call that the configuration declares for its service.
struct service_request {
    base::request_id request_;
    base::caller_name caller_;
    base::service_name service_;
    config::service_call declared_;
    std::string target_; ///< Path and query that are sent to the service.
};

/// Service and target parsed from `/svc/<service>/<path>`.
struct service_target {
    base::service_name service_;
    std::string target_;
};

/// Nothing when the form differs or the path contains a dot segment.
std::optional<service_target> parse_service_target(std::string_view target);

/// The matching declared call with the longest path prefix; null if none.
const config::service_call* find_service_call(const config::service& service,
                                              std::string_view method,
                                              std::string_view target);

class service_relay {
public:
    service_relay(traffic_context& traffic,
                  http::exchange& call,
                  service_request request);

    /// Runs until the caller has its answer or has disconnected.
    http::awaitable<void> run();

    void deliver(call_command command);

private:
    struct caller_disconnected {};
    using inbox_message = std::variant<call_command, caller_disconnected>;
    using send_result = std::variant<http::response, http::call_failure>;

    http::awaitable<void> run_idempotent();
    http::awaitable<void> run_once();
    http::awaitable<void> execute(call_command command);
    http::awaitable<void> send_once(once::send_call command);
    /// Tries replicas until one answers. Once a byte has been sent, only an
    /// idempotent call is retried.
    http::awaitable<send_result> send_with_retries(bool idempotent);
    http::awaitable<send_result> send_to(replica chosen, bool idempotent);
    std::vector<replica> candidates() const;
    http::awaitable<void> respond(http::response response);
    http::awaitable<void> refuse(base::refusal refusal);

    traffic_context& traffic_;
    http::exchange& call_;
    service_request request_;
    http::mailbox<inbox_message> inbox_;
    std::shared_ptr<http::cancellation> cancel_;
};

} // namespace pimentoferry::entry

#endif
