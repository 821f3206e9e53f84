#include "pimentoferry/tickets/simulated_world.hpp"

#include "pimentoferry/base/overloaded.hpp"
#include "pimentoferry/config/parse.hpp"

#include <algorithm>
#include <array>
#include <bit>
#include <utility>
#include <variant>

namespace pimentoferry::tickets::testing {
namespace {

constexpr milliseconds step_length{50};
constexpr milliseconds in_force_limit{8000};
constexpr milliseconds store_timeout{1000};
/// A peer that was unreachable for this long is no longer live.
constexpr milliseconds failure_detection_time{2500};
constexpr std::size_t head_tickets = 5;

std::string make_ticket(std::uint64_t number, const std::string& nonce) {
    return R"({"number":)" + std::to_string(number) + R"(,"operator":"op-)" +
           nonce + R"(","nonce":")" + nonce +
           R"(","policy":{"parallel_loads":)" +
           std::to_string(number % 1000 + 1) + "}}";
}

std::string canonical(const std::string& text) {
    return config::to_json(
        std::get<config::ticket>(config::parse_ticket(text, "test")));
}

} // namespace

std::string to_string(const command& value) {
    constexpr std::array<const char*, 11> names{
        "advance", "apply",     "race",      "repeat", "pause",     "restart",
        "store",   "cut_store", "partition", "lose",   "jump_clock"};
    return std::string{names.at(static_cast<std::size_t>(value.kind_))} + "(" +
           std::to_string(value.slot_) + ", " + std::to_string(value.value_) +
           ")";
}

simulated_world::simulated_world(std::uint64_t seed)
    : random_(seed), slots_(slot_count) {
    for (std::size_t index = 0; index < slot_count; ++index) {
        start_entry(index);
    }
    advance(milliseconds{1000});
}

void simulated_world::run(const command& step) {
    const std::size_t index = step.slot_ % slot_count;
    auto& chosen = slots_[index];
    const auto fault_end = at(milliseconds{step.value_ % 15000});
    const auto number = accepted_number_ + 1;
    switch (step.kind_) {
    case command::kind::apply:
        submit_new(index, number);
        break;
    case command::kind::race:
        submit_new(index, number);
        submit_new((index + 1) % slot_count, number);
        break;
    case command::kind::repeat:
        if (!submitted_.empty()) {
            const auto last = submitted_.rbegin()->second;
            submit(index, last.number_, last.nonce_, last.text_);
        }
        break;
    case command::kind::pause:
        chosen.paused_until_ = fault_end;
        break;
    case command::kind::restart:
        chosen.running_ = false;
        chosen.log_.reset();
        chosen.restart_at_ = fault_end;
        break;
    case command::kind::change_store:
        store_mode_ = static_cast<store_mode>(step.slot_ % 4);
        store_fault_until_ = fault_end;
        break;
    case command::kind::cut_store:
        chosen.store_cut_until_ = fault_end;
        break;
    case command::kind::partition:
        // The far side never has more than half of the entries: a larger side
        // keeps serving during a store outage, see docs/design.md section 6.
        far_side_ = step.slot_ % (1U << slot_count);
        if (std::popcount(far_side_) > static_cast<int>(slot_count / 2)) {
            far_side_ ^= (1U << slot_count) - 1;
        }
        partition_until_ = fault_end;
        break;
    case command::kind::lose_messages:
        loss_until_ = fault_end;
        break;
    case command::kind::jump_clock:
        if (chosen.running_ && !paused(index)) {
            deliver(index, clock_jump{milliseconds{5000}});
        }
        break;
    case command::kind::advance:
    case command::kind::count:
        break;
    }
    advance(milliseconds{step.value_ % 1000 + 50});
}

void simulated_world::settle() {
    store_mode_ = store_mode::up;
    partition_until_ = loss_until_ = now_;
    for (auto& entry : slots_) {
        entry.paused_until_ = entry.store_cut_until_ = now_;
        entry.restart_at_ = now_;
    }
    advance(milliseconds{12000});
    if (violations_.empty()) {
        check_converged();
    }
}

