/// Messages between a gateway and the gateway that places the calls of a plain
/// service.
///
/// Fields are written in the order of `fields()`, so the order of members is
/// part of the protocol.
#ifndef PIMENTOFERRY_ROUTING_CALL_MESSAGES_HPP
#define PIMENTOFERRY_ROUTING_CALL_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/routing/domain_choice.hpp"
#include "pimentoferry/routing/replica_picker.hpp"

#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::routing {

/// Requests a place for a call at a replica.
struct place_request {
    base::attempt_id attempt_;
    base::failure_domain failure_domain_; ///< Of the requesting gateway.
    std::uint32_t priority_{0};           ///< 0 is the most urgent.
    std::uint64_t account_{0};            ///< Hash of its name; 0: none.
    /// Time until the latency objective; 0: it has passed.
    base::milliseconds budget_{0};
    base::milliseconds time_left_{0}; ///< Until the caller gives up.
    /// Longest retry delay that the caller honours.
    base::milliseconds retry_window_{0};
    /// Replicas that may not be chosen.
    std::vector<base::upstream_name> excluded_;
    bool may_repeat_{false};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.failure_domain_, self.priority_,
                        self.account_, self.budget_, self.time_left_,
                        self.retry_window_, self.excluded_, self.may_repeat_);
    }
};

struct place_grant {
    base::attempt_id attempt_;
    base::upstream_name replica_;
    leave_reason left_domain_{leave_reason::stays};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.replica_, self.left_domain_);
    }
};

struct place_refusal {
    base::attempt_id attempt_;
    bool no_replica_{false}; ///< Instead of: no place in time.
    base::milliseconds retry_after_{0};
    std::uint32_t waiting_{0}; ///< Calls that waited before it.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.no_replica_, self.retry_after_,
                        self.waiting_);
    }
};

using place_decision = std::variant<place_grant, place_refusal>;

/// A call that was sent without a grant.
struct place_taken {
    base::attempt_id attempt_;
    base::upstream_name replica_;
    base::milliseconds time_left_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.replica_, self.time_left_);
    }
};

/// A granted call ended, or a waiting one was abandoned.
struct place_released {
    base::attempt_id attempt_;
    call_result result_{call_result::abandoned};
    base::milliseconds duration_{0};
    bool connection_refused_{false};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.result_, self.duration_,
                        self.connection_refused_);
    }
};

/// The call waits for its place; the decision follows.
struct place_queued {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// Message of a gateway to the owner.
using place_message = std::variant<place_request, place_taken, place_released>;
/// Message of the owner to a gateway.
using place_reply = std::variant<place_grant, place_refusal, place_queued>;

} // namespace pimentoferry::routing

#endif
