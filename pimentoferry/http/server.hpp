/// HTTP server for callers.
///
///     auto made = http::server::listen(context, address, {}, handler);
///     if (auto* server = std::get_if<http::server>(&made)) { ... }
///     context.run();
///
/// The server lives on one io_context that one thread runs. Several servers
/// may listen on the same address; the kernel spreads connections over them.
/// Malformed, truncated and oversized input is answered with a refusal and
/// ends its own connection only.
#ifndef PIMENTOFERRY_HTTP_SERVER_HPP
#define PIMENTOFERRY_HTTP_SERVER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/http/exchange.hpp"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace pimentoferry::http {

namespace internal {
class listener;
} // namespace internal

using handler = std::function<awaitable<void>(exchange&)>;

struct server_limits {
    std::size_t body_bytes_{std::size_t{4} << 20};
    std::size_t header_bytes_{std::size_t{16} << 10};
    /// For the head of a request once its first byte arrived; at most the
    /// next limit.
    base::milliseconds header_timeout_{30000};
    /// For the body of a request once its head arrived.
    base::milliseconds receive_timeout_{30000};
    base::milliseconds idle_timeout_{60000}; ///< Between two requests.
    base::milliseconds write_timeout_{30000};
};

/// The address could not be opened.
struct listen_failure {
    base::endpoint address_;
    std::string reason_;
};

class server {
public:
    /// Port 0 chooses a free port; see `address`.
    static std::variant<server, listen_failure>
    listen(boost::asio::io_context& context,
           const base::endpoint& address,
           const server_limits& limits,
           handler handle);

    server(server&& other) noexcept;
    server& operator=(server&& other) noexcept;
    /// Stops as `stop` does.
    ~server();

    base::endpoint address() const;
    std::size_t connection_count() const;

    /// Replaces the limits, also for what open connections send next.
    void set_limits(const server_limits& limits);

    /// Accepts no more connections and closes the idle ones. Calls in progress
    /// are completed, and their connections close after the answer.
    void stop();

private:
    explicit server(std::shared_ptr<internal::listener> listener);

    std::shared_ptr<internal::listener> listener_;
};

} // namespace pimentoferry::http

#endif
