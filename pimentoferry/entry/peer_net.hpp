/// The channel between entries, which carries the messages of all libraries in
/// one envelope type.
#ifndef PIMENTOFERRY_ENTRY_PEER_NET_HPP
#define PIMENTOFERRY_ENTRY_PEER_NET_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/membership/messages.hpp"
#include "pimentoferry/once/messages.hpp"
#include "pimentoferry/placement/messages.hpp"
#include "pimentoferry/tickets/messages.hpp"
#include "pimentoferry/wire/peer_channel.hpp"

#include <memory>
#include <string>
#include <tuple>
#include <variant>

namespace pimentoferry::entry {

/// A message to the owner of a cell.
struct cell_message {
    base::cell_name cell_;
    placement::to_owner message_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.cell_, self.message_);
    }
};

/// The index of the alternative is the type of the message on the wire, so
/// new alternatives are added at the end.
using peer_message = std::variant<membership::message,
                                  tickets::message,
                                  cell_message,
                                  placement::to_entry,
                                  once::to_owner,
                                  once::to_entry>;

using envelope = wire::envelope<peer_message>;
using peer_net = wire::peer_channel<peer_message>;

/// Why the channel could not be opened.
struct peer_net_failure {
    std::string reason_;
};

/// Opens the channel on the peer address of the settings. `receive` is called
/// on `io` for each message that arrives.
std::variant<std::unique_ptr<peer_net>, peer_net_failure>
open_peer_net(boost::asio::io_context& io,
              const config::settings& settings,
              base::instance_id self,
              peer_net::receive_function receive);

} // namespace pimentoferry::entry

#endif
