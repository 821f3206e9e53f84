#include "pimentoferry/http/silence.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace pimentoferry::http {

namespace {

namespace asio = boost::asio;

// Probes after 1 s of idleness, then each second; two without an answer end
// the connection. Together with the limit for unacknowledged bytes a silent
// peer is noticed within 3 s.
constexpr int idle_before_probe_s = 1;
constexpr int probe_interval_s = 1;
constexpr int unanswered_probes = 2;
constexpr int unacknowledged_limit_ms = 3000;

template <int Level, int Name>
using integer_option = asio::detail::socket_option::integer<Level, Name>;

} // namespace

void detect_silence(asio::ip::tcp::socket& socket) {
    // A connection without these options still works; it only takes longer
    // to notice a silent peer, so failures are not reported.
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive{true}, ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPIDLE>{idle_before_probe_s},
        ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPINTVL>{probe_interval_s}, ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_KEEPCNT>{unanswered_probes}, ignored);
    socket.set_option(
        integer_option<IPPROTO_TCP, TCP_USER_TIMEOUT>{unacknowledged_limit_ms},
        ignored);
}

} // namespace pimentoferry::http
