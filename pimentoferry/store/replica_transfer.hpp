/// Paces the transfer of large deltas between replicas of the store's data.
///
/// A delta may take a second of a slow link. A replica that is behind asks one
/// peer at a time for it, and a peer does not promise more than its own link
/// can send soon: copies that are sent side by side delay each other.
///
///     transfer_window window{rate};            // of the sender
///     if (window.accepts(bytes, now)) { window.add(bytes, now); ... }
///
///     transfer_request request{rate};          // of the receiver
///     if (request.may_ask(now)) { request.asked(peer, end, bytes, now); ... }
///     request.reached(replica.current());
#ifndef PIMENTOFERRY_STORE_REPLICA_TRANSFER_HPP
#define PIMENTOFERRY_STORE_REPLICA_TRANSFER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/store/operations.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::store {

/// Bandwidth of a link.
struct link_rate {
    double bytes_per_ms_{0}; ///< 0: unknown.

    /// How long a transfer of `bytes` takes at least; 0 if unknown.
    base::milliseconds duration_of(std::size_t bytes) const;
};

link_rate rate_of_mbps(double mbps);

/// What a sender has promised to send.
class transfer_window {
public:
    explicit transfer_window(link_rate own_link) : link_(own_link) {}

    /// Whether a delta of this size would be sent soon. One at a time always
    /// is.
    bool accepts(base::time_point now) const;

    void add(std::size_t bytes, base::time_point now);

private:
    link_rate link_;
    base::time_point busy_until_;
};

/// The delta that a replica has asked a peer for.
class transfer_request {
public:
    explicit transfer_request(link_rate own_link) : link_(own_link) {}

    /// Whether no delta is awaited, or the awaited one is overdue.
    bool may_ask(base::time_point now) const;

    void asked(base::instance_id peer,
               position end,
               std::size_t bytes,
               base::time_point now);

    /// The peer does not send the delta after all.
    void declined(base::instance_id peer);

    /// The replica is complete up to `at`.
    void reached(position at);

    /// Until when a delta is awaited from the first peer that was asked for
    /// it; unset after a peer has not sent it in time.
    std::optional<base::time_point> expected_until() const;

private:
    struct awaited_delta {
        base::instance_id peer_;
        position end_;
        base::time_point due_;
    };

    link_rate link_;
    std::optional<awaited_delta> awaited_;
    std::uint32_t overdue_{0}; ///< Deltas in a row that did not come in time.
};

} // namespace pimentoferry::store

#endif
