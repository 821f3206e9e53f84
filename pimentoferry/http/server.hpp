/// HTTP server for callers.
///
///     auto result = http::server::listen(context, address, {}, handler);
///     if (auto* server = std::get_if<http::server>(&result)) { ... }
///     context.run();
///
/// A server belongs to one io_context that is run by one thread. Several
/// servers may listen on the same address; the kernel distributes connections
/// among them. The server answers malformed, truncated and oversized input with
/// a refusal and closes only the connection that sent it.
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
    /// All bodies of requests that are received or served at the same time; 0:
    /// no limit. A request over it is refused as not run.
    std::size_t body_budget_bytes_{0};
    std::size_t header_bytes_{std::size_t{16} << 10};
    /// For the head of a request, from its first byte; never more than
    /// `receive_timeout_`.
    base::milliseconds header_timeout_{30000};
    /// For the body of a request, from the end of its head.
    base::milliseconds receive_timeout_{30000};
    base::milliseconds idle_timeout_{60000}; ///< Between two requests.
    /// Without bytes that the caller accepts, see `exchange::set_deadline`.
    base::milliseconds write_timeout_{30000};
    /// Events of one stream that wait for a slow caller.
    std::size_t stream_buffer_bytes_{std::size_t{512} << 10};
    /// Events of all streams that wait for slow callers; 0: no limit. Beyond it
    /// a slow caller applies backpressure to its relay.
    std::size_t stream_budget_bytes_{0};
    /// A caller that has accepted nothing for this long may lose its answer,
    /// see `server::cut_longest_stalled`.
    base::milliseconds least_stall_{1000};
};

/// The server could not listen on the address.
struct listen_failure {
    base::endpoint address_;
    std::string reason_;
};

class server {
public:
    /// Starts to accept connections. With port 0 the kernel chooses a free
    /// port, which `address` returns.
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

    /// Replaces the limits. Open connections use the new limits from their next
    /// operation on.
    void set_limits(const server_limits& limits);

    /// Cuts off the answer whose caller has accepted nothing for the longest
    /// time, but at least for `server_limits::least_stall_`. That caller is the
    /// least likely to read on. Returns whether there was one.
    bool cut_longest_stalled();

    /// Accepts no more connections and closes the idle ones. Calls in progress
    /// are completed, and their connections close after the response.
    void stop();

private:
    explicit server(std::shared_ptr<internal::listener> listener);

    std::shared_ptr<internal::listener> listener_;
};

} // namespace pimentoferry::http

#endif
