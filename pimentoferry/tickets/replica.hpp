/// Local replica of the state in force, with the recent tickets that led to it.
///
///     tickets::replica local;
///     if (local.add_ticket(text)) { use(local.state()); }
///
/// The applied number never decreases.
#ifndef PIMENTOFERRY_TICKETS_REPLICA_HPP
#define PIMENTOFERRY_TICKETS_REPLICA_HPP

#include "pimentoferry/config/state.hpp"
#include "pimentoferry/tickets/messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace pimentoferry::tickets {

class replica {
public:
    /// Number of the last applied ticket; 0 if there is none.
    std::uint64_t number() const { return number_; }

    /// The state at `number()`.
    const std::shared_ptr<const config::state>& state() const { return state_; }

    /// Revision of the head whose number is `number()`, or 0 if unknown.
    std::uint64_t head_revision() const { return head_revision_; }
    void set_head_revision(std::uint64_t revision) {
        head_revision_ = revision;
    }

    /// Applies an accepted ticket if its number is the next one, and returns
    /// whether it did. A ticket that is already applied changes nothing.
    bool add_ticket(const std::string& text);

    /// Replaces the state by the JSON state at `number` if that is newer and
    /// can be parsed. Returns whether it did.
    bool adopt_state(std::uint64_t number, std::string_view text);

    /// The text of an applied ticket, if it is still in memory.
    std::optional<std::string> ticket(std::uint64_t number) const;

    /// The tickets or the state that a peer at number `after` is missing. Holds
    /// neither if the state does not fit in a peer frame; the peer then reads
    /// the store.
    ticket_batch batch_after(std::uint64_t after) const;

private:
    void trim();

    std::uint64_t number_{0};
    std::uint64_t head_revision_{0};
    std::shared_ptr<const config::state> state_{
        std::make_shared<const config::state>()};
    std::deque<std::string>
        recent_; ///< Texts of the last tickets, up to `number_`.
    std::size_t recent_bytes_{0};
};

} // namespace pimentoferry::tickets

#endif
