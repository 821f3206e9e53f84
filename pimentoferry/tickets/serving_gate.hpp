/// Decides whether an instance may take new work by the state it has.
///
/// The gate keeps the promise that within 8 s of the acceptance of a ticket
/// every entry either serves by it or takes no new work:
///
/// * Contact is counted from when a question was sent, not from when its
///   answer arrived, because the answer may have waited.
/// * After a start, a pause, isolation or a partition, only an answer to a
///   question sent afterwards confirms the state. Messages that arrive unasked
///   may be old.
/// * Without the store, an entry that hears at most half of the entries it
///   knew at its last contact with the store may be on the far side of a
///   partition. Exactly half is included: two equal sides exist in a fleet of
///   two regions, and the other side may accept tickets. A tenth of the known
///   entries is added, because gossip about the last of a hundred lost entries
///   takes longer than the entry may serve: from 10 entries on, it refuses
///   when it hears at most 60 % of them.
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

inline constexpr base::milliseconds isolation_limit{5000};
inline constexpr base::milliseconds pause_limit{2000};
/// How long a known newer number may be missing.
inline constexpr base::milliseconds behind_limit{3000};
/// How long an entry that died without leaving counts as known.
inline constexpr base::milliseconds memory_limit{600000};

class serving_gate {
public:
    serving_gate(std::string name, config::partition_policy policy)
        : name_(std::move(name)), policy_(policy) {}

    /// Time passes; a gap of more than 2 s since the last call is a pause.
    void advance(base::time_point now);

    /// The process may have been paused until now.
    void note_pause(base::time_point now);

    /// A frame arrived from a peer.
    void note_peer(base::time_point now) { last_peer_ = now; }

    /// The store answered an operation that was sent at `sent`.
    void note_store(base::time_point sent, base::time_point now);

    /// An operation that was sent at `sent` failed.
    void note_store_failed(base::time_point sent) {
        store_failed_ = std::max(store_failed_.value_or(sent), sent);
    }

    /// The store showed to a question sent at `sent` that nothing is missing.
    void note_confirmed(base::time_point sent);

    /// Peers that take new work themselves answered questions sent at `sent`,
    /// and what they had is applied. This confirms the state only once
    /// the store was asked too and failed, because the store knows more.
    void note_peers_agreed(base::time_point sent);

    void note_members(const peers_known& members, base::time_point now);

    /// Adds the entries that a peer judges by, while the store was never
    /// reached by this instance.
    void note_known(const std::vector<std::string>& names);

    /// The entries that a partition is judged by.
    std::vector<std::string> known() const {
        return {known_.begin(), known_.end()};
    }

    /// Whether this instance ever reached the store.
    bool reached_store() const { return last_store_.has_value(); }

    /// The applied number and the highest number heard of.
    void note_numbers(std::uint64_t applied,
                      std::uint64_t highest,
                      base::time_point now);

    /// Whether work is allowed at `now`; the pause check includes `now`.
    serving_allowed evaluate(base::time_point now) const;

    /// A question must be answered before work is allowed.
    bool needs_confirmation() const { return !confirmed_; }

private:
    /// Without the store, and at most half of the entries are heard.
    bool partitioned(base::time_point now) const;
    bool isolated(base::time_point now) const;
    /// The list names no other entry, and no other one was heard of.
    bool alone() const { return !listed_.empty() && known_.size() <= 1; }
    void widen_known();
    void unconfirm(base::time_point now);

    std::string name_;
    config::partition_policy policy_;
    base::time_point last_event_;
    base::time_point last_peer_;
    std::optional<base::time_point> last_store_;
    base::time_point unconfirmed_since_;
    std::optional<base::time_point> store_failed_;
    bool started_{false};
    bool confirmed_{false};
    std::uint64_t applied_{0};
    std::optional<base::time_point> behind_since_;
    std::set<std::string> live_;   ///< Names of entries, with this one.
    std::set<std::string> listed_; ///< By the last list, without those left.
    /// When each entry that has not left was last live.
    std::map<std::string, base::time_point> last_live_;
    /// What a partition is judged by: the entries that were live within
    /// `memory_limit` before the last contact with the store, and those in
    /// the list. Entries that
    /// died are counted for a while, because an entry that loses its peers
    /// first and the store a minute later is not alone. New entries are added
    /// for 5 s after the contact, because a fresh entry reaches the store
    /// before its peers; later they might all be on this side of a partition.
    std::set<std::string> known_;
};

} // namespace pimentoferry::tickets

#endif