std::uint32_t simulated_world::random_below(std::uint32_t below) {
    return static_cast<std::uint32_t>(random_() % below);
}

std::string simulated_world::name(std::size_t index) const {
    return "entry-" + std::to_string(index);
}

bool simulated_world::paused(std::size_t index) const {
    return now_ < slots_[index].paused_until_;
}

bool simulated_world::connected(std::size_t from, std::size_t to) const {
    const bool same_side =
        ((far_side_ >> from) & 1U) == ((far_side_ >> to) & 1U);
    return same_side || now_ >= partition_until_;
}

bool simulated_world::reaches_store(std::size_t index) const {
    const bool near = ((far_side_ >> index) & 1U) == 0;
    return (near || now_ >= partition_until_) &&
           now_ >= slots_[index].store_cut_until_;
}

void simulated_world::advance(milliseconds duration) {
    const auto end = now_ + duration;
    while (now_ < end && violations_.empty()) {
        now_ += step_length;
        step();
    }
}

void simulated_world::step() {
    if (now_ >= store_fault_until_) {
        store_mode_ = store_mode::up;
    }
    postpone_unreadable();
    // A process that resumes may admit a request before it handles any event.
    for (std::size_t index = 0; index < slot_count; ++index) {
        check_serving(index);
    }
    while (!store_arrivals_.empty() && store_arrivals_.begin()->first <= now_) {
        const auto operation =
            store_arrivals_.extract(store_arrivals_.begin()).mapped();
        execute_at_store(operation);
    }
    while (!deliveries_.empty() && deliveries_.begin()->first <= now_) {
        auto next = deliveries_.extract(deliveries_.begin()).mapped();
        const auto& target = slots_[next.slot_];
        if (!target.running_ || target.instance_ != next.instance_) {
            continue;
        }
        if (paused(next.slot_)) {
            // Stays in the buffers of the paused process until it resumes.
            deliveries_.emplace(target.paused_until_, std::move(next));
            continue;
        }
        deliver(next.slot_, next.event_);
    }
    for (std::size_t index = 0; index < slot_count; ++index) {
        if (!slots_[index].running_ && now_ >= slots_[index].restart_at_) {
            start_entry(index);
        }
        if (slots_[index].running_ && !paused(index)) {
            update_membership(index);
            deliver(index, tick{});
        }
        check_serving(index);
    }
}

void simulated_world::start_entry(std::size_t index) {
    auto& entry = slots_[index];
    entry = slot{};
    entry.instance_ = base::instance_id{++last_instance_};
    entry.log_ = std::make_unique<ticket_log>(log_settings{
        entry.instance_, name(index), config::partition_policy::refuse,
        random_(), head_tickets});
    entry.running_ = true;
    deliver(index, start{});
}

void simulated_world::deliver(std::size_t index, const event& occurred) {
    // Kept in a local, because running the actions may restart the slot.
    const auto actions = slots_[index].log_->handle(occurred, now_);
    for (const auto& next_action : actions) {
        run_action(index, next_action);
    }
}

void simulated_world::run_action(std::size_t index, const action& next_action) {
    std::visit(
        base::overloaded{
            [&](const store_call& call) {
                send_to_store(index, call.operation_);
            },
            [&](const send_message& message) { send_to_peer(index, message); },
            [&](const applied& update) {
                auto& entry = slots_[index];
                if (update.number_ <= entry.applied_) {
                    add_violation("an older number after a newer one");
                }
                entry.applied_ = update.number_;
                highest_applied_ = std::max(highest_applied_, update.number_);
            },
            [&](const operator_answer& reply) { check_answer(reply); },
            [](const serving_status&) {},
        },
        next_action);
}

