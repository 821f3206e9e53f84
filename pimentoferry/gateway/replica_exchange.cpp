#include "pimentoferry/gateway/replica_exchange.hpp"

#include "pimentoferry/log/log.hpp"

#include <algorithm>
#include <iterator>

namespace pimentoferry::gateway {

namespace {

// A change that only some gateways receive reaches the others in about two
// rounds; a configuration has to take effect everywhere within 2 s.
constexpr base::milliseconds compare_interval{500};
// A position and a small difference cross the fleet's network once each.
constexpr base::milliseconds answer_limit{150};
// A configuration of some hundred routes; registrations are far smaller.
constexpr std::size_t large_update_bytes = std::size_t{64} << 10;
// Requests of callers wait for as long behind an update that is sent.
constexpr base::milliseconds longest_link_use{250};

} // namespace

replica_exchange::replica_exchange(peers& peer_gateways,
                                   store_follower& follower,
                                   double link_mbps)
    : peers_(peer_gateways), follower_(follower),
      own_link_(store::rate_of_mbps(link_mbps)), sending_(own_link_),
      awaited_(own_link_), random_(peer_gateways.self().value_) {}

void replica_exchange::tick(base::time_point now) {
    if (now >= next_compare_) {
        next_compare_ = now + compare_interval;
        next_watcher_at_ = now + answer_limit;
        unconfirmed_by_ = send_position_to_one(peers_.watchers(), now);
        send_position_to_one(peers_.others(), now);
    } else if (unconfirmed_by_ && now >= next_watcher_at_) {
        send_position_to_one(watchers_without(*unconfirmed_by_), now);
        unconfirmed_by_.reset();
    }
}

std::vector<base::instance_id>
replica_exchange::watchers_without(base::instance_id excluded) {
    auto watchers = peers_.watchers();
    std::erase(watchers, excluded);
    return watchers;
}

std::optional<base::instance_id> replica_exchange::send_position_to_one(
    std::vector<base::instance_id> candidates, base::time_point now) {
    std::erase(candidates, peers_.self());
    std::vector<base::instance_id> chosen;
    std::ranges::sample(candidates, std::back_inserter(chosen), 1, random_);
    if (chosen.empty()) {
        return std::nullopt;
    }
    peers_.send(chosen.front(), replica_position{follower_.replica().current(),
                                                 follower_.confirmed(now)});
    return chosen.front();
}

bool replica_exchange::may_send_large(std::size_t bytes,
                                      bool receiver_confirmed,
                                      base::time_point now) const {
    const bool suits = !receiver_confirmed || peers_.watches_store() ||
                       own_link_.duration_of(bytes) <= longest_link_use;
    return suits && sending_.accepts(now);
}

void replica_exchange::receive(base::instance_id from,
                               const replica_position& message) {
    const auto now = base::clock::now();
    auto update = follower_.update_since(message.at_, now);
    const bool ahead = update.delta_.end() > message.at_;
    if (!update.current_ && !ahead) {
        return;
    }
    const auto bytes = update.delta_.bytes();
    if (bytes < large_update_bytes) {
        peers_.send(from, std::move(update));
    } else if (may_send_large(bytes, message.confirmed_, now)) {
        peers_.send(from, replica_offer{update.delta_.end(), bytes});
    }
}

void replica_exchange::receive(base::instance_id from,
                               const replica_offer& message) {
    const auto now = base::clock::now();
    const auto own = follower_.replica().current();
    if (message.bytes_ == 0) {
        awaited_.declined(from);
        return;
    }
    if (message.end_ <= own || !awaited_.may_ask(now)) {
        return;
    }
    awaited_.asked(from, message.end_, message.bytes_, now);
    if (const auto until = awaited_.expected_until()) {
        follower_.expect_update(*until);
    }
    peers_.send(from, replica_request{own});
}

void replica_exchange::receive(base::instance_id from,
                               const replica_request& message) {
    const auto now = base::clock::now();
    auto update = follower_.update_since(message.at_, now);
    const auto bytes = update.delta_.bytes();
    if (!sending_.accepts(now) || update.delta_.end() <= message.at_) {
        peers_.send(from, replica_offer{});
        return;
    }
    sending_.add(bytes, now);
    log::log_info("large_update_sent",
                  {{"to", base::to_hex(from.value_)},
                   {"since", std::to_string(message.at_.at_)},
                   {"revision", std::to_string(update.delta_.to_)},
                   {"bytes", std::to_string(bytes)}});
    peers_.send(from, std::move(update));
}

void replica_exchange::receive(const replica_update& message) {
    if (message.current_) {
        unconfirmed_by_.reset();
    }
    follower_.merge(message);
    awaited_.reached(follower_.replica().current());
}

} // namespace pimentoferry::gateway
