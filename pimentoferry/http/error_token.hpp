/// Asio completion token for the sources of the I/O libraries.
#ifndef PIMENTOFERRY_HTTP_ERROR_TOKEN_HPP
#define PIMENTOFERRY_HTTP_ERROR_TOKEN_HPP

#include "pimentoferry/http/awaitable.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace pimentoferry::http::internal {

/// Token to await an operation; its error is stored in `error` instead of being
/// thrown.
inline auto into(boost::system::error_code& error) {
    return boost::asio::redirect_error(boost::asio::use_awaitable, error);
}

} // namespace pimentoferry::http::internal

#endif
