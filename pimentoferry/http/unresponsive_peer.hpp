/// Detection of peers that no longer respond at the TCP level.
///
/// For the sources of the I/O libraries; includes Asio.
#ifndef PIMENTOFERRY_HTTP_UNRESPONSIVE_PEER_HPP
#define PIMENTOFERRY_HTTP_UNRESPONSIVE_PEER_HPP

#include <boost/asio/ip/tcp.hpp>

namespace pimentoferry::http {

/// Makes the kernel abort a connection without outstanding bytes whose peer has
/// not acknowledged keep-alive probes for about 3 s. A peer that lost its power
/// or is behind a network partition sends no reset. The kernel sends no such
/// probes while bytes are outstanding; `internal::connection_watch` covers
/// these connections.
void detect_unresponsive_peer(boost::asio::ip::tcp::socket& socket);

} // namespace pimentoferry::http

#endif
