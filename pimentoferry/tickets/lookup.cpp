#include "pimentoferry/tickets/lookup.hpp"

#include "pimentoferry/tickets/acceptance.hpp"
#include "pimentoferry/tickets/head.hpp"

#include <utility>
#include <variant>

namespace pimentoferry::tickets {
namespace {

/// Extracts the ticket of that number from the value of a history key or of the
/// head.
std::optional<std::string> extract_ticket(const store::outcome& outcome,
                                          bool in_head,
                                          std::uint64_t number) {
    const auto* found = std::get_if<store::found>(&outcome);
    if (found == nullptr) {
        return std::nullopt;
    }
    if (!in_head) {
        return found->value_;
    }
    const auto value = decode_head(found->value_);
    if (!value || number <= value->base_number_ || number > value->number_) {
        return std::nullopt;
    }
    return value->tickets_[number - value->base_number_ - 1];
}

} // namespace

void lookup::query(const history_query& event,
                   base::time_point now,
                   const replica& local,
                   call_table& calls,
                   std::vector<action>& out) {
    if (auto text = local.ticket(event.number_)) {
        out.emplace_back(operator_answer{
            event.request_, history_found{event.number_, std::move(*text)}});
        return;
    }
    read(pending_lookup{event.request_, event.number_, std::nullopt, false},
         now, calls, out);
}

void lookup::compare(operator_request request,
                     config::ticket ticket,
                     base::time_point now,
                     call_table& calls,
                     std::vector<action>& out) {
    const auto number = ticket.number_;
    read(pending_lookup{request, number, std::move(ticket), false}, now, calls,
         out);
}

void lookup::handle(const store::result& result,
                    base::time_point now,
                    call_table& calls,
                    std::vector<action>& out) {
    const auto position = pending_.find(result.token_);
    if (position == pending_.end()) {
        return;
    }
    auto item = std::move(position->second);
    pending_.erase(position);
    if (std::holds_alternative<store::unavailable>(result.outcome_)) {
        out.emplace_back(
            operator_answer{item.request_, store_unavailable{false}});
        return;
    }
    const auto text =
        extract_ticket(result.outcome_, item.in_head_, item.number_);
    if (!text && !item.in_head_) {
        item.in_head_ = true;
        read(std::move(item), now, calls, out);
        return;
    }
    answer reply = history_absent{item.number_};
    if (text) {
        reply = item.ticket_ ? compare_tickets(*item.ticket_, *text)
                             : answer{history_found{item.number_, *text}};
    } else if (item.ticket_) {
        // A compaction moved the ticket to the history between the two reads.
        reply = store_unavailable{false};
    }
    out.emplace_back(operator_answer{item.request_, std::move(reply)});
}

void lookup::read(pending_lookup item,
                  base::time_point now,
                  call_table& calls,
                  std::vector<action>& out) {
    auto key =
        item.in_head_ ? std::string{head_key} : history_key(item.number_);
    const auto token =
        calls.issue(call_purpose::lookup, store::get{std::move(key)}, now, out);
    pending_.emplace(token, std::move(item));
}

} // namespace pimentoferry::tickets
