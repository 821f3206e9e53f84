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
    // Versions start at 1, so that no published record has version 0.
    self_.version_ = 1;
}

std::vector<action> swim::handle(const event& input, base::time_point now) {
    out_.clear();
    if (started_ && now - last_event_ > pause_threshold) {
        probe_.reset();
        relayed_.clear();
        view_.restart_suspicions(now);
    }
    last_event_ = now;
    if (!left_) {
        std::visit([&](const auto& event) { on(event, now); }, input);
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
    std::visit(
        [&](const auto& received) { on_message(event.from_, received, now); },
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
    const auto least_difference = std::max(2U, self_.in_flight_ / 4);
    const bool load_due = now >= next_load_ && difference >= least_difference;
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
    queue_own_update();
}

void swim::on(const publish& event, base::time_point now) {
    merge(event.item_, now);
}

void swim::on(const leave& /*event*/, base::time_point /*now*/) {
    constexpr std::size_t direct_notifications = 8;
    self_.state_ = member_state::left;
    ++self_.version_;
    queue_own_update();
    for (const auto to : sample(view_.live_instances(), direct_notifications)) {
        send(to, ping{++last_sequence_, gossip_for(to)});
    }
    left_ = true;
}

void swim::on_message(base::instance_id from,
                      const ping& received,
                      base::time_point now) {
    for (const auto& item : received.gossip_) {
        merge(item, now);
    }
    send(from, ack{received.sequence_, gossip_for(from)});
    if (view_.find(from) == nullptr) {
        send_join(from, {});
    }
}

void swim::on_message(base::instance_id /*from*/,
                      const ack& received,
                      base::time_point now) {
    for (const auto& item : received.gossip_) {
        merge(item, now);
    }
    if (probe_ && probe_->sequence_ == received.sequence_) {
        probe_.reset();
        return;
    }
    const auto position = relayed_.find(received.sequence_);
    if (position != relayed_.end()) {
        const auto requester = position->second.requester_;
        send(requester, ack{position->second.sequence_, gossip_for(requester)});
        relayed_.erase(position);
    }
}

void swim::on_message(base::instance_id from,
                      const ping_request& received,
                      base::time_point now) {
    for (const auto& item : received.gossip_) {
        merge(item, now);
    }
    if (view_.find(received.target_) == nullptr) {
        return;
    }
    relayed_[++last_sequence_] = relayed_ping{from, received.sequence_, now};
    send(received.target_, ping{last_sequence_, gossip_for(received.target_)});
}

void swim::on_message(base::instance_id from,
                      const join& received,
                      base::time_point now) {
    // The reply is built before the record is merged, so that a member that is
    // dead in this view receives that state and can refute it.
    join_answer answer;
    answer.members_.push_back(self_);
    for (const auto& [instance, record] : view_.all()) {
        answer.members_.push_back(record.member_);
    }
    merge(received.self_, now);
    send(from, std::move(answer));
}

void swim::on_message(base::instance_id /*from*/,
                      const join_answer& received,
                      base::time_point now) {
    joined_ = true;
    for (const auto& item : received.members_) {
        merge(item, now);
    }
}

void swim::advance_probe(base::time_point now) {
    if (probe_ && !probe_->indirect_ && now - probe_->sent_ >= ack_timeout) {
        probe_->indirect_ = true;
        request_indirect_probes(*probe_);
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
    send(*target, ping{probe_->sequence_, gossip_for(*target)});
}

void swim::request_indirect_probes(const probe& unacknowledged) {
    auto helpers = view_.live_instances();
    std::erase(helpers, unacknowledged.target_);
    for (const auto helper : sample(std::move(helpers), indirect_probes)) {
        send(helper, ping_request{unacknowledged.sequence_,
                                  unacknowledged.target_, gossip_for(helper)});
    }
}

std::optional<base::instance_id> swim::next_target() {
    while (!round_targets_.empty()) {
        const auto target = round_targets_.back();
        round_targets_.pop_back();
        const auto* record = view_.find(target);
        if (record != nullptr && is_live(record->member_.state_)) {
            return target;
        }
    }
    round_targets_ = view_.live_instances();
    std::ranges::shuffle(round_targets_, random_);
    if (round_targets_.empty()) {
        return std::nullopt;
    }
    const auto target = round_targets_.back();
    round_targets_.pop_back();
    return target;
}

void swim::suspect(base::instance_id target, base::time_point now) {
    const auto* record = view_.find(target);
    if (record == nullptr || record->member_.state_ != member_state::alive) {
        return;
    }
    auto update = update_of(record->member_);
    update.state_ = member_state::suspect;
    merge(update, now);
}

void swim::declare_overdue_dead(base::time_point now) {
    for (const auto instance : view_.overdue_suspects(now)) {
        auto update = update_of(view_.find(instance)->member_);
        update.state_ = member_state::dead;
        merge(update, now);
    }
}

void swim::contact_seeds(base::time_point now) {
    constexpr std::size_t seeds_per_attempt = 3;
    if (joined_ || now < next_join_) {
        return;
    }
    next_join_ = now + join_interval;
    std::vector<base::endpoint> chosen;
    std::ranges::sample(seeds_, std::back_inserter(chosen), seeds_per_attempt,
                        random_);
    for (const auto& address : chosen) {
        send_join({}, address);
    }
}

void swim::reconnect(base::time_point now) {
    if (now >= next_exchange_) {
        next_exchange_ = now + exchange_interval;
        view_.remove_ended(now);
        gossip_.remove_expired(now);
        for (const auto to : sample(view_.live_instances(), 1)) {
            send_join(to, view_.find(to)->member_.peer_address_);
        }
    }
    if (now < next_reconnect_) {
        return;
    }
    next_reconnect_ = now + reconnect_interval;
    std::set<base::endpoint> unreached{seeds_.begin(), seeds_.end()};
    for (const auto& [instance, record] : view_.all()) {
        if (record.member_.state_ == member_state::dead) {
            unreached.insert(record.member_.peer_address_);
        }
    }
    for (const auto& [instance, record] : view_.all()) {
        if (is_live(record.member_.state_)) {
            unreached.erase(record.member_.peer_address_);
        }
    }
    std::vector<base::endpoint> chosen;
    std::ranges::sample(unreached, std::back_inserter(chosen), 1, random_);
    for (const auto& address : chosen) {
        send_join({}, address);
    }
}

void swim::merge(const gossip_item& received, base::time_point now) {
    std::visit(base::overloaded{
                   [&](const member& value) { merge(value, now); },
                   [&](const member_update& value) { merge(value, now); },
                   [&](const auto& value) {
                       bool changed = false;
                       if constexpr (requires { gossip_.merge(value, now); }) {
                           changed = gossip_.merge(value, now);
                       } else {
                           changed = gossip_.merge(value);
                       }
                       if (changed) {
                           gossip_queue_.add(received);
                           out_.emplace_back(gossip_received{received});
                       }
                   },
               },
               received);
}

void swim::merge(const member& received, base::time_point now) {
    if (received.instance_ == self_.instance_) {
        refute(update_of(received));
        return;
    }
    const bool is_new = view_.find(received.instance_) == nullptr;
    after_merge(view_.merge(received, now), received.instance_);
    if (is_new) {
        gossip_queue_.add(received);
        replace_predecessor(received, now);
    }
}

void swim::merge(const member_update& received, base::time_point now) {
    if (received.instance_ == self_.instance_) {
        refute(received);
        return;
    }
    after_merge(view_.merge(received, now), received.instance_);
}

void swim::refute(const member_update& received) {
    const bool must_refute = received.state_ != member_state::alive &&
                             received.incarnation_ >= self_.incarnation_;
    if (must_refute && !left_) {
        self_.incarnation_ = received.incarnation_ + 1;
        queue_own_update();
    }
}

void swim::replace_predecessor(const member& successor, base::time_point now) {
    // Names are unique in the fleet, so an earlier instance with the same name
    // has ended. If two running entries have the same name by mistake, both
    // refute.
    if (!is_live(successor.state_)) {
        return;
    }
    std::vector<member_update> ended;
    for (const auto& [instance, record] : view_.all()) {
        if (record.member_.name_ == successor.name_ &&
            instance != successor.instance_ && is_live(record.member_.state_)) {
            ended.push_back(update_of(record.member_));
        }
    }
    for (auto& update : ended) {
        update.state_ = member_state::dead;
        merge(update, now);
    }
}

void swim::after_merge(merge_result result, base::instance_id instance) {
    if (result == merge_result::nothing) {
        return;
    }
    const auto& record = view_.find(instance)->member_;
    gossip_queue_.add(update_of(record));
    out_.emplace_back(member_changed{record});
}

void swim::queue_own_update() {
    gossip_queue_.add(update_of(self_));
}

std::vector<gossip_item> swim::gossip_for(base::instance_id to) {
    auto items = gossip_queue_.take(view_.all().size() + 1);
    // A member that is not alive in this view is sent that state at once, so
    // that it can refute it.
    const auto* record = view_.find(to);
    if (record != nullptr && record->member_.state_ != member_state::alive) {
        items.insert(items.begin(), update_of(record->member_));
    }
    return items;
}

void swim::send(base::instance_id to, message value) {
    const auto* record = view_.find(to);
    auto address =
        record == nullptr ? base::endpoint{} : record->member_.peer_address_;
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
    for (const auto& [instance, record] : view_.all()) {
        const auto state = record.member_.state_;
        const bool included =
            without_suspects ? state == member_state::alive : is_live(state);
        if (included) {
            members.push_back(record.member_);
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
    for (const auto& [instance, record] : view_.all()) {
        if (record.member_.state_ == member_state::left) {
            names.insert(record.member_.name_);
        } else if (is_live(record.member_.state_)) {
            live.insert(record.member_.name_);
        }
    }
    std::erase_if(names, [&](const auto& name) { return live.contains(name); });
    return {names.begin(), names.end()};
}

base::instance_id
swim::cell_owner(const base::cell_name& cell,
                 const std::vector<cell_location>& cells) const {
    const auto owners = assign_cells(cells, live());
    const auto position = owners.find(cell);
    return position == owners.end() ? base::instance_id{} : position->second;
}

} // namespace pimentoferry::membership
