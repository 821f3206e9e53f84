#include "pimentoferry/membership/swim.hpp"

#include "pimentoferry/base/overloaded.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <variant>

namespace pimentoferry::membership {

swim::swim(const swim_settings& settings)
    : self_(settings.self_), random_(settings.seed_) {
    // Grows over restarts of the same process too, so that it is never 0.
    self_.version_ = 1;
}

std::vector<action> swim::handle(const event& occurred, base::time_point now) {
    out_.clear();
    if (started_ && now - last_event_ > own_pause) {
        probe_.reset();
        relayed_.clear();
        view_.restart_suspicions(now);
    }
    last_event_ = now;
    if (!left_) {
        std::visit([&](const auto& known) { on(known, now); }, occurred);
    }
    return std::move(out_);
}

void swim::on(const start& /*event*/, base::time_point now) {
    started_ = true;
    next_probe_ = now;
    next_join_ = now;
    next_reconnect_ = now + reconnect_interval;
    next_exchange_ = now + exchange_interval;
    next_load_ = now;
}

void swim::on(const tick& /*event*/, base::time_point now) {
    declare_overdue_dead(now);
    advance_probe(now);
    contact_seeds(now);
    reconnect(now);
    std::erase_if(relayed_, [&](const auto& entry) {
        return now - entry.second.sent_ > probe_period;
    });
}

void swim::on(const peer_message& event, base::time_point now) {
    std::visit([&](const auto& told) { on_message(event.from_, told, now); },
               event.message_);
}

void swim::on(const seeds_updated& event, base::time_point /*now*/) {
    seeds_ = event.addresses_;
    std::erase(seeds_, self_.peer_address_);
}

void swim::on(const self_changed& event, base::time_point now) {
    load_ = event.in_flight_;
    const auto difference =
        std::max(load_, self_.in_flight_) - std::min(load_, self_.in_flight_);
    const auto noticeable = std::max(2U, self_.in_flight_ / 4);
    const bool load_due = now >= next_load_ && difference >= noticeable;
    const bool urgent = event.draining_ != self_.draining_ ||
                        event.applied_ticket_ != self_.applied_ticket_;
    if (!load_due && !urgent) {
        return;
    }
    const auto members = static_cast<int>(view_.all().size() + 1);
    next_load_ = now + load_interval_per_member * members;
    self_.draining_ = event.draining_;
    self_.applied_ticket_ = event.applied_ticket_;
    self_.in_flight_ = load_;
    ++self_.version_;
    tell_of_self();
}

void swim::on(const publish& event, base::time_point now) {
    learn(event.item_, now);
}

void swim::on(const leave& /*event*/, base::time_point /*now*/) {
    constexpr std::size_t told_directly = 8;
    self_.state_ = member_state::left;
    ++self_.version_;
    tell_of_self();
    for (const auto to : sample(view_.probed(), told_directly)) {
        send(to, ping{++last_sequence_, rumors_for(to)});
    }
    left_ = true;
}

void swim::on_message(base::instance_id from,
                      const ping& told,
                      base::time_point now) {
    for (const auto& item : told.gossip_) {
        learn(item, now);
    }
    send(from, ack{told.sequence_, rumors_for(from)});
    if (view_.find(from) == nullptr) {
        send_join(from, {});
    }
}

void swim::on_message(base::instance_id /*from*/,
                      const ack& told,
                      base::time_point now) {
    for (const auto& item : told.gossip_) {
        learn(item, now);
    }
    if (probe_ && probe_->sequence_ == told.sequence_) {
        probe_.reset();
        return;
    }
    const auto place = relayed_.find(told.sequence_);
    if (place != relayed_.end()) {
        const auto asker = place->second.asker_;
        send(asker, ack{place->second.sequence_, rumors_for(asker)});
        relayed_.erase(place);
    }
}

void swim::on_message(base::instance_id from,
                      const ping_request& told,
                      base::time_point now) {
    for (const auto& item : told.gossip_) {
        learn(item, now);
    }
    if (view_.find(told.target_) == nullptr) {
        return;
    }
    relayed_[++last_sequence_] = relayed_ping{from, told.sequence_, now};
    send(told.target_, ping{last_sequence_, rumors_for(told.target_)});
}

void swim::on_message(base::instance_id from,
                      const join& told,
                      base::time_point now) {
    // Answered before it is merged: a member that is taken for dead must see
    // that, in order to refute.
    join_answer answer;
    answer.members_.push_back(self_);
    for (const auto& [instance, known] : view_.all()) {
        answer.members_.push_back(known.member_);
    }
    learn(told.self_, now);
    send(from, std::move(answer));
}

void swim::on_message(base::instance_id /*from*/,
                      const join_answer& told,
                      base::time_point now) {
    joined_ = true;
    for (const auto& item : told.members_) {
        learn(item, now);
    }
}

void swim::advance_probe(base::time_point now) {
    if (probe_ && !probe_->indirect_ && now - probe_->sent_ >= ack_timeout) {
        probe_->indirect_ = true;
        ask_others_to_probe(*probe_);
    }
    if (now < next_probe_) {
        return;
    }
    next_probe_ = std::max(next_probe_ + probe_period, now);
    if (probe_) {
        suspect(probe_->target_, now);
    }
    begin_probe(now);
}

void swim::begin_probe(base::time_point now) {
    probe_.reset();
    const auto target = next_target();
    if (!target) {
        return;
    }
    probe_ = probe{*target, ++last_sequence_, now, false};
    send(*target, ping{probe_->sequence_, rumors_for(*target)});
}

void swim::ask_others_to_probe(const probe& missing) {
    auto others = view_.probed();
    std::erase(others, missing.target_);
    for (const auto helper : sample(std::move(others), indirect_probes)) {
        send(helper, ping_request{missing.sequence_, missing.target_,
                                  rumors_for(helper)});
    }
}

std::optional<base::instance_id> swim::next_target() {
    while (!order_.empty()) {
        const auto target = order_.back();
        order_.pop_back();
        const auto* known = view_.find(target);
        if (known != nullptr && is_live(known->member_.state_)) {
            return target;
        }
    }
    order_ = view_.probed();
    std::ranges::shuffle(order_, random_);
    if (order_.empty()) {
        return std::nullopt;
    }
    const auto target = order_.back();
    order_.pop_back();
    return target;
}

void swim::suspect(base::instance_id target, base::time_point now) {
    const auto* known = view_.find(target);
    if (known == nullptr || known->member_.state_ != member_state::alive) {
        return;
    }
    auto told = update_of(known->member_);
    told.state_ = member_state::suspect;
    learn(told, now);
}

void swim::declare_overdue_dead(base::time_point now) {
    for (const auto instance : view_.overdue_suspects(now)) {
        auto told = update_of(view_.find(instance)->member_);
        told.state_ = member_state::dead;
        learn(told, now);
    }
}

void swim::contact_seeds(base::time_point now) {
    constexpr std::size_t asked = 3;
    if (joined_ || now < next_join_) {
        return;
    }
    next_join_ = now + join_interval;
    std::vector<base::endpoint> some;
    std::ranges::sample(seeds_, std::back_inserter(some), asked, random_);
    for (const auto& address : some) {
        send_join({}, address);
    }
}

void swim::reconnect(base::time_point now) {
    if (now >= next_exchange_) {
        next_exchange_ = now + exchange_interval;
        view_.forget_ended(now);
        gossip_.forget_expired(now);
        for (const auto to : sample(view_.probed(), 1)) {
            send_join(to, view_.find(to)->member_.peer_address_);
        }
    }
    if (now < next_reconnect_) {
        return;
    }
    next_reconnect_ = now + reconnect_interval;
    std::set<base::endpoint> missing{seeds_.begin(), seeds_.end()};
    for (const auto& [instance, known] : view_.all()) {
        if (known.member_.state_ == member_state::dead) {
            missing.insert(known.member_.peer_address_);
        }
    }
    for (const auto& [instance, known] : view_.all()) {
        if (is_live(known.member_.state_)) {
            missing.erase(known.member_.peer_address_);
        }
    }
    std::vector<base::endpoint> one;
    std::ranges::sample(missing, std::back_inserter(one), 1, random_);
    for (const auto& address : one) {
        send_join({}, address);
    }
}

void swim::learn(const gossip_item& told, base::time_point now) {
    std::visit(base::overloaded{
                   [&](const member& value) { learn(value, now); },
                   [&](const member_update& value) { learn(value, now); },
                   [&](const auto& value) {
                       bool news = false;
                       if constexpr (requires { gossip_.learn(value, now); }) {
                           news = gossip_.learn(value, now);
                       } else {
                           news = gossip_.learn(value);
                       }
                       if (news) {
                           rumors_.add(told);
                           out_.emplace_back(gossip_received{told});
                       }
                   },
               },
               told);
}

void swim::learn(const member& told, base::time_point now) {
    if (told.instance_ == self_.instance_) {
        refute(update_of(told));
        return;
    }
    const bool is_new = view_.find(told.instance_) == nullptr;
    after_merge(view_.merge(told, now), told.instance_);
    if (is_new) {
        rumors_.add(told);
        replace_predecessor(told, now);
    }
}

void swim::learn(const member_update& told, base::time_point now) {
    if (told.instance_ == self_.instance_) {
        refute(told);
        return;
    }
    after_merge(view_.merge(told, now), told.instance_);
}

void swim::refute(const member_update& told) {
    const bool wrong = told.state_ != member_state::alive &&
                       told.incarnation_ >= self_.incarnation_;
    if (wrong && !left_) {
        self_.incarnation_ = told.incarnation_ + 1;
        tell_of_self();
    }
}

void swim::replace_predecessor(const member& successor, base::time_point now) {
    // Names are unique in the fleet, so another instance of the name ended.
    // If two entries have one name by mistake, both refute.
    if (!is_live(successor.state_)) {
        return;
    }
    std::vector<member_update> ended;
    for (const auto& [instance, known] : view_.all()) {
        if (known.member_.name_ == successor.name_ &&
            instance != successor.instance_ && is_live(known.member_.state_)) {
            ended.push_back(update_of(known.member_));
        }
    }
    for (auto& told : ended) {
        told.state_ = member_state::dead;
        learn(told, now);
    }
}

void swim::after_merge(merge_result result, base::instance_id instance) {
    if (result == merge_result::nothing) {
        return;
    }
    const auto& known = view_.find(instance)->member_;
    rumors_.add(update_of(known));
    out_.emplace_back(member_changed{known});
}

void swim::tell_of_self() {
    rumors_.add(update_of(self_));
}

std::vector<gossip_item> swim::rumors_for(base::instance_id to) {
    auto rumors = rumors_.take(view_.all().size() + 1);
    // A member that is taken for suspect or dead hears it at once.
    const auto* known = view_.find(to);
    if (known != nullptr && known->member_.state_ != member_state::alive) {
        rumors.insert(rumors.begin(), update_of(known->member_));
    }
    return rumors;
}

void swim::send(base::instance_id to, message value) {
    const auto* known = view_.find(to);
    auto address =
        known == nullptr ? base::endpoint{} : known->member_.peer_address_;
    out_.emplace_back(send_message{to, std::move(address), std::move(value)});
}

void swim::send_join(base::instance_id to, const base::endpoint& address) {
    out_.emplace_back(send_message{to, address, join{self_}});
}

std::vector<base::instance_id> swim::sample(std::vector<base::instance_id> from,
                                            std::size_t count) {
    std::vector<base::instance_id> taken;
    std::ranges::sample(from, std::back_inserter(taken),
                        static_cast<std::ptrdiff_t>(count), random_);
    return taken;
}

std::vector<member> swim::live(bool without_suspects) const {
    std::vector<member> members;
    if (!left_) {
        members.push_back(self_);
    }
    for (const auto& [instance, known] : view_.all()) {
        const auto state = known.member_.state_;
        const bool wanted =
            without_suspects ? state == member_state::alive : is_live(state);
        if (wanted) {
            members.push_back(known.member_);
        }
    }
    std::ranges::sort(members, [](const auto& a, const auto& b) {
        return a.instance_ < b.instance_;
    });
    return members;
}

std::vector<std::string> swim::left() const {
    std::set<std::string> names;
    std::set<std::string> live{self_.name_};
    for (const auto& [instance, known] : view_.all()) {
        if (known.member_.state_ == member_state::left) {
            names.insert(known.member_.name_);
        } else if (is_live(known.member_.state_)) {
            live.insert(known.member_.name_);
        }
    }
    std::erase_if(names, [&](const auto& name) { return live.contains(name); });
    return {names.begin(), names.end()};
}

base::instance_id
swim::cell_owner(const base::cell_name& cell,
                 const std::vector<cell_location>& cells) const {
    const auto owners = assign_cells(cells, live());
    const auto place = owners.find(cell);
    return place == owners.end() ? base::instance_id{} : place->second;
}

} // namespace pimentoferry::membership
