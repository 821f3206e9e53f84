/// Relays calls of plain services: idempotent ones directly, with retries at
/// other replicas; the others through the library `once`, sent at most once.
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

/// A call that the tickets declare.
struct service_request {
    base::request_id request_;
    base::caller_name caller_;
    base::service_name service_;
    config::service_call declared_;
    std::string target_; ///< Path and query as the service sees them.
};

/// The service and the target of `/svc/<service>/<path>`.
struct service_target {
    base::service_name service_;
    std::string target_;
};

std::optional<service_target> parse_service_target(std::string_view target);

/// The declared call that fits, with the longest path prefix.
const config::service_call* find_service_call(const config::service& service,
                                              std::string_view method,
                                              std::string_view target);

class service_relay {
public:
    service_relay(traffic_context& traffic,
                  http::exchange& call,
                  service_request request);

    /// Runs until the caller has its answer or is gone.
    http::awaitable<void> run();

    void deliver(call_command command);

private:
    struct caller_left {};
    using item = std::variant<call_command, caller_left>;
    using send_result = std::variant<http::response, http::call_failure>;

    http::awaitable<void> run_idempotent();
    http::awaitable<void> run_once();
    http::awaitable<void> obey(call_command command);
    http::awaitable<void> send_once(once::send_call command);
    /// Tries replicas until one answers. A call of which a byte was sent is
    /// repeated only when it is idempotent.
    http::awaitable<send_result> send(bool idempotent);
    http::awaitable<send_result> send_to(replica chosen, bool idempotent);
    std::vector<replica> candidates() const;
    http::awaitable<void> answer(http::response answer);
    http::awaitable<void> refuse(base::refusal refusal);

    traffic_context& traffic_;
    http::exchange& call_;
    service_request request_;
    http::mailbox<item> items_;
    std::shared_ptr<http::cancellation> cancel_;
};

} // namespace pimentoferry::entry

#endif