void simulated_world::send_to_store(std::size_t index,
                                    const store::operation& operation) {
    const store_arrival request{index, slots_[index].instance_, operation, now_,
                                store_mode_ == store_mode::lose_answers &&
                                    random_below(2) == 0};
    if (!reaches_store(index) || store_mode_ == store_mode::down) {
        deliveries_.emplace(
            at(store_timeout),
            delivery{index, request.instance_,
                     store::result{operation.token_, store::unavailable{}}});
        return;
    }
    const bool slow = store_mode_ == store_mode::slow;
    // A slow operation may take effect after its sender's timeout.
    store_arrivals_.emplace(
        at(milliseconds{slow ? random_below(1600) : random_below(10)}),
        request);
}

void simulated_world::execute_at_store(const store_arrival& operation) {
    auto outcome = store_.apply(operation.operation_.request_);
    const auto* put = std::get_if<store::put>(&operation.operation_.request_);
    if (put != nullptr && put->key_ == head_key &&
        std::holds_alternative<store::written>(outcome)) {
        check_head(put->value_);
    }
    const bool late = now_ - operation.sent_ > store_timeout;
    if (operation.answer_lost_ || late || !reaches_store(operation.slot_)) {
        outcome = store::unavailable{};
    }
    const auto arrives = std::holds_alternative<store::unavailable>(outcome)
                             ? std::max(operation.sent_ + store_timeout, now_)
                             : at(milliseconds{random_below(10)});
    deliveries_.emplace(
        arrives, delivery{operation.slot_, operation.instance_,
                          store::result{operation.operation_.token_, outcome}});
}

void simulated_world::send_to_peer(std::size_t from,
                                   const send_message& outgoing) {
    for (std::size_t to = 0; to < slot_count; ++to) {
        const bool lost = now_ < loss_until_ && random_below(2) == 0;
        if (slots_[to].running_ && slots_[to].instance_ == outgoing.to_ &&
            connected(from, to) && !lost) {
            deliveries_.emplace(at(milliseconds{1 + random_below(20)}),
                                delivery{to, outgoing.to_,
                                         peer_message{slots_[from].instance_,
                                                      outgoing.message_}});
        }
    }
}

void simulated_world::update_membership(std::size_t index) {
    auto& entry = slots_[index];
    peers_updated view;
    for (std::size_t other = 0; other < slot_count; ++other) {
        view.listed_.push_back(name(other));
    }
    bool frame_received = false;
    for (std::size_t other = 0; other < slot_count; ++other) {
        const auto& peer = slots_[other];
        if (other == index) {
            continue;
        }
        const bool reached =
            peer.running_ && !paused(other) && connected(index, other);
        if (reached) {
            frame_received = true;
            entry.last_reached_[other] = now_;
            // The peer's applied number arrives by gossip after a delay.
            if (random_below(20) == 0) {
                entry.gossip_[other] = peer.applied_;
            }
        }
        if (entry.last_reached_.contains(other) && peer.running_ &&
            now_ - entry.last_reached_[other] < failure_detection_time) {
            view.live_.push_back(
                {peer.instance_, name(other), entry.gossip_[other]});
        }
    }
    deliver(index, view);
    if (frame_received) {
        deliver(index, peer_frame_received{});
    }
}

void simulated_world::submit(std::size_t index,
                             std::uint64_t number,
                             std::string nonce,
                             std::string text) {
    if (!slots_[index].running_ || paused(index)) {
        return;
    }
    const auto request = ++last_request_;
    submitted_[request] = submitted{std::move(nonce), text, number};
    deliver(index, apply{operator_request{request}, std::move(text)});
}

void simulated_world::submit_new(std::size_t index, std::uint64_t number) {
    const auto nonce = "n" + std::to_string(++last_nonce_);
    submit(index, number, nonce, make_ticket(number, nonce));
}

