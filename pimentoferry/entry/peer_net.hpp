/// Messages between entries: one envelope for all libraries.
#ifndef PIMENTOFERRY_ENTRY_PEER_NET_HPP
#define PIMENTOFERRY_ENTRY_PEER_NET_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/membership/messages.hpp"
#include "pimentoferry/once/messages.hpp"
#include "pimentoferry/placement/messages.hpp"
#include "pimentoferry/tickets/messages.hpp"
#include "pimentoferry/wire/peer_hub.hpp"

#include <functional>
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

struct envelope {
    peer_message message_;
    base::instance_id from_;
    /// Where the sender is reached, also by a receiver that does not know it
    /// yet; links carry frames in one direction only.
    base::endpoint reply_to_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.message_, self.from_, self.reply_to_);
    }
};

/// Why the links could not be opened.
struct peer_net_failure {
    std::string reason_;
};

class peer_net {
public:
    using receive_function = std::function<void(envelope)>;

    static std::variant<std::unique_ptr<peer_net>, peer_net_failure>
    open(boost::asio::io_context& io,
         const config::settings& settings,
         base::instance_id self,
         receive_function receive);

    void send(const base::endpoint& to, peer_message message);

    wire::peer_hub_stats stats() const { return hub_->stats(); }

private:
    peer_net(base::instance_id self, base::endpoint address)
        : self_(self), address_(std::move(address)) {}

    base::instance_id self_;
    base::endpoint address_;
    std::unique_ptr<wire::peer_hub> hub_;
};

} // namespace pimentoferry::entry

#endif
