/// Decides whether an instance may admit new work under its current state.
///
/// The gate guarantees that within 8 s of the acceptance of a ticket every
/// entry either serves under that ticket or admits no new work:
///
/// * The time of a contact is the time at which the request was sent, not the
///   time at which its reply arrived, because the reply may have been delayed
///   in a buffer.
/// * After a start, a pause, isolation or a partition, only the reply to a
///   request that was sent afterwards confirms the state. Unsolicited messages
///   may be stale.
/// * While the store is unreachable, an entry that can reach at most half of
///   the entries that it knew at its last contact with the store may be on the
///   minority side of a partition. Exactly half counts as a minority: a fleet
///   of two regions can split into two equal sides, and the other side may
///   accept tickets. A tenth of the known entries is added to this threshold,
///   because gossip about the last of a hundred lost entries takes longer than
///   the entry may serve: in fleets of 10 or more entries, an entry refuses
///   when it reaches at most 60 % of them.
#ifndef PIMENTOFERRY_TICKETS_SERVING_GATE_HPP
#define PIMENTOFERRY_TICKETS_SERVING_GATE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/config/settings.hpp"
#include "pimentoferry/tickets/events.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentoferry::tickets {

/// An entry that reached neither a peer nor the store for longer than this is
/// isolated.
inline constexpr base::milliseconds isolation_limit{5000};
/// A longer gap between two events counts as a pause of the process.
inline constexpr base::milliseconds pause_limit{2000};
/// How long this entry may serve while a newer number is known but not applied.
inline constexpr base::milliseconds behind_limit{3000};
/// How long an entry that crashed without leaving counts as known.
inline constexpr base::milliseconds known_entry_ttl{600000};

class serving_gate {
public:
    serving_gate(std::string name, config::partition_policy policy)
        : name_(std::move(name)), policy_(policy) {}

    /// Must be called before each event. A gap of more than 2 s since the last
    /// call counts as a pause of the process.
    void advance(base::time_point now);

    /// Records that the process may have been paused until `now`.
    void note_pause(base::time_point now);

    /// Records that a frame arrived from a peer.
    void note_peer_frame(base::time_point now) { last_peer_frame_ = now; }

    /// Records that the store answered an operation that was sent at `sent`.
    void note_store(base::time_point sent, base::time_point now);

    /// Records that a store operation that was sent at `sent` failed.
    void note_store_failed(base::time_point sent) {
        store_failed_ = std::max(store_failed_.value_or(sent), sent);
    }

    /// Records that a store operation sent at `sent` showed that this entry is
    /// missing no ticket.
    void note_confirmed(base::time_point sent);

    /// Records that peers which admit new work themselves answered pulls sent
    /// at `sent`, and that their tickets are applied. This confirms the state
    /// only if a store operation has failed since confirmation became
    /// necessary, because the store is the more complete source.
    void note_peers_agreed(base::time_point sent);

    /// Updates the live, listed and departed entries.
    void note_members(const peers_updated& members, base::time_point now);

    /// Adds the entries by which a peer detects a partition. Ignored once this
    /// instance has reached the store.
    void note_known_entries(const std::vector<std::string>& names);

    /// The entries by which a partition is detected.
    std::vector<std::string> known_entries() const {
        return {known_.begin(), known_.end()};
    }

    /// Whether this instance has ever reached the store.
    bool reached_store() const { return last_store_.has_value(); }

    /// Records the applied number and the highest number received.
    void note_numbers(std::uint64_t applied,
                      std::uint64_t highest,
                      base::time_point now);

    /// Whether new work is allowed at `now`. A pause that lasted until `now`
    /// is detected even if `advance` was not called since.
    serving_status evaluate(base::time_point now) const;

    /// Whether the state must be confirmed by the store or by peers before new
    /// work is allowed.
    bool needs_confirmation() const { return !confirmed_; }

private:
    /// Whether the store is unreachable and too few entries are live.
    bool partitioned(base::time_point now) const;
    /// Whether neither a peer nor the store was reached for `isolation_limit`.
    bool isolated(base::time_point now) const;
    /// Whether the list names no other entry and no other one is known.
    bool alone() const { return !listed_.empty() && known_.size() <= 1; }
    void add_current_entries();
    void require_confirmation(base::time_point now);

    std::string name_;
    config::partition_policy policy_;
    base::time_point last_event_;
    base::time_point last_peer_frame_;
    std::optional<base::time_point> last_store_;
    base::time_point unconfirmed_since_;
    std::optional<base::time_point> store_failed_;
    bool started_{false};
    bool confirmed_{false};
    std::uint64_t applied_{0};
    std::optional<base::time_point> behind_since_;
    std::set<std::string> live_;   ///< Names of live entries, incl. this one.
    std::set<std::string> listed_; ///< By the last list, less those that left.
    /// When each entry that has not left was last seen live.
    std::map<std::string, base::time_point> last_live_;
    /// The entries by which a partition is detected: those that were live
    /// within `known_entry_ttl` before the last contact with the store, and
    /// those in the list. Crashed entries are counted for that time, because an
    /// entry that loses its peers first and the store a minute later is not
    /// alone in the fleet. New entries are added for 5 s after the contact,
    /// because an entry that has just started reaches the store before its
    /// peers; entries that appear later might all be on this side of a
    /// partition.
    std::set<std::string> known_;
};

} // namespace pimentoferry::tickets

#endif
