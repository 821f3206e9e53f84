/// Messages by which entries pass tickets to one another.
#ifndef PIMENTOFERRY_TICKETS_MESSAGES_HPP
#define PIMENTOFERRY_TICKETS_MESSAGES_HPP

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::tickets {

/// Announces the highest number that the sender has applied.
struct number_push {
    std::uint64_t number_{0};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.number_);
    }
};

/// Asks for all tickets after `after_`.
struct ticket_pull {
    std::uint64_t after_{0};
    /// Returned in the answer, so that an answer which waited in a buffer
    /// while its receiver was paused is not taken for a fresh one.
    std::uint64_t request_{0};
    /// The sender never reached the store and asks which entries there are.
    bool wants_known_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.after_, self.request_, self.wants_known_);
    }
};

/// Tickets `after_ + 1` onwards, or the whole state at `base_number_` and the
/// tickets after it where the sender no longer holds the older ones.
struct ticket_batch {
    std::uint64_t base_number_{0};
    std::string base_state_;           ///< JSON; empty when not needed.
    std::vector<std::string> tickets_; ///< JSON, in number order.
    std::uint64_t request_{0};         ///< Of the pull.
    std::uint64_t number_{0};          ///< The highest the sender applied.
    std::uint64_t heard_{0};           ///< The highest the sender heard of.
    /// Revision of `tickets/head` with that number, or 0 where unknown. It
    /// lets the receiver's next poll see that nothing is missing without
    /// reading the whole head.
    std::uint64_t revision_{0};
    /// The sender takes new work by what it sends, so the batch confirms the
    /// state of its receiver.
    bool in_force_{false};
    /// Names of the entries that the sender judges a partition by, if asked
    /// for.
    std::vector<std::string> known_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.base_number_, self.base_state_, self.tickets_,
                        self.request_, self.number_, self.heard_,
                        self.revision_, self.in_force_, self.known_);
    }
};

using message = std::variant<number_push, ticket_pull, ticket_batch>;

} // namespace pimentoferry::tickets

#endif
