#include "pimentoferry/entry/peer_net.hpp"

#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/wire/codec.hpp"
#include "pimentoferry/wire/fleet_key.hpp"

namespace pimentoferry::entry {

std::variant<std::unique_ptr<peer_net>, peer_net_failure>
open_peer_net(boost::asio::io_context& io,
              const config::settings& settings,
              base::instance_id self,
              peer_net::receive_function receive) {
    const auto key = wire::parse_fleet_key(settings.fleet_key_);
    if (std::holds_alternative<wire::fleet_key_malformed>(key)) {
        return peer_net_failure{"fleet_key is not 64 hexadecimal digits"};
    }
    auto opened = peer_net::open(
        io, {settings.peer_address_, std::get<wire::fleet_key>(key)}, self,
        std::move(receive), [](std::size_t bytes) {
            log_warn("peer_message_malformed",
                     {{"bytes", std::to_string(bytes)}});
        });
    if (const auto* failure = std::get_if<wire::listen_failed>(&opened)) {
        return peer_net_failure{base::to_string(failure->address_) + ": " +
                                failure->system_message_};
    }
    return std::get<std::unique_ptr<peer_net>>(std::move(opened));
}

} // namespace pimentoferry::entry
