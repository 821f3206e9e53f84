/// HTTP server of the administration interface.
///
/// It serves operators, health checks and metrics, whose small, complete
/// responses the cxxtools server handles well. Streams to callers use another
/// server, because this one buffers a body until it is complete.
///
///     auto opened = admin::admin_server::open(
///         {settings.admin_address_},
///         [](const admin::admin_request& request) {
///             return admin::admin_answer{200, "text/plain", "ok\n"};
///         });
///
/// The handler runs on threads of the server, several at a time, and must
/// return within its own time limit.
#ifndef PIMENTOFERRY_ADMIN_ADMIN_SERVER_HPP
#define PIMENTOFERRY_ADMIN_ADMIN_SERVER_HPP

#include "pimentoferry/admin/messages.hpp"
#include "pimentoferry/base/ids.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace pimentoferry::admin {

struct admin_server_options {
    base::endpoint listen_;
};

/// Longest request body that is accepted; a longer one gets status 413.
inline constexpr std::size_t max_body_bytes = std::size_t{4} << 20U;

/// The listening socket could not be opened.
struct listen_failed {
    base::endpoint address_;
    std::string system_message_;
};

namespace internal {
struct server_state;
}

class admin_server {
public:
    using handler = std::function<admin_answer(const admin_request&)>;

    /// Binds the address and starts to serve requests with `handle`.
    static std::variant<std::unique_ptr<admin_server>, listen_failed>
    open(const admin_server_options& options, handler handle);

    /// Stops the server and ends its threads.
    ~admin_server();
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;

private:
    explicit admin_server(std::unique_ptr<internal::server_state> state);

    std::unique_ptr<internal::server_state> state_;
};

} // namespace pimentoferry::admin

#endif
