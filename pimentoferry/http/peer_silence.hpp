/// Decides from the kernel's counters whether the peer of a connection is gone.
///
/// A peer that is alive acknowledges what it receives, also while it reads
/// nothing and its receive window is closed. A peer that has lost its power or
/// is behind a network partition acknowledges nothing. The age of the last
/// acknowledgement alone does not tell them apart: with a closed window the
/// kernel waits up to minutes between two probes. The repetitions that nobody
/// answered do.
#ifndef PIMENTOFERRY_HTTP_PEER_SILENCE_HPP
#define PIMENTOFERRY_HTTP_PEER_SILENCE_HPP

#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>

namespace pimentoferry::http::internal {

/// The sending side of a connection as the kernel reports it.
struct transmission_state {
    /// Whether segments are in flight or the peer's window is being probed.
    bool awaits_acknowledgement_{false};
    /// Probes of a closed window since the last acknowledgement.
    std::uint32_t unanswered_probes_{0};
    /// Segments that were sent again, since the connection began.
    std::uint32_t retransmissions_{0};
    base::milliseconds since_acknowledgement_{0};
};

class peer_silence {
public:
    /// How long a peer may leave segments or probes unacknowledged.
    static constexpr base::milliseconds limit{3000};

    /// Records a sample. Returns whether the peer counts as gone.
    bool observe(const transmission_state& state, base::time_point now);

private:
    std::optional<base::time_point> awaited_since_;
    std::optional<base::time_point> acknowledged_at_;
    /// Retransmissions that an acknowledgement has followed.
    std::uint32_t answered_retransmissions_{0};
};

} // namespace pimentoferry::http::internal

#endif
