#include "pimentoferry/tickets/acceptance.hpp"

#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/check.hpp"
#include "pimentoferry/config/parse.hpp"
#include "pimentoferry/tickets/head.hpp"

#include <utility>
#include <variant>

namespace pimentoferry::tickets {
namespace {

invalid
invalid_field(std::string field, std::string value, std::string allowed) {
    return invalid{config::config_error{"ticket", 0, std::move(field),
                                        std::move(value), std::move(allowed)}};
}

void reply(operator_request request, answer value, std::vector<action>& out) {
    out.emplace_back(operator_answer{request, std::move(value)});
}

} // namespace

answer compare_tickets(const config::ticket& submitted,
                       const std::string& text) {
    const auto parsed = config::parse_ticket(text, "accepted ticket");
    const auto* winner = std::get_if<config::ticket>(&parsed);
    if (winner == nullptr) {
        return number_taken{submitted.number_, "", {}};
    }
    if (config::to_json(*winner) == config::to_json(submitted)) {
        return accepted{submitted.number_};
    }
    return number_taken{submitted.number_, winner->operator_,
                        config::touched_objects(*winner)};
}

void acceptance::submit(const apply& event,
                        base::time_point now,
                        std::vector<action>& out) {
    auto parsed = config::parse_ticket(event.ticket_, "ticket");
    if (const auto* error = std::get_if<config::config_error>(&parsed)) {
        reply(event.request_, invalid{*error}, out);
        return;
    }
    auto& ticket = std::get<config::ticket>(parsed);
    auto text = config::to_json(ticket);
    if (text.size() > ticket_limit_bytes) {
        reply(event.request_,
              invalid_field("ticket", std::to_string(text.size()) + " bytes",
                            "at most 262144 bytes; split it"),
              out);
        return;
    }
    if (queue_.size() >= acceptance_queue_limit) {
        reply(event.request_, store_unavailable{false}, out);
        return;
    }
    queue_.push_back(queued_ticket{event.request_, std::move(ticket),
                                   std::move(text), now + acceptance_limit,
                                   false});
}

std::vector<old_ticket> acceptance::handle_head(const caught_up& current,
                                                base::time_point now,
                                                replica& local,
                                                call_table& calls,
                                                std::vector<action>& out) {
    std::vector<old_ticket> old;
    while (needs_head()) {
        auto& item = queue_.front();
        const bool taken = item.ticket_.number_ <= local.number();
        if (taken && !local.ticket(item.ticket_.number_)) {
            old.push_back(old_ticket{item.request_, std::move(item.ticket_)});
            queue_.pop_front();
            continue;
        }
        if (auto refusal = refusal_for_ticket(item, current, local)) {
            answer_front(std::move(*refusal), out);
            continue;
        }
        auto next = current.head_;
        next.number_ = item.ticket_.number_;
        next.tickets_.push_back(item.text_);
        auto value = encode(next);
        if (value.size() > head_limit_bytes) {
            // The head has no room until a compaction, which is due, completes.
            answer_front(store_unavailable{item.write_sent_}, out);
            continue;
        }
        writing_ = true;
        written_ = std::move(next);
        item.write_sent_ = true;
        calls.issue(
            call_purpose::acceptance,
            store::put{
                std::string{head_key}, std::move(value), current.revision_, {}},
            now, out);
    }
    return old;
}

std::optional<answer>
acceptance::refusal_for_ticket(const queued_ticket& item,
                               const caught_up& current,
                               const replica& local) const {
    const auto number = item.ticket_.number_;
    if (const auto winner = local.ticket(number)) {
        return compare_tickets(item.ticket_, *winner);
    }
    const auto next = current.head_.number_ + 1;
    if (number != next) {
        return invalid_field("number", std::to_string(number),
                             "the next number, " + std::to_string(next));
    }
    auto after = config::apply_ticket(*local.state(), item.ticket_);
    if (auto error = config::check_state(after)) {
        return invalid{std::move(*error)};
    }
    return std::nullopt;
}

std::optional<head> acceptance::handle_write(const store::outcome& outcome,
                                             replica& local,
                                             std::vector<action>& out) {
    writing_ = false;
    auto head_written = std::exchange(written_, head{});
    const auto* written = std::get_if<store::written>(&outcome);
    if (written == nullptr || queue_.empty()) {
        return std::nullopt;
    }
    const auto number = queue_.front().ticket_.number_;
    // Has no effect if a peer has already sent this ticket back.
    local.add_ticket(queue_.front().text_);
    if (local.number() == number) {
        local.set_head_revision(written->revision_);
    }
    answer_front(accepted{number}, out);
    return head_written;
}

void acceptance::tick(base::time_point now, std::vector<action>& out) {
    while (!writing_ && !queue_.empty() && queue_.front().deadline_ <= now) {
        answer_front(store_unavailable{queue_.front().write_sent_}, out);
    }
}

void acceptance::answer_front(answer value, std::vector<action>& out) {
    reply(queue_.front().request_, std::move(value), out);
    queue_.pop_front();
}

} // namespace pimentoferry::tickets
