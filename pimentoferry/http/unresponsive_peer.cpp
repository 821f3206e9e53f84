#include "pimentoferry/http/unresponsive_peer.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimentoferry::http {

namespace {

namespace asio = boost::asio;

// The kernel sends a probe after 1 s without traffic and then each second; two
// unacknowledged probes abort the connection after 3 s.
constexpr int idle_before_probe_s = 1;
constexpr int probe_interval_s = 1;
constexpr int max_unanswered_probes = 2;

template <int Level, int Name>
using integer_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void detect_unresponsive_peer(asio::ip::tcp::socket& socket) {
    // A connection without these options still works; it only takes longer to
    // detect an unresponsive peer, so failures are not reported.
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPIDLE>{idle_before_probe_s},
        ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPINTVL>{probe_interval_s}, ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPCNT>{max_unanswered_probes},
        ignored);
}

} // namespace pimentoferry::http
