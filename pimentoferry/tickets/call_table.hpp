/// Tracks the store operations in flight by token.
#ifndef PIMENTOFERRY_TICKETS_CALL_TABLE_HPP
#define PIMENTOFERRY_TICKETS_CALL_TABLE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"
#include "pimentoferry/tickets/events.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace pimentoferry::tickets {

/// The part of `ticket_log` that issued an operation.
enum class call_purpose : std::uint8_t {
    poll,
    head,
    acceptance,
    lookup,
    compaction,
};

struct call {
    call_purpose purpose_{call_purpose::poll};
    base::time_point sent_;
};

/// An operation without a result after this time counts as failed, in case the
/// caller of `ticket_log` never reports one.
inline constexpr base::milliseconds call_limit{5000};

class call_table {
public:
    /// Appends the operation to `out` and tracks it until `finish`.
    store::token issue(call_purpose purpose,
                       store::request request,
                       base::time_point now,
                       std::vector<action>& out) {
        const store::token token{++last_token_};
        calls_[token] = call{purpose, now};
        out.emplace_back(
            store_call{store::operation{token, std::move(request)}});
        return token;
    }

    /// Removes and returns the operation; nullopt if it is not in flight.
    std::optional<call> finish(store::token token) {
        const auto position = calls_.find(token);
        if (position == calls_.end()) {
            return std::nullopt;
        }
        const auto finished = position->second;
        calls_.erase(position);
        return finished;
    }

    /// Tokens of operations that have been in flight for over `call_limit`.
    std::vector<store::token> overdue(base::time_point now) const {
        std::vector<store::token> tokens;
        for (const auto& [token, pending] : calls_) {
            if (now - pending.sent_ > call_limit) {
                tokens.push_back(token);
            }
        }
        return tokens;
    }

private:
    std::uint64_t last_token_{0};
    std::map<store::token, call> calls_;
};

} // namespace pimentoferry::tickets

#endif
