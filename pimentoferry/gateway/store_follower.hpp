/// Keeps a gateway's local replica of the store's data up to date.
///
/// A complete listing is followed by one watch after another, or by updates
/// from peers that watch the store. A new listing is made when the store no
/// longer has the history since the last watch, or has come back from an older
/// copy. After failures, and while listings do not lead to a watch, the pause
/// before the next call grows, so that a store that recovers does not receive
/// calls of all gateways at once.
///
/// The era of the store is learned from its answers and from peers. An answer
/// of an earlier era is late and counts as lost, unless several in a row answer
/// calls that were sent after the later era had been heard of: then that era
/// was a mistake. An answer without an era is taken for one of the known era,
/// and so is one whose era is implausibly high.
///
///     store_follower follower{io, store, counters, options, on_changes};
///     follower.start(should_watch);
///     follower.merge(update_of_a_peer);
///
/// All functions and handlers run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_STORE_FOLLOWER_HPP
#define PIMENTOFERRY_GATEWAY_STORE_FOLLOWER_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/store/availability.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

struct store_follower_options {
    /// Prefix of the keys to replicate; empty for all keys.
    std::string prefix_;
    /// Longest wait of one watch. It limits how long a connection that has
    /// stopped delivering data goes unnoticed.
    base::milliseconds watch_wait_{1500};
    std::uint64_t seed_{0}; ///< Of the backoff jitter.
};

class store_follower {
public:
    /// `origin`: "list", "watch" or "peer"; "copy" for what follows from the
    /// store's return from an older copy.
    using changes_handler = std::function<void(
        const std::vector<store::mirror_change>&, std::string_view origin)>;

    /// `on_restored` is called when the store is found to have come back from
    /// an older copy, before the changes that follow from that.
    store_follower(boost::asio::io_context& io,
                   store::http_store& store,
                   metrics& counters,
                   store_follower_options options,
                   changes_handler on_changes,
                   std::function<void()> on_restored);

    /// Starts to follow the store. `should_watch` returns whether this gateway
    /// is among those that watch it; any other gateway watches only while no
    /// peer confirms its replica.
    void start(std::function<bool()> should_watch);

    /// Returns what a peer lacks whose replica is complete up to `since`.
    replica_update update_since(store::position since,
                                base::time_point now) const;

    /// Merges the changes that a peer sent, and when the store answered it.
    void merge(const replica_update& update);

    /// Keeps this gateway from watching the store itself until then, because a
    /// peer sends an update: a copy from the store would share its link.
    void expect_update(base::time_point until) {
        update_expected_until_ = until;
    }

    /// Whether the store itself has confirmed the replica recently.
    bool current(base::time_point now) const;

    /// Whether the store, or a peer that the store has confirmed, has confirmed
    /// the replica recently.
    bool confirmed(base::time_point now) const;

    /// When that was last; unset if it never was.
    std::optional<base::time_point> last_confirmed() const;

    /// Empty, at revision 0, before the first listing or update.
    const store::mirror& replica() const { return replica_; }

    /// The latest era of the store that this gateway has heard of; 0: none.
    store::era era() const { return era_; }

    /// When the store last came back, after an outage or from an older copy;
    /// unset if it is not known to have been away.
    std::optional<base::time_point> store_returned_at() const;

    /// When the store answered this gateway or its peers.
    const store::availability& availability() const { return availability_; }

private:
    http::awaitable<void> run();
    http::awaitable<bool> list_all();
    http::awaitable<bool> watch_once();
    http::awaitable<store::outcome> call(store::request request,
                                         std::string_view name);
    /// The origin of changes that took the replica on from `before`.
    std::string_view origin_of(store::position before,
                               std::string_view source) const;
    void note_era(store::era heard, std::string_view told_by);
    /// Whether an answer belongs to the known era or a later one. `known`: the
    /// era that was known when the call was sent.
    bool is_of_this_era(const store::result& answer, store::era known);
    void refute_era(store::era actual);
    void give_up_replica();
    void record_result(bool responded, std::string_view operation);
    void log_availability_change(
        const std::optional<store::answering_span>& before) const;
    base::milliseconds next_backoff();

    boost::asio::io_context& io_;
    store::http_store& store_;
    metrics& counters_;
    store_follower_options options_;
    changes_handler on_changes_;
    std::function<void()> on_restored_;
    store::mirror replica_;
    store::availability availability_;
    std::function<bool()> should_watch_;
    base::time_point confirmed_at_; ///< Last confirmation by a peer.
    base::time_point update_expected_until_;
    bool listed_{false};
    store::era era_{0}; ///< The latest one heard of.
    /// Answers in a row that contradict `era_`.
    std::uint32_t contradictions_{0};
    std::optional<store::era> refuted_era_; ///< Not taken from peers again.
    std::optional<base::time_point> restored_at_;
    std::uint32_t restores_{0};
    std::uint32_t failures_{0};
    /// Listings since the last watch that the store answered with changes.
    std::uint32_t lost_histories_{0};
    std::uint64_t backoff_count_{0};
};

} // namespace pimentoferry::gateway

#endif
