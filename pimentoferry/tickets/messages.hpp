/// Messages by which entries replicate tickets to one another. Their members
/// are encoded by position, in the order of `fields()`.
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

/// Requests all tickets after `after_`.
struct ticket_pull {
    std::uint64_t after_{0};
    /// Echoed in the reply, so that a reply that was buffered while its
    /// receiver was paused is not mistaken for a recent one.
    std::uint64_t request_{0};
    /// The sender has never reached the store and requests the names of the
    /// entries.
    bool wants_entries_{false};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.after_, self.request_, self.wants_entries_);
    }
};

/// Tickets `after_ + 1` onwards, or the whole state at `base_number_` and the
/// tickets after it if the sender no longer holds the older ones.
struct ticket_batch {
    std::uint64_t base_number_{0};
    std::string base_state_;           ///< JSON; empty if not needed.
    std::vector<std::string> tickets_; ///< JSON, in number order.
    std::uint64_t request_{0};         ///< `request_` of the pull.
    std::uint64_t number_{0};          ///< Applied by the sender.
    std::uint64_t highest_known_{0};   ///< Highest it received.
    /// Revision of `tickets/head` at `number_`, or 0 if unknown. It lets the
    /// receiver's next poll confirm that no ticket is missing without reading
    /// the whole head.
    std::uint64_t revision_{0};
    /// The sender admits new work under the state that it sends, so the batch
    /// confirms the state of its receiver.
    bool in_force_{false};
    /// Names of the entries by which the sender detects a partition, if
    /// requested.
    std::vector<std::string> known_entries_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.base_number_, self.base_state_, self.tickets_,
                        self.request_, self.number_, self.highest_known_,
                        self.revision_, self.in_force_, self.known_entries_);
    }
};

using message = std::variant<number_push, ticket_pull, ticket_batch>;

} // namespace pimentoferry::tickets

#endif
