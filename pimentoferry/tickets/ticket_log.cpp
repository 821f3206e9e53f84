#include "pimentoferry/tickets/ticket_log.hpp"

#include "pimentoferry/tickets/head.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

namespace pimentoferry::tickets {
namespace {

constexpr base::milliseconds catch_up_interval{500};
constexpr std::size_t round_size = 3;

} // namespace

ticket_log::ticket_log(const log_settings& settings)
    : settings_(settings), random_(settings.seed_),
      gate_(settings.name_, settings.partition_policy_),
      compaction_(settings.self_, settings.compaction_tickets_) {}

std::vector<action> ticket_log::handle(const event& occurred,
                                       base::time_point now) {
    out_.clear();
    const auto before = replica_.number();
    gate_.advance(now);
    std::visit([&](const auto& alternative) { on(alternative, now); },
               occurred);
    publish_applied(before, now);
    report_serving(now);
    return std::move(out_);
}

void ticket_log::on(const start& /*event*/, base::time_point now) {
    read_head(now);
    schedule_poll(true, now);
    next_catch_up_ = now;
}

void ticket_log::on(const tick& /*event*/, base::time_point now) {
    for (const auto token : calls_.overdue(now)) {
        on(store::result{token, store::unavailable{}}, now);
    }
    confirm_by_peers(pulls_.expire(now));
    acceptance_.tick(now, out_);
    if (now >= next_poll_) {
        schedule_poll(true, now);
        calls_.issue(call_purpose::poll, store::list{std::string{head_key}},
                     now, out_);
    }
    if (now >= next_catch_up_) {
        next_catch_up_ = now + catch_up_interval;
        catch_up(now);
    }
}

void ticket_log::on(const apply& event, base::time_point now) {
    acceptance_.submit(event, now, out_);
    if (acceptance_.needs_head()) {
        read_head(now);
    }
}

void ticket_log::on(const history_query& event, base::time_point now) {
    lookup_.query(event, now, replica_, calls_, out_);
}

void ticket_log::on(const peer_message& event, base::time_point now) {
    gate_.note_peer_frame(now);
    std::visit(
        [&](const auto& content) { on_message(event.from_, content, now); },
        event.message_);
}

void ticket_log::on(const peer_frame_received& /*event*/,
                    base::time_point now) {
    gate_.note_peer_frame(now);
}

void ticket_log::on(const peers_updated& event, base::time_point now) {
    peers_ = event.live_;
    gate_.note_members(event, now);
    for (const auto& peer : peers_) {
        note_highest(peer.applied_, peer.instance_);
    }
    if (highest_known_ > replica_.number() && !pulls_.pulling(now)) {
        pulls_.pull(highest_holder_, replica_.number(), now, out_);
    }
}

void ticket_log::on(const clock_jump& event, base::time_point now) {
    if (std::chrono::abs(event.distance_) > pause_limit) {
        gate_.note_pause(now);
        next_catch_up_ = now;
    }
}

void ticket_log::on(const store::result& event, base::time_point now) {
    const auto finished = calls_.finish(event.token_);
    if (!finished) {
        return;
    }
    if (std::holds_alternative<store::unavailable>(event.outcome_)) {
        gate_.note_store_failed(finished->sent_);
    } else {
        gate_.note_store(finished->sent_, now);
    }
    switch (finished->purpose_) {
    case call_purpose::poll:
        on_poll(*finished, event.outcome_, now);
        break;
    case call_purpose::head:
        on_head(event.outcome_, now);
        break;
    case call_purpose::acceptance:
        on_acceptance(event.outcome_, now);
        break;
    case call_purpose::lookup:
        lookup_.handle(event, now, calls_, out_);
        break;
    case call_purpose::compaction:
        compaction_.handle(event.outcome_, now, calls_, out_);
        break;
    }
}

void ticket_log::on_message(base::instance_id from,
                            const number_push& push,
                            base::time_point now) {
    note_highest(push.number_, from);
    if (push.number_ > replica_.number() && !pulls_.pulling(now)) {
        pulls_.pull(from, replica_.number(), now, out_);
    } else if (push.number_ < replica_.number()) {
        out_.emplace_back(send_message{from, number_push{replica_.number()}});
    }
}

void ticket_log::on_message(base::instance_id from,
                            const ticket_pull& pull,
                            base::time_point now) {
    if (replica_.number() == 0) {
        return;
    }
    auto batch = replica_.batch_after(pull.after_);
    batch.request_ = pull.request_;
    batch.highest_known_ = highest_known_;
    batch.in_force_ = gate_.evaluate(now).allowed_;
    if (pull.wants_entries_) {
        batch.known_entries_ = gate_.known_entries();
    }
    out_.emplace_back(send_message{from, std::move(batch)});
}

void ticket_log::on_message(base::instance_id from,
                            const ticket_batch& batch,
                            base::time_point now) {
    if (!batch.base_state_.empty()) {
        replica_.adopt_state(batch.base_number_, batch.base_state_);
    }
    for (const auto& text : batch.tickets_) {
        replica_.add_ticket(text);
    }
    if (replica_.number() == batch.number_ &&
        batch.revision_ > replica_.head_revision()) {
        replica_.set_head_revision(batch.revision_);
    }
    note_highest(std::max(batch.number_, batch.highest_known_), from);
    gate_.note_known_entries(batch.known_entries_);
    confirm_by_peers(pulls_.reply_received(batch.request_, batch.in_force_));
    if (highest_known_ > replica_.number() && !pulls_.pulling(now)) {
        if (batch.number_ > replica_.number()) {
            // The state of the peer is too large for a frame.
            read_head(now);
        } else {
            pulls_.pull(highest_holder_, replica_.number(), now, out_);
        }
    }
}

void ticket_log::on_poll(const call& finished,
                         const store::outcome& outcome,
                         base::time_point now) {
    const auto* listed = std::get_if<store::listed>(&outcome);
    schedule_poll(listed != nullptr, now);
    if (listed == nullptr) {
        return;
    }
    const auto position = std::ranges::find(
        listed->keys_, std::string{head_key}, &store::key_revision::key_);
    if (position == listed->keys_.end()) {
        return;
    }
    if (position->revision_ == replica_.head_revision()) {
        gate_.note_confirmed(finished.sent_);
    } else if (position->revision_ > replica_.head_revision()) {
        read_head(now);
    }
}

void ticket_log::on_head(const store::outcome& outcome, base::time_point now) {
    const auto progress =
        head_reader_.handle(outcome, now, replica_, calls_, out_);
    const auto* done = std::get_if<caught_up>(&progress);
    if (done == nullptr) {
        return;
    }
    gate_.note_confirmed(done->sent_);
    for (auto& old :
         acceptance_.handle_head(*done, now, replica_, calls_, out_)) {
        lookup_.compare(old.request_, std::move(old.ticket_), now, calls_,
                        out_);
    }
}

void ticket_log::on_acceptance(const store::outcome& outcome,
                               base::time_point now) {
    // Only the entry that accepted a ticket compacts; otherwise every entry
    // that reads a head that is due would compact it.
    if (const auto head = acceptance_.handle_write(outcome, replica_, out_)) {
        compaction_.begin(*head, now, replica_, calls_, out_);
    }
    if (acceptance_.needs_head()) {
        read_head(now);
    }
}

void ticket_log::schedule_poll(bool reply_received, base::time_point now) {
    failed_polls_ = reply_received ? 0 : failed_polls_ + 1;
    const auto most = failed_polls_ == 1 ? first_retry_max : retry_max;
    next_poll_ =
        now + (reply_received
                   ? random_duration(poll_interval_min, poll_interval_max)
                   : random_duration(base::milliseconds{0}, most));
}

void ticket_log::read_head(base::time_point now) {
    head_reader_.begin(now, calls_, out_);
}

void ticket_log::catch_up(base::time_point now) {
    const bool behind = highest_known_ > replica_.number();
    if (acceptance_.needs_head()) {
        read_head(now);
    }
    if (behind && !pulls_.pulling(now) && !peers_.empty()) {
        std::vector<live_peer> sampled;
        std::ranges::sample(peers_, std::back_inserter(sampled), 1, random_);
        pulls_.pull(sampled.front().instance_, replica_.number(), now, out_);
        read_head(now);
    }
    if (gate_.needs_confirmation()) {
        read_head(now);
    }
    if (gate_.needs_confirmation() && !pulls_.in_round()) {
        std::vector<live_peer> sampled;
        std::ranges::sample(peers_, std::back_inserter(sampled), round_size,
                            random_);
        std::vector<base::instance_id> instances;
        std::ranges::transform(sampled, std::back_inserter(instances),
                               &live_peer::instance_);
        pulls_.begin_round(
            instances,
            ticket_pull{replica_.number(), 0, !gate_.reached_store()}, now,
            out_);
    }
}

void ticket_log::confirm_by_peers(std::optional<base::time_point> sent) {
    // If a peer reported a higher number, this entry is missing a ticket and
    // the round doesn't confirm its state.
    if (sent && highest_known_ <= replica_.number()) {
        gate_.note_peers_agreed(*sent);
    }
}

void ticket_log::note_highest(std::uint64_t number, base::instance_id holder) {
    if (number > highest_known_) {
        highest_known_ = number;
        highest_holder_ = holder;
    }
}

void ticket_log::publish_applied(std::uint64_t before, base::time_point now) {
    highest_known_ = std::max(highest_known_, replica_.number());
    gate_.note_numbers(replica_.number(), highest_known_, now);
    if (replica_.number() == before) {
        return;
    }
    out_.emplace_back(applied{replica_.number(), replica_.state()});
    std::vector<live_peer> sampled;
    std::ranges::sample(peers_, std::back_inserter(sampled), push_fan_out,
                        random_);
    for (const auto& peer : sampled) {
        out_.emplace_back(
            send_message{peer.instance_, number_push{replica_.number()}});
    }
}

void ticket_log::report_serving(base::time_point now) {
    const auto current = gate_.evaluate(now);
    if (reported_status_ && reported_status_->allowed_ == current.allowed_ &&
        reported_status_->reason_ == current.reason_) {
        return;
    }
    reported_status_ = current;
    out_.emplace_back(current);
}

base::milliseconds ticket_log::random_duration(base::milliseconds least,
                                               base::milliseconds most) {
    std::uniform_int_distribution<base::milliseconds::rep> range{least.count(),
                                                                 most.count()};
    return base::milliseconds{range(random_)};
}

ticket_status ticket_log::status(std::uint64_t number) const {
    const auto applied_peers = std::ranges::count_if(
        peers_, [&](const auto& peer) { return peer.applied_ >= number; });
    return {number,
            static_cast<std::size_t>(applied_peers) +
                (replica_.number() >= number ? 1U : 0U),
            peers_.size() + 1};
}

std::uint64_t ticket_log::lowest_applied() const {
    auto lowest = replica_.number();
    for (const auto& peer : peers_) {
        lowest = std::min(lowest, peer.applied_);
    }
    return lowest;
}

} // namespace pimentoferry::tickets
