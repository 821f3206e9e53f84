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
    const auto before = copy_.number();
    gate_.advance(now);
    std::visit([&](const auto& known) { on(known, now); }, occurred);
    announce(before, now);
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
    note_round(pulls_.expire(now));
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
    lookup_.query(event, now, copy_, calls_, out_);
}

void ticket_log::on(const peer_message& event, base::time_point now) {
    gate_.note_peer(now);
    std::visit([&](const auto& known) { on_message(event.from_, known, now); },
               event.message_);
}

void ticket_log::on(const peer_heard& /*event*/, base::time_point now) {
    gate_.note_peer(now);
}

void ticket_log::on(const peers_known& event, base::time_point now) {
    peers_ = event.live_;
    gate_.note_members(event, now);
    for (const auto& peer : peers_) {
        note_highest(peer.applied_, peer.instance_);
    }
    if (highest_ > copy_.number() && !pulls_.pulling(now)) {
        pulls_.pull(highest_holder_, copy_.number(), now, out_);
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
    if (push.number_ > copy_.number() && !pulls_.pulling(now)) {
        pulls_.pull(from, copy_.number(), now, out_);
    } else if (push.number_ < copy_.number()) {
        out_.emplace_back(send_message{from, number_push{copy_.number()}});
    }
}

void ticket_log::on_message(base::instance_id from,
                            const ticket_pull& pull,
                            base::time_point now) {
    if (copy_.number() == 0) {
        return;
    }
    auto batch = copy_.batch_after(pull.after_);
    batch.request_ = pull.request_;
    batch.heard_ = highest_;
    batch.in_force_ = gate_.evaluate(now).allowed_;
    if (pull.wants_known_) {
        batch.known_ = gate_.known();
    }
    out_.emplace_back(send_message{from, std::move(batch)});
}

void ticket_log::on_message(base::instance_id from,
                            const ticket_batch& batch,
                            base::time_point now) {
    if (!batch.base_state_.empty()) {
        copy_.adopt_state(batch.base_number_, batch.base_state_);
    }
    for (const auto& text : batch.tickets_) {
        copy_.add_ticket(text);
    }
    if (copy_.number() == batch.number_ &&
        batch.revision_ > copy_.head_revision()) {
        copy_.set_head_revision(batch.revision_);
    }
    note_highest(std::max(batch.number_, batch.heard_), from);
    gate_.note_known(batch.known_);
    note_round(pulls_.answered(batch.request_, batch.in_force_));
    if (highest_ > copy_.number() && !pulls_.pulling(now)) {
        if (batch.number_ > copy_.number()) {
            // The state is too large for a frame.
            read_head(now);
        } else {
            pulls_.pull(highest_holder_, copy_.number(), now, out_);
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
    const auto place = std::ranges::find(listed->keys_, std::string{head_key},
                                         &store::key_revision::key_);
    if (place == listed->keys_.end()) {
        return;
    }
    if (place->revision_ == copy_.head_revision()) {
        gate_.note_confirmed(finished.sent_);
    } else if (place->revision_ > copy_.head_revision()) {
        read_head(now);
    }
}

void ticket_log::on_head(const store::outcome& outcome, base::time_point now) {
    const auto progress = reader_.handle(outcome, now, copy_, calls_, out_);
    const auto* done = std::get_if<caught_up>(&progress);
    if (done == nullptr) {
        return;
    }
    gate_.note_confirmed(done->sent_);
    for (auto& old : acceptance_.handle_head(*done, now, copy_, calls_, out_)) {
        lookup_.compare(old.request_, std::move(old.ticket_), now, calls_,
                        out_);
    }
}

void ticket_log::on_acceptance(const store::outcome& outcome,
                               base::time_point now) {
    // Only the entry that accepted a ticket compacts, so that a due head is
    // not compacted by everyone who reads it.
    if (const auto head = acceptance_.handle_write(outcome, copy_, out_)) {
        compaction_.begin(*head, now, copy_, calls_, out_);
    }
    if (acceptance_.needs_head()) {
        read_head(now);
    }
}

void ticket_log::schedule_poll(bool answered, base::time_point now) {
    failed_polls_ = answered ? 0 : failed_polls_ + 1;
    const auto most = failed_polls_ == 1 ? first_retry_most : retry_most;
    next_poll_ = now + (answered ? draw(poll_least, poll_most)
                                 : draw(base::milliseconds{0}, most));
}

void ticket_log::read_head(base::time_point now) {
    reader_.begin(now, calls_, out_);
}

void ticket_log::catch_up(base::time_point now) {
    const bool behind = highest_ > copy_.number();
    if (acceptance_.needs_head()) {
        read_head(now);
    }
    if (behind && !pulls_.pulling(now) && !peers_.empty()) {
        std::vector<live_peer> one;
        std::ranges::sample(peers_, std::back_inserter(one), 1, random_);
        pulls_.pull(one.front().instance_, copy_.number(), now, out_);
        read_head(now);
    }
    if (gate_.needs_confirmation()) {
        read_head(now);
    }
    if (gate_.needs_confirmation() && !pulls_.in_round()) {
        std::vector<live_peer> some;
        std::ranges::sample(peers_, std::back_inserter(some), round_size,
                            random_);
        std::vector<base::instance_id> asked;
        std::ranges::transform(some, std::back_inserter(asked),
                               &live_peer::instance_);
        pulls_.begin_round(
            asked, ticket_pull{copy_.number(), 0, !gate_.reached_store()}, now,
            out_);
    }
}

void ticket_log::note_round(std::optional<base::time_point> sent) {
    // Peers that heard of a higher number confirm that something is missing.
    if (sent && highest_ <= copy_.number()) {
        gate_.note_peers_agreed(*sent);
    }
}

void ticket_log::note_highest(std::uint64_t number, base::instance_id holder) {
    if (number > highest_) {
        highest_ = number;
        highest_holder_ = holder;
    }
}

void ticket_log::announce(std::uint64_t before, base::time_point now) {
    highest_ = std::max(highest_, copy_.number());
    gate_.note_numbers(copy_.number(), highest_, now);
    if (copy_.number() == before) {
        return;
    }
    out_.emplace_back(applied{copy_.number(), copy_.state()});
    std::vector<live_peer> some;
    std::ranges::sample(peers_, std::back_inserter(some), push_fan_out,
                        random_);
    for (const auto& peer : some) {
        out_.emplace_back(
            send_message{peer.instance_, number_push{copy_.number()}});
    }
}

void ticket_log::report_serving(base::time_point now) {
    const auto current = gate_.evaluate(now);
    if (reported_ && reported_->allowed_ == current.allowed_ &&
        reported_->reason_ == current.reason_) {
        return;
    }
    reported_ = current;
    out_.emplace_back(current);
}

base::milliseconds ticket_log::draw(base::milliseconds least,
                                    base::milliseconds most) {
    std::uniform_int_distribution<base::milliseconds::rep> range{least.count(),
                                                                 most.count()};
    return base::milliseconds{range(random_)};
}

in_force ticket_log::status(std::uint64_t number) const {
    const auto others = std::ranges::count_if(
        peers_, [&](const auto& peer) { return peer.applied_ >= number; });
    return {number,
            static_cast<std::size_t>(others) +
                (copy_.number() >= number ? 1U : 0U),
            peers_.size() + 1};
}

std::uint64_t ticket_log::lowest_applied() const {
    auto lowest = copy_.number();
    for (const auto& peer : peers_) {
        lowest = std::min(lowest, peer.applied_);
    }
    return lowest;
}

} // namespace pimentoferry::tickets
