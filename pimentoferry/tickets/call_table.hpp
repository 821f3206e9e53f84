/// Store operations in flight, by token.
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

/// The part of `ticket_log` that an operation belongs to.
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

/// A result that is later than this counts as lost, in case the driver never
/// reports it.
inline constexpr base::milliseconds call_limit{5000};

class call_table {
public:
    /// Appends the operation to `out` and remembers it.
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

    /// Forgets the operation; nothing when it is not in flight.
    std::optional<call> finish(store::token token) {
        const auto place = calls_.find(token);
        if (place == calls_.end()) {
            return std::nullopt;
        }
        const auto found = place->second;
        calls_.erase(place);
        return found;
    }

    /// Tokens whose results are overdue.
    std::vector<store::token> overdue(base::time_point now) const {
        std::vector<store::token> tokens;
        for (const auto& [token, waiting] : calls_) {
            if (now - waiting.sent_ > call_limit) {
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
