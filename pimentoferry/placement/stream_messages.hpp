/// Messages between a gateway and the gateway that owns the stream scheduler of
/// a service.
///
/// Fields are written in the order of `fields()` and variants by index, so the
/// order of members, enumerators and alternatives is part of the protocol.
#ifndef PIMENTOFERRY_PLACEMENT_STREAM_MESSAGES_HPP
#define PIMENTOFERRY_PLACEMENT_STREAM_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/software_version.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <optional>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::placement {

/// A prefill engine that takes longer for a prompt, with its wait for others,
/// is considered down, and the prompt is prefilled at another one. A prefill
/// takes about 100 ms.
inline constexpr base::milliseconds prefill_time_limit{1000};

/// Requests a prefill engine and decode memory for a stream.
struct stream_request {
    base::attempt_id attempt_;
    base::failure_domain failure_domain_; ///< Of the requesting gateway.
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    std::uint32_t expected_output_tokens_{0}; ///< 0: unknown.
    /// Time until the deadline of the first event.
    base::milliseconds budget_{0};
    /// Time until the caller gives up if it received no event.
    base::milliseconds patience_{0};
    /// Identifies the prompt, also across retries of its caller; 0: unknown.
    std::uint64_t prompt_id_{0};
    /// Time until the answer must be complete; 0: no limit.
    base::milliseconds time_left_{0};
    /// Longest retry delay that the caller honours; 0: unknown.
    base::milliseconds retry_window_{0};
    /// Priority of its client account, else of its route; 0 is the most urgent.
    std::uint32_t priority_{0};
    std::uint64_t account_{0}; ///< Hash of the account's name; 0: none.
    /// Relative share of the account in scarce engine memory.
    std::uint32_t account_weight_{1};
    /// Whether the caller has events of the stream already.
    bool resumed_{false};
    /// The version of the decode engine; unset if any may be used.
    std::optional<base::software_version> software_version_{};
    /// Engines that the requesting gateway may not use now.
    std::vector<base::upstream_name> excluded_{};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.failure_domain_,
                        self.prompt_tokens_, self.max_output_tokens_,
                        self.expected_output_tokens_, self.budget_,
                        self.patience_, self.prompt_id_, self.time_left_,
                        self.retry_window_, self.priority_, self.account_,
                        self.account_weight_, self.resumed_,
                        self.software_version_, self.excluded_);
    }
};

struct stream_grant {
    base::attempt_id attempt_;
    base::upstream_name prefill_; ///< Empty: the decode engine prefills.
    base::upstream_name decode_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.prefill_, self.decode_);
    }
};

enum class refusal_reason : std::uint8_t {
    no_room,    ///< No memory is expected in time.
    no_engine,  ///< There is no decode engine.
    too_large,  ///< The request exceeds the memory of every engine.
    limited,    ///< The engines with room announced limits that are used up.
    no_version, ///< No decode engine has the software version of the stream.
    excluded,   ///< The request excludes all engines of a role.
};

/// What the owner expected when it refused a request for lack of room.
struct room_report {
    /// Decode memory that is free when the request would start, and what it and
    /// the queued requests need, in tokens. Negative if overcommitted.
    std::int64_t free_decode_tokens_{0};
    std::int64_t needed_decode_tokens_{0};
    /// The same for the time of the prefill engines.
    base::milliseconds free_prefill_{0};
    base::milliseconds needed_prefill_{0};
    std::uint32_t queued_{0}; ///< Requests in both queues.
    /// What is free besides, at engines that have announced a limit and may not
    /// be sent the requests that would use it.
    std::int64_t withheld_decode_tokens_{0};
    base::milliseconds withheld_prefill_{0};

    /// Whether both resources suffice.
    bool sufficient() const {
        return free_decode_tokens_ >= needed_decode_tokens_ &&
               free_prefill_ >= needed_prefill_;
    }

    /// Whether both resources would suffice without the limits of engines.
    bool limits_bind() const {
        return !sufficient() &&
               free_decode_tokens_ + withheld_decode_tokens_ >=
                   needed_decode_tokens_ &&
               free_prefill_ + withheld_prefill_ >= needed_prefill_;
    }

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.free_decode_tokens_, self.needed_decode_tokens_,
                        self.free_prefill_, self.needed_prefill_, self.queued_,
                        self.withheld_decode_tokens_, self.withheld_prefill_);
    }
};

struct stream_refusal {
    base::attempt_id attempt_;
    refusal_reason reason_{refusal_reason::no_room};
    base::milliseconds retry_after_{0};
    room_report room_{}; ///< If there was no room.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.reason_, self.retry_after_,
                        self.room_);
    }
};

using stream_decision = std::variant<stream_grant, stream_refusal>;

/// Announces a stream that was granted its engines to a new owner.
struct stream_announcement {
    base::attempt_id attempt_;
    base::upstream_name prefill_;
    base::upstream_name decode_;
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    std::uint32_t expected_output_tokens_{0};
    bool prefilled_{false};
    bool started_{false};
    base::milliseconds running_for_{0}; ///< Time since its first event.
    /// See `stream_request`.
    std::optional<base::software_version> software_version_{};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.prefill_, self.decode_,
                        self.prompt_tokens_, self.max_output_tokens_,
                        self.expected_output_tokens_, self.prefilled_,
                        self.started_, self.running_for_,
                        self.software_version_);
    }
};

struct stream_prefilled {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

struct stream_started {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

enum class decode_rejection : std::uint8_t {
    full,        ///< The engine has no free memory or slot.
    unreachable, ///< No connection, or another instance has its address.
    /// The engine has another software version than the stream. Nothing was
    /// sent.
    other_version,
    /// The gateway may not use the engine now. It may have sent the stream
    /// there, and been told so.
    excluded,
};

struct stream_rejected {
    base::attempt_id attempt_;
    decode_rejection reason_{decode_rejection::full};
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.reason_);
    }
};

struct stream_engine_failed {
    base::upstream_name engine_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.engine_);
    }
};

struct stream_ended {
    base::attempt_id attempt_;
    std::uint32_t events_{0}; ///< Of a complete answer; else 0.
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.events_);
    }
};

/// Message of a gateway to the owner.
using stream_message = std::variant<stream_request,
                                    stream_announcement,
                                    stream_prefilled,
                                    stream_started,
                                    stream_rejected,
                                    stream_engine_failed,
                                    stream_ended>;

/// Reports that the request is queued; its decision follows.
struct stream_queued {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// Message of the owner to a gateway.
using stream_reply = std::variant<stream_grant, stream_refusal, stream_queued>;

} // namespace pimentoferry::placement

#endif
