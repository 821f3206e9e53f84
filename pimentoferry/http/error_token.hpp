/// Completion token of the sources of the I/O libraries.
#ifndef PIMENTOFERRY_HTTP_ERROR_TOKEN_HPP
#define PIMENTOFERRY_HTTP_ERROR_TOKEN_HPP

#include "pimentoferry/http/awaitable.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pimentoferry::http::internal {

/// Awaits an operation and stores its error instead of throwing it.
inline auto into(boost::system::error_code& error) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace pimentoferry::http::internal

#endif
