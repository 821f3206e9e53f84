// Executes the actions of the failure detector and passes its view of the fleet
// on to the other decision objects.

#include "pimentoferry/base/hash.hpp"
#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/log.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::entry {

namespace {

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

// An entry of a later version may send a code that this version does not
// define.
void replace_unknown_code(placement::to_entry& message) {
    auto* refusal = std::get_if<placement::placement_refusal>(&message);
    if (refusal != nullptr &&
        static_cast<std::size_t>(refusal->code_) >= base::refusal_code_count) {
        refusal->code_ = base::refusal_code::internal_error;
    }
}

// Join messages arrive from instances that are not members yet. The table of
// their addresses is cleared when it holds more than a large fleet has.
constexpr std::size_t reply_address_limit = 4096;

} // namespace

std::optional<peer_net_failure> control::open_peers() {
    auto opened =
        open_peer_net(io_, settings_, instance_, [this](envelope received) {
            receive(std::move(received));
            handle_queue();
            arm_timer();
        });
    if (auto* failure = std::get_if<peer_net_failure>(&opened)) {
        return std::move(*failure);
    }
    peers_ = std::get<std::unique_ptr<peer_net>>(std::move(opened));
    return std::nullopt;
}

void control::perform(const membership::action& action) {
    std::visit(base::overloaded{
                   [this](const membership::send_message& a) {
                       if (a.address_.port_ != 0) {
                           peers_->send(a.address_, a.message_);
                       } else {
                           send_to(a.to_, a.message_);
                       }
                   },
                   [this](const membership::member_changed& a) {
                       log_debug("member",
                                 {{"name", a.member_.name_},
                                  {"state",
                                   std::string{to_string(a.member_.state_)}}});
                       view_changed_ = true;
                       update_ended_instances(a.member_);
                   },
                   [this](const membership::gossip_received& a) {
                       apply_gossip(a.item_);
                   }},
               action);
}

// The cell owners cancel the attempts of an instance that is dead or has left.
void control::update_ended_instances(const membership::member& member) {
    const bool ended = member.state_ == membership::member_state::dead ||
                       member.state_ == membership::member_state::left;
    if (!ended) {
        ended_instances_.erase(member.instance_);
    } else if (ended_instances_.insert(member.instance_).second) {
        log_info("entry_ended",
                 {{"name", member.name_},
                  {"instance", base::to_hex(member.instance_.value_)},
                  {"state", std::string{to_string(member.state_)}}});
        notify_all_schedulers(placement::entry_dead{member.instance_});
    }
}

void control::apply_gossip(const membership::gossip_item& item) {
    std::visit(base::overloaded{
                   [this](const membership::crash_mark& m) {
                       raise(requests::event{requests::crash_mark_received{
                           m.fingerprint_, m.crashes_, m.remaining_}});
                   },
                   [this](const membership::leaving_upstream& m) {
                       log_info("leaving", {{"upstream", m.upstream_.value_}});
                       refresh_leaving();
                   },
                   [this](const membership::cell_headroom&) {
                       snapshot_changed_ = true;
                   },
                   [this](const auto&) { view_changed_ = true; }},
               item);
}

void control::receive(envelope received) {
    const auto from = received.from_;
    if (from == instance_) {
        return;
    }
    if (reply_addresses_.size() >= reply_address_limit) {
        reply_addresses_.clear();
    }
    reply_addresses_[from] = received.reply_to_;
    raise(tickets::event{tickets::peer_frame_received{from}});
    std::visit(base::overloaded{
                   [this, from](membership::message& m) {
                       raise(membership::event{
                           membership::peer_message{from, std::move(m)}});
                   },
                   [this, from](tickets::message& m) {
                       raise(tickets::event{
                           tickets::peer_message{from, std::move(m)}});
                   },
                   [this, from](cell_message& m) {
                       raise(cell_request{from, std::move(m)});
                   },
                   [this, from](placement::to_entry& m) {
                       replace_unknown_code(m);
                       raise(requests::event{
                           requests::owner_reply_received{std::move(m), from}});
                   },
                   [this, from](once::to_owner& m) {
                       raise(once::event{
                           once::owner_message_received{from, std::move(m)}});
                   },
                   [this, from](once::to_entry& m) {
                       raise(once::event{
                           once::entry_message_received{from, std::move(m)}});
                   }},
               received.message_);
}

void control::send_to(base::instance_id to, peer_message message) {
    const auto* found = swim_.find(to);
    if (found != nullptr) {
        peers_->send(found->member_.peer_address_, std::move(message));
        return;
    }
    const auto reply = reply_addresses_.find(to);
    if (reply != reply_addresses_.end()) {
        peers_->send(reply->second, std::move(message));
    }
}

void control::set_seeds() {
    auto seeds = settings_.peers_;
    std::ranges::copy(store_seeds_, std::back_inserter(seeds));
    std::ranges::copy(platform_seeds_, std::back_inserter(seeds));
    raise(membership::event{membership::seeds_updated{std::move(seeds)}});
}

void control::publish_self() {
    published_in_flight_ = in_flight();
    raise(membership::event{membership::self_changed{
        drain_.begun(), tickets_.number(),
        static_cast<std::uint32_t>(published_in_flight_)}});
    view_changed_ = true;
}

// The view is refreshed at most once per tick, because each gossip message may
// change it.
void control::refresh_view() {
    if (published_in_flight_ != in_flight()) {
        publish_self();
        handle_queue();
    }
    if (!view_changed_) {
        return;
    }
    view_changed_ = false;
    snapshot_changed_ = true;
    tickets::peers_updated update;
    for (const auto& member : swim_.live()) {
        if (member.instance_ != instance_) {
            update.live_.push_back(
                {member.instance_, member.name_, member.applied_ticket_});
        }
    }
    update.left_ = swim_.left();
    raise(tickets::event{std::move(update)});
    raise_once_view();
    refresh_topology();
    handle_queue();
}

void control::raise_once_view() {
    once::view_changed view;
    for (const auto& member : swim_.live()) {
        view.live_.push_back({member.instance_, member.draining_});
    }
    for (const auto& [shard, owner] : swim_.gossip().shard_owners()) {
        view.owners_.push_back({shard, owner.epoch_, owner.owner_});
    }
    raise(once::event{std::move(view)});
}

// Cell ownership is computed for the whole fleet, so it is recomputed only when
// one of its inputs has changed.
void control::refresh_topology() {
    std::uint64_t hash = routing_->ticket_number_ + 1;
    for (const auto& member : swim_.live()) {
        const auto part = base::hash_combine(member.instance_.value_,
                                             member.draining_ ? 1 : 0);
        hash = base::hash_combine(hash, part);
    }
    if (hash != topology_hash_) {
        topology_hash_ = hash;
        refresh_cells();
    }
}

void control::step_registration(base::time_point now) {
    const bool no_other_entries = swim_.live().size() <= 1;
    auto request = registration_.next(no_other_entries, now);
    if (!request) {
        return;
    }
    store_.submit({{}, *std::move(request)}, [this](const store::result& r) {
        const auto seeds =
            registration_.finished(r.outcome_, base::clock::now());
        if (seeds) {
            store_seeds_ = *seeds;
            set_seeds();
            handle_queue();
        }
    });
}

} // namespace pimentoferry::entry
