#include "pimentoferry/tickets/replica.hpp"

#include "pimentoferry/config/change.hpp"
#include "pimentoferry/config/parse.hpp"

#include <variant>

namespace pimentoferry::tickets {
namespace {

// The head holds about 100 tickets; a peer that is missing more receives the
// state instead.
constexpr std::size_t recent_tickets = 128;
constexpr std::size_t recent_limit_bytes = 512UL * 1024;
// A peer frame holds at most 1 MB.
constexpr std::size_t batch_limit_bytes = 900UL * 1024;

} // namespace

bool replica::add_ticket(const std::string& text) {
    const auto parsed = config::parse_ticket(text, "accepted ticket");
    const auto* ticket = std::get_if<config::ticket>(&parsed);
    if (ticket == nullptr || ticket->number_ != number_ + 1) {
        return false;
    }
    state_ = std::make_shared<const config::state>(
        config::apply_ticket(*state_, *ticket));
    number_ = ticket->number_;
    head_revision_ = 0;
    recent_.push_back(text);
    recent_bytes_ += text.size();
    trim();
    return true;
}

bool replica::adopt_state(std::uint64_t number, std::string_view text) {
    if (number <= number_) {
        return false;
    }
    auto parsed = config::parse_state(text, "compacted state");
    auto* state = std::get_if<config::state>(&parsed);
    if (state == nullptr) {
        return false;
    }
    state_ = std::make_shared<const config::state>(std::move(*state));
    number_ = number;
    head_revision_ = 0;
    recent_.clear();
    recent_bytes_ = 0;
    return true;
}

std::optional<std::string> replica::ticket(std::uint64_t number) const {
    if (number > number_ || number + recent_.size() <= number_) {
        return std::nullopt;
    }
    return recent_[number + recent_.size() - number_ - 1];
}

ticket_batch replica::batch_after(std::uint64_t after) const {
    ticket_batch batch;
    batch.base_number_ = after;
    batch.number_ = number_;
    batch.revision_ = head_revision_;
    if (after >= number_) {
        return batch;
    }
    if (after + recent_.size() >= number_) {
        const auto missing = static_cast<std::ptrdiff_t>(number_ - after);
        batch.tickets_.assign(recent_.end() - missing, recent_.end());
        return batch;
    }
    auto text = config::to_json(*state_);
    if (text.size() <= batch_limit_bytes) {
        batch.base_number_ = number_;
        batch.base_state_ = std::move(text);
    }
    return batch;
}

void replica::trim() {
    while (recent_.size() > recent_tickets ||
           recent_bytes_ > recent_limit_bytes) {
        recent_bytes_ -= recent_.front().size();
        recent_.pop_front();
    }
}

} // namespace pimentoferry::tickets