void simulated_world::check_answer(const operator_answer& reply) {
    const auto position = submitted_.find(reply.request_.value_);
    if (position == submitted_.end()) {
        return;
    }
    const auto& ticket = position->second;
    const auto winner = accepted_text_.find(ticket.number_);
    const bool won = winner != accepted_text_.end() &&
                     winner->second == canonical(ticket.text_);
    if (std::holds_alternative<accepted>(reply.answer_) && !won) {
        add_violation("accepted a ticket that did not win its number");
    }
    if (const auto* taken = std::get_if<number_taken>(&reply.answer_)) {
        if (won || winner == accepted_text_.end()) {
            add_violation("number_taken for a number that was not taken");
        } else if (winner->second.find("\"" + taken->operator_ + "\"") ==
                   std::string::npos) {
            add_violation("number_taken names another operator");
        }
    }
}

void simulated_world::check_head(const std::string& value) {
    const auto written = decode_head(value);
    if (!written) {
        add_violation("the head is malformed");
        return;
    }
    auto number = written->base_number_;
    for (const auto& text : written->tickets_) {
        ++number;
        const auto [position, added] = accepted_text_.emplace(number, text);
        if (position->second != text) {
            add_violation("two winners of number " + std::to_string(number));
        }
        if (added && number != accepted_number_ + 1) {
            add_violation("a gap before number " + std::to_string(number));
        }
        if (added) {
            accepted_at_[number] = now_;
            accepted_number_ = number;
        }
    }
    if (written->number_ != accepted_number_) {
        add_violation("the head lost a number");
    }
}

void simulated_world::postpone_unreadable() {
    // A ticket whose write result was lost is unknown to every entry until one
    // of them reads the store again; its operator received
    // `store_unavailable` with `may_be_accepted_`.
    bool readable = store_mode_ == store_mode::up;
    const auto can_read = [&](std::size_t index) {
        return slots_[index].running_ && !paused(index) && reaches_store(index);
    };
    bool any = false;
    for (std::size_t index = 0; index < slot_count; ++index) {
        any = any || can_read(index);
    }
    readable = readable && any;
    for (auto& [number, when] : accepted_at_) {
        if (number > highest_applied_ && !readable) {
            when = now_;
        }
    }
}

void simulated_world::check_serving(std::size_t index) {
    const auto& entry = slots_[index];
    if (!entry.running_ || paused(index)) {
        return;
    }
    const auto next = accepted_at_.find(entry.log_->number() + 1);
    if (entry.log_->serving(now_).allowed_ && next != accepted_at_.end() &&
        now_ - next->second > in_force_limit) {
        add_violation(name(index) + " serves by ticket " +
                      std::to_string(entry.log_->number()) +
                      ", but the next was "
                      "accepted more than 8 s ago");
    }
}

void simulated_world::check_converged() {
    for (std::size_t index = 0; index < slot_count; ++index) {
        const auto& entry = slots_[index];
        if (entry.log_->number() != accepted_number_) {
            add_violation(name(index) + " ends at " +
                          std::to_string(entry.log_->number()) +
                          " instead of " + std::to_string(accepted_number_));
        }
        if (config::to_json(*entry.log_->state()) !=
            config::to_json(*slots_[0].log_->state())) {
            add_violation(name(index) + " ends with another state");
        }
        if (accepted_number_ > 0 && !entry.log_->serving(now_).allowed_) {
            add_violation(name(index) + " does not serve at the end");
        }
    }
    for (const auto& [number, text] : accepted_text_) {
        const auto archived = store_.keys().find(history_key(number));
        const auto held = slots_[0].log_->number() == number ||
                          archived != store_.keys().end();
        if (archived != store_.keys().end() &&
            archived->second.value_ != text) {
            add_violation("the history differs at " + std::to_string(number));
        }
        const auto current = store_.keys().find(std::string{head_key});
        const auto head = decode_head(current->second.value_);
        if (!held && head && number <= head->base_number_) {
            add_violation("the history lacks " + std::to_string(number));
        }
    }
}

void simulated_world::add_violation(const std::string& text) {
    violations_.push_back(text);
}

} // namespace pimentoferry::tickets::testing
