#include "pimentoferry/entry/peer_net.hpp"

#include "pimentoferry/entry/log.hpp"
#include "pimentoferry/wire/codec.hpp"
#include "pimentoferry/wire/fleet_key.hpp"

namespace pimentoferry::entry {

std::variant<std::unique_ptr<peer_net>, peer_net_failure>
peer_net::open(boost::asio::io_context& io,
               const config::settings& settings,
               base::instance_id self,
               receive_function receive) {
    const auto key = wire::parse_fleet_key(settings.fleet_key_);
    if (std::holds_alternative<wire::fleet_key_malformed>(key)) {
        return peer_net_failure{"fleet_key is not 64 hexadecimal digits"};
    }
    const wire::peer_hub_options options{settings.peer_address_,
                                         std::get<wire::fleet_key>(key)};
    auto opened = wire::peer_hub::open(
        io, options, [receive = std::move(receive)](const std::string& bytes) {
            auto decoded = wire::decode<envelope>(bytes);
            if (auto* received = std::get_if<envelope>(&decoded)) {
                receive(std::move(*received));
            } else {
                log_warn("peer_message_malformed",
                         {{"bytes", std::to_string(bytes.size())}});
            }
        });
    if (const auto* failure = std::get_if<wire::listen_failed>(&opened)) {
        return peer_net_failure{base::to_string(failure->address_) + ": " +
                                failure->system_message_};
    }
    std::unique_ptr<peer_net> net{new peer_net{self, settings.peer_address_}};
    net->hub_ = std::get<std::unique_ptr<wire::peer_hub>>(std::move(opened));
    return net;
}

void peer_net::send(const base::endpoint& to, peer_message message) {
    const envelope sealed{std::move(message), self_, address_};
    hub_->send(to, wire::encode(sealed));
}

} // namespace pimentoferry::entry
