/// Coroutine type of the I/O libraries.
#ifndef PIMENTOFERRY_HTTP_AWAITABLE_HPP
#define PIMENTOFERRY_HTTP_AWAITABLE_HPP

// Boost 1.74 uses std::exchange in awaitable.hpp without including this.
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace pimentoferry::http {

/// Result of an asynchronous function. It runs on the io_context that spawned
/// it, and its failures are part of `T`: no exception leaves it.
template <class T>
using awaitable = boost::asio::awaitable<T>;

} // namespace pimentoferry::http

#endif
