/// Tracks the pulls in flight to peers.
///
/// A single pull fetches the tickets up to a number that a peer announced. A
/// round sends pulls to several peers, to confirm after a start or a pause that
/// no ticket is missing. It is complete when all of them have answered, or
/// after 1 s. Only the replies of entries that are serving confirm: two entries
/// that are partitioned from the rest together must not confirm each other.
#ifndef PIMENTOFERRY_TICKETS_PEER_PULLS_HPP
#define PIMENTOFERRY_TICKETS_PEER_PULLS_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/tickets/events.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace pimentoferry::tickets {

inline constexpr base::milliseconds pull_limit{500};
inline constexpr base::milliseconds round_limit{1000};

class peer_pulls {
public:
    /// Whether a single pull is in flight and has not timed out.
    bool pulling(base::time_point now) const {
        return single_ && now - single_sent_ < pull_limit;
    }

    /// Sends a single pull to `peer` for all tickets after `after`.
    void pull(base::instance_id peer,
              std::uint64_t after,
              base::time_point now,
              std::vector<action>& out) {
        single_ = ++last_request_;
        single_sent_ = now;
        out.emplace_back(send_message{peer, ticket_pull{after, *single_}});
    }

    bool in_round() const { return round_open_; }

    /// Sends `request` to all `peers`, each with a request number of its own.
    /// Replaces a round that is still open.
    void begin_round(const std::vector<base::instance_id>& peers,
                     ticket_pull request,
                     base::time_point now,
                     std::vector<action>& out) {
        round_open_ = !peers.empty();
        round_sent_ = now;
        confirmations_ = 0;
        round_.clear();
        for (const auto peer : peers) {
            request.request_ = ++last_request_;
            round_.push_back(last_request_);
            out.emplace_back(send_message{peer, request});
        }
    }

    /// Records a reply and whether its sender is serving. If this completes a
    /// round that at least one serving peer answered, returns the time at which
    /// the round was sent.
    std::optional<base::time_point> reply_received(std::uint64_t request,
                                                   bool confirms) {
        if (single_ == request) {
            single_.reset();
        }
        if (std::erase(round_, request) == 0 || !round_open_) {
            return std::nullopt;
        }
        confirmations_ += confirms ? 1 : 0;
        return round_.empty() ? close_round() : std::nullopt;
    }

    /// Closes a round that has timed out; returns the same as `reply_received`.
    std::optional<base::time_point> expire(base::time_point now) {
        if (!round_open_ || now - round_sent_ < round_limit) {
            return std::nullopt;
        }
        return close_round();
    }

private:
    std::optional<base::time_point> close_round() {
        round_open_ = false;
        return confirmations_ > 0 ? std::optional{round_sent_} : std::nullopt;
    }

    std::uint64_t last_request_{0};
    std::optional<std::uint64_t> single_;
    base::time_point single_sent_;
    bool round_open_{false};
    base::time_point round_sent_;
    std::vector<std::uint64_t> round_; ///< Unanswered requests.
    std::size_t confirmations_{0};
};

} // namespace pimentoferry::tickets

#endif
