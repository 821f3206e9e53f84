/// Detection of peers that fall silent.
///
/// For the sources of the I/O libraries; includes Asio.
#ifndef PIMENTOFERRY_HTTP_SILENCE_HPP
#define PIMENTOFERRY_HTTP_SILENCE_HPP

#include <boost/asio/ip/tcp.hpp>

namespace pimentoferry::http {

/// Lets the kernel end a connection whose peer stays silent: after about 3 s
/// without an answer to a keep-alive probe or to sent bytes. A peer without
/// power or behind a partition sends no reset.
void detect_silence(boost::asio::ip::tcp::socket& socket);

} // namespace pimentoferry::http

#endif
