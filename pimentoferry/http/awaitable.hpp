/// Coroutine type of the I/O libraries.
#ifndef PIMENTOFERRY_HTTP_AWAITABLE_HPP
#define PIMENTOFERRY_HTTP_AWAITABLE_HPP

// Asio in Boost 1.74 uses std::exchange in awaitable.hpp without including
// <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>

namespace pimentoferry::http {

/// Result of an asynchronous function. The function runs on the io_context that
/// spawned it and reports failures in `T`; it throws no exceptions.
template <class T>
using awaitable = boost::asio::awaitable<T>;

} // namespace pimentoferry::http

#endif
