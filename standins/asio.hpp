/// Aliases and coroutine helpers for Boost.Asio and Beast; the stand-ins run
/// single-threaded.
#ifndef PIMENTOFERRY_STANDINS_ASIO_HPP
#define PIMENTOFERRY_STANDINS_ASIO_HPP

// Boost 1.74's awaitable.hpp uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>

namespace pimentoferry::standins {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using error_code = boost::system::error_code;

using steady = std::chrono::steady_clock;
using time_point = steady::time_point;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Waits until `deadline` or until the timer is cancelled.
inline net::awaitable<void> wait_until(net::steady_timer& timer,
                                       time_point deadline) {
    error_code ignored;
    timer.expires_at(deadline);
    co_await timer.async_wait(net::redirect_error(net::use_awaitable, ignored));
}

/// Waits until `deadline` on a local timer, which cannot be cancelled.
inline net::awaitable<void> sleep_until(net::any_io_executor executor,
                                        time_point deadline) {
    net::steady_timer timer{executor};
    co_await wait_until(timer, deadline);
}

inline net::awaitable<void> sleep_for(net::any_io_executor executor,
                                      microseconds duration) {
    co_await sleep_until(std::move(executor), steady::now() + duration);
}

} // namespace pimentoferry::standins

#endif
