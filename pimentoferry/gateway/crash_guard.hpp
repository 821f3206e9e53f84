/// Shares among the gateways which requests crash the upstreams that run them:
/// parts of prompts, and fingerprints of calls without a prompt.
///
/// A mark is sent to all gateways when it is set or raised, and one of the
/// others receives all marks every 500 ms, so that gateways that were cut off
/// have them soon. A gateway that starts reads the quarantined parts from the
/// store (`crash_record`). `requests::prompt_quarantine` decides.
///
/// Alternatives considered: the owner of a service's scheduler sees all streams
/// but is replaced when it is lost, and others place streams without it. The
/// store alone is not enough, because it cannot be written while it is away.
#ifndef PIMENTOFERRY_GATEWAY_CRASH_GUARD_HPP
#define PIMENTOFERRY_GATEWAY_CRASH_GUARD_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/gateway/call_fingerprint.hpp"
#include "pimentoferry/gateway/crash_record.hpp"
#include "pimentoferry/gateway/metrics.hpp"
#include "pimentoferry/gateway/peers.hpp"
#include "pimentoferry/gateway/upstream_protocol.hpp"
#include "pimentoferry/requests/prompt_quarantine.hpp"
#include "pimentoferry/wire/fleet_key.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::gateway {

class crash_guard {
public:
    /// `key` is that of the fleet, so that all gateways compute the same
    /// fingerprints.
    crash_guard(peers& peer_gateways,
                store::http_store& store,
                metrics& counters,
                const wire::fleet_key& key);

    /// What a call without a prompt is recognised by, see `call_fingerprint`.
    requests::prompt_parts parts_of(const http::request& call) const {
        return {{}, call_fingerprint(call, key_)};
    }

    /// Whether any request is blamed, so that parts have to be known.
    bool any_marks() const { return marks_.any_marks(); }

    /// How long a request is refused because of one of its parts; unset if it
    /// is not.
    std::optional<base::milliseconds>
    refused_for(const requests::prompt_parts& parts,
                base::time_point now) const;

    /// As `refused_for`, for a new request, see `prompt_quarantine::admit`.
    std::optional<base::milliseconds> admit(const requests::prompt_parts& parts,
                                            base::time_point now);

    /// Whether the part that belongs to the request alone was blamed.
    bool is_blamed(const requests::prompt_parts& parts,
                   base::time_point now) const {
        return marks_.is_blamed(parts.own_, now);
    }

    /// Whether a part of the request was blamed for a crash, so that another
    /// send may cost another engine.
    bool is_suspect(const requests::prompt_parts& parts,
                    base::time_point now) const;

    /// An upstream crashed as it began to answer the request, which was sent to
    /// it at `run_began`.
    void upstream_crashed(const std::string& request,
                          const requests::prompt_parts& parts,
                          const base::upstream_name& upstream,
                          base::time_point run_began);

    /// The answer to the request, or the first event of it, arrived.
    void answer_began(const std::string& request,
                      const requests::prompt_parts& parts);

    void receive(base::instance_id from, const blamed_parts& message);
    void receive(const sound_parts& message);
    void receive(const tried_parts& message);

    /// Takes over the record of the store.
    void receive(const store::item& record);

    /// Must be called at least every 100 ms.
    void tick(const store::mirror& replica, base::time_point now);

private:
    std::size_t writers_before_this_one() const;
    sound_parts merge(const blamed_parts& message, std::string_view told_by);
    void log_mark(const requests::crash_mark& mark,
                  std::string_view told_by) const;

    peers& peers_;
    metrics& counters_;
    crash_record record_;
    wire::fleet_key key_;
    requests::prompt_quarantine marks_;
    base::time_point next_exchange_;
};

/// The parts of the prompt of a stream.
requests::prompt_parts parts_of(const caller_request& request);

/// The parts that other requests may have, for log lines.
std::string shared_parts_text(const requests::prompt_parts& parts);

} // namespace pimentoferry::gateway

#endif
