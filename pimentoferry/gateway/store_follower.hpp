/// Keeps the copy of the store of a gateway up to date.
///
/// A complete listing is followed by one watch after another, or by what
/// peers that watch tell. When the store
/// has forgotten the history, or after the copy was found to be behind for
/// another reason, a new listing is made. Between failures there is a pause
/// that grows, so that a store that returns is not met by all gateways at
/// once.
///
///     store_follower follower{io, store, options, on_changes};
///     follower.start();
///     follower.merge(delta_of_a_peer);
///
/// All functions and handlers run on the thread of the io_context.
#ifndef PIMENTOFERRY_GATEWAY_STORE_FOLLOWER_HPP
#define PIMENTOFERRY_GATEWAY_STORE_FOLLOWER_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/http/awaitable.hpp"
#include "pimentoferry/store/http_store.hpp"
#include "pimentoferry/store/mirror.hpp"

#include <functional>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace pimentoferry::gateway {

struct store_follower_options {
    /// What to copy; empty for everything.
    std::string prefix_;
    /// Waiting time of one watch. It bounds how long a connection that went
    /// silent is trusted.
    base::milliseconds watch_wait_{1500};
    std::uint64_t seed_{0}; ///< Of the random pauses.
};

class store_follower {
public:
    using changes_handler =
        std::function<void(const std::vector<store::mirror_change>&)>;

    store_follower(boost::asio::io_context& io,
                   store::http_store& store,
                   metrics& counters,
                   store_follower_options options,
                   changes_handler on_changes);

    /// `watches`: whether this gateway is to watch the store. Another one only
    /// does so while no peer confirms its copy.
    void start(std::function<bool()> watches);

    /// Takes what a peer knows. `current`: the peer heard of the store just
    /// now.
    void merge(const store::mirror_delta& delta, bool current);

    /// Whether the store itself confirmed the copy just now.
    bool current(base::time_point now) const;

    const store::mirror& copy() const { return copy_; }

    /// Whether the store has not answered for a while or recovered from that
    /// only just now, so that registrations may have lapsed.
    bool disturbed(base::time_point now) const;

    bool reachable() const { return reachable_; }

private:
    http::awaitable<void> run();
    http::awaitable<bool> list_all();
    http::awaitable<bool> watch_once();
    http::awaitable<store::outcome> call(store::request request,
                                         std::string_view name);
    void note(bool answered, std::string_view operation);
    base::milliseconds next_pause();

    boost::asio::io_context& io_;
    store::http_store& store_;
    metrics& counters_;
    store_follower_options options_;
    changes_handler on_changes_;
    store::mirror copy_;
    std::function<bool()> watches_;
    base::time_point answered_at_;  ///< Last answer of the store.
    base::time_point confirmed_at_; ///< Last confirmation by a peer.
    bool listed_{false};
    bool reachable_{false};
    std::uint32_t failures_{0};
    std::uint64_t pauses_{0};
    base::time_point lost_at_;
    base::time_point recovered_at_;
};

} // namespace pimentoferry::gateway

#endif
