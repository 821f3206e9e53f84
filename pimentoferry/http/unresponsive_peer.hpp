/// Detection of peers that no longer respond at the TCP level.
///
/// For the sources of the I/O libraries; includes Asio.
#ifndef PIMENTOFERRY_HTTP_UNRESPONSIVE_PEER_HPP
#define PIMENTOFERRY_HTTP_UNRESPONSIVE_PEER_HPP

#include <boost/asio/ip/tcp.hpp>

namespace pimentoferry::http {

/// Makes the kernel abort a connection whose peer has acknowledged neither
/// keep-alive probes nor sent bytes for about 3 s. A peer that lost its power
/// or is behind a network partition sends no reset.
void detect_unresponsive_peer(boost::asio::ip::tcp::socket& socket);

} // namespace pimentoferry::http

#endif
