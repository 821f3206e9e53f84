/// Pulls in flight to peers.
///
/// One pull serves to fetch a number that a peer announced. A round asks
/// several peers, to confirm after a start or a pause that nothing is missing;
/// it is complete when all of them answered, or after 1 s. Only answers of
/// entries that serve themselves confirm: two entries that were cut off
/// together must not confirm each other.
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
    /// Whether a pull for a number is in flight.
    bool pulling(base::time_point now) const {
        return single_ && now - single_sent_ < pull_limit;
    }

    void pull(base::instance_id peer,
              std::uint64_t after,
              base::time_point now,
              std::vector<action>& out) {
        single_ = ++last_request_;
        single_sent_ = now;
        out.emplace_back(send_message{peer, ticket_pull{after, *single_}});
    }

    bool in_round() const { return round_open_; }

    void begin_round(const std::vector<base::instance_id>& peers,
                     ticket_pull question,
                     base::time_point now,
                     std::vector<action>& out) {
        round_open_ = !peers.empty();
        round_sent_ = now;
        round_answers_ = 0;
        round_.clear();
        for (const auto peer : peers) {
            question.request_ = ++last_request_;
            round_.push_back(last_request_);
            out.emplace_back(send_message{peer, question});
        }
    }

    /// Notes an answer, and whether it confirms. Returns when the round was
    /// sent, if it is complete.
    std::optional<base::time_point> answered(std::uint64_t request,
                                             bool confirms) {
        if (single_ == request) {
            single_.reset();
        }
        if (std::erase(round_, request) == 0 || !round_open_) {
            return std::nullopt;
        }
        round_answers_ += confirms ? 1 : 0;
        return round_.empty() ? close() : std::nullopt;
    }

    /// Ends a round that takes too long, as `answered` does.
    std::optional<base::time_point> expire(base::time_point now) {
        if (!round_open_ || now - round_sent_ < round_limit) {
            return std::nullopt;
        }
        return close();
    }

private:
    std::optional<base::time_point> close() {
        round_open_ = false;
        return round_answers_ > 0 ? std::optional{round_sent_} : std::nullopt;
    }

    std::uint64_t last_request_{0};
    std::optional<std::uint64_t> single_;
    base::time_point single_sent_;
    bool round_open_{false};
    base::time_point round_sent_;
    std::vector<std::uint64_t> round_; ///< Requests without an answer.
    std::size_t round_answers_{0};
};

} // namespace pimentoferry::tickets

#endif
