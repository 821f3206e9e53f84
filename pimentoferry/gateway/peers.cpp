#include "pimentoferry/gateway/peers.hpp"

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/log/log.hpp"
#include "pimentoferry/membership/ownership.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <ranges>

namespace pimentoferry::gateway {

namespace {

// Every change completes every watch, and each watch is a billed call to the
// store: with all of 87 gateways watching, these calls were the largest cost.
// Four watchers tolerate the loss of three, and a gateway that receives no
// response from them watches the store itself.
constexpr std::ptrdiff_t store_watcher_count = 4;

// Messages may come from senders that are not members; the number of addresses
// kept is limited to that of a large fleet.
constexpr std::size_t max_reply_addresses = 4096;

membership::member describe_self(const config::gateway_settings& settings,
                                 base::instance_id self) {
    membership::member member;
    member.instance_ = self;
    member.name_ = settings.name_;
    member.peer_address_ = settings.peer_address_;
    member.traffic_address_ = settings.traffic_address_;
    member.failure_domain_ = settings.failure_domain_;
    member.region_ = settings.region_;
    constexpr double millicores_per_core = 1000;
    member.millicores_ = static_cast<std::uint32_t>(settings.processor_share_ *
                                                    millicores_per_core);
    member.link_mbps_ = static_cast<std::uint32_t>(settings.link_mbps_);
    return member;
}

std::string_view to_string(membership::member_state state) {
    switch (state) {
    case membership::member_state::alive:
        return "alive";
    case membership::member_state::suspect:
        return "suspect";
    case membership::member_state::dead:
        return "dead";
    case membership::member_state::left:
        return "left";
    }
    return "unknown";
}

} // namespace

peers::peers(boost::asio::io_context& io,
             const config::gateway_settings& settings,
             base::instance_id self,
             peer_handlers handlers)
    : io_(io), handlers_(std::move(handlers)),
      swim_({describe_self(settings, self), self.value_}),
      random_(self.value_) {}

std::optional<std::string>
peers::open(const config::gateway_settings& settings) {
    const auto key = wire::parse_fleet_key(settings.fleet_key_);
    if (std::holds_alternative<wire::fleet_key_malformed>(key)) {
        return "fleet_key is not 64 hexadecimal digits";
    }
    auto opened = wire::peer_channel<peer_message>::open(
        io_, {settings.peer_address_, std::get<wire::fleet_key>(key)}, self(),
        [this](auto received) { receive(std::move(received)); },
        [](std::size_t bytes) {
            log::log_warn("peer_message_malformed",
                          {{"bytes", std::to_string(bytes)}});
        });
    if (const auto* failure = std::get_if<wire::listen_failed>(&opened)) {
        return base::to_string(failure->address_) + ": " +
               failure->system_message_;
    }
    channel_ = std::get<std::unique_ptr<wire::peer_channel<peer_message>>>(
        std::move(opened));
    handle(membership::start{}, base::clock::now());
    return std::nullopt;
}

void peers::tick(base::time_point now) {
    handle(membership::tick{}, now);
}

std::vector<base::instance_id> peers::others() const {
    std::vector<base::instance_id> found;
    std::ranges::transform(swim_.live(), std::back_inserter(found),
                           &membership::member::instance_);
    std::erase(found, self());
    return found;
}

void peers::send_to_all(const peer_message& message) {
    std::ranges::for_each(others(), [&](auto to) { send(to, message); });
}

void peers::send_to_random(peer_message message) {
    std::vector<base::instance_id> chosen;
    std::ranges::sample(others(), std::back_inserter(chosen), 1, random_);
    if (!chosen.empty()) {
        send(chosen.front(), std::move(message));
    }
}

std::vector<base::instance_id> peers::watchers() const {
    // A watcher forwards each change to many gateways.
    auto live = membership::strongest(swim_.live());
    const auto score = [](const membership::member& member) {
        return base::rendezvous_score("store watchers",
                                      member.instance_.value_);
    };
    std::ranges::sort(live, std::greater{}, score);
    std::vector<base::instance_id> chosen;
    std::ranges::transform(live | std::views::take(store_watcher_count),
                           std::back_inserter(chosen),
                           &membership::member::instance_);
    return chosen;
}

base::instance_id peers::owner_of(const base::service_name& service,
                                  const std::string& region) const {
    const membership::cell_location cell{base::cell_name{service.value_},
                                         region};
    const auto candidates =
        membership::cell_candidates(cell, {cell}, swim_.live());
    return candidates.empty() ? self() : candidates.front();
}

bool peers::watches_store() const {
    return std::ranges::count(watchers(), self()) > 0;
}

void peers::set_seeds(const std::vector<base::endpoint>& seeds,
                      base::time_point now) {
    handle(membership::seeds_updated{seeds}, now);
}

void peers::update_self(bool draining,
                        std::uint64_t configuration_version,
                        std::uint32_t in_flight,
                        base::time_point now) {
    handle(membership::self_changed{draining, configuration_version, in_flight},
           now);
}

void peers::leave(base::time_point now) {
    handle(membership::leave{}, now);
}

void peers::send(base::instance_id to, peer_message message) {
    if (!channel_) {
        return;
    }
    const auto* member = swim_.find(to);
    const auto reply_address = reply_addresses_.find(to);
    if (member != nullptr) {
        channel_->send(member->member_.peer_address_, std::move(message));
    } else if (reply_address != reply_addresses_.end()) {
        channel_->send(reply_address->second, std::move(message));
    }
}

void peers::handle(const membership::event& event, base::time_point now) {
    for (auto& action : swim_.handle(event, now)) {
        std::visit(
            base::overloaded{
                [this](const membership::send_message& a) { perform(a); },
                [this](const membership::member_changed& a) {
                    log::log_info(
                        "member",
                        {{"name", a.member_.name_},
                         {"instance", base::to_hex(a.member_.instance_.value_)},
                         {"state", std::string{to_string(a.member_.state_)}},
                         {"draining", a.member_.draining_ ? "yes" : "no"}});
                    handlers_.on_member_(a.member_);
                },
                [](const membership::gossip_received&) {}},
            action);
    }
}

void peers::perform(const membership::send_message& action) {
    if (!channel_) {
        return;
    }
    if (action.address_.port_ != 0) {
        channel_->send(action.address_, action.message_);
    } else {
        send(action.to_, action.message_);
    }
}

void peers::receive(wire::envelope<peer_message> received) {
    const auto from = received.from_;
    if (from == self()) {
        return;
    }
    const auto now = base::clock::now();
    if (reply_addresses_.size() >= max_reply_addresses) {
        reply_addresses_.clear();
    }
    reply_addresses_[from] = received.reply_to_;
    std::visit(
        base::overloaded{
            [&](membership::message& m) {
                handle(membership::peer_message{from, std::move(m)}, now);
            },
            [&](const replica_position& m) {
                handlers_.on_replica_position_(from, m);
            },
            [&](const replica_offer& m) {
                handlers_.on_replica_offer_(from, m);
            },
            [&](const replica_request& m) {
                handlers_.on_replica_request_(from, m);
            },
            [&](const replica_update& m) { handlers_.on_replica_update_(m); },
            [&](service_stream_message& m) {
                handlers_.on_stream_message_(from, std::move(m));
            },
            [&](const placement::stream_reply& m) {
                handlers_.on_stream_reply_(m);
            },
            [&](const blamed_parts& m) { handlers_.on_blamed_parts_(from, m); },
            [&](const sound_parts& m) { handlers_.on_sound_parts_(m); },
            [&](const heard_limits& m) { handlers_.on_heard_limits_(from, m); },
            [&](const service_permit_request& m) {
                handlers_.on_permit_request_(from, m);
            },
            [&](const permit_reply& m) { handlers_.on_permit_reply_(m); },
            [&](const tried_parts& m) { handlers_.on_tried_parts_(m); },
            [&](const refusing_instance& m) {
                handlers_.on_refusing_instance_(m);
            },
            [&](const leaving_instances& m) {
                handlers_.on_leaving_instances_(from, m);
            },
            [&](const account_use_report& m) {
                handlers_.on_account_use_report_(from, m);
            },
            [&](const account_use_confirmation& m) {
                handlers_.on_account_use_confirmation_(m);
            },
            [&](const credit_request& m) {
                handlers_.on_credit_request_(from, m);
            },
            [&](const credit_reply& m) { handlers_.on_credit_reply_(m); },
            [&](const account_levels& m) { handlers_.on_account_levels_(m); },
            [&](const service_place_message& m) {
                handlers_.on_place_message_(from, m);
            },
            [&](const routing::place_reply& m) {
                handlers_.on_place_reply_(m);
            },
            [&](const began_streams& m) { handlers_.on_began_streams_(m); },
            [&](const origin_query& m) { handlers_.on_origin_query_(from, m); },
            [&](const origin_reply& m) { handlers_.on_origin_reply_(from, m); },
            [&](const origin_search& m) {
                handlers_.on_origin_search_(from, m);
            },
            [&](const upstream_reach_report& m) {
                handlers_.on_upstream_reach_report_(from, m);
            }},
        received.message_);
}

} // namespace pimentoferry::gateway
