/// Messages between an entry and a cell owner.
///
/// An entry sends one placement request per attempt, and the owner replies with
/// a grant or a refusal. Every message carries the attempt id, so that delayed
/// or repeated messages of an earlier attempt are recognized and dropped.
#ifndef PIMENTOFERRY_PLACEMENT_MESSAGES_HPP
#define PIMENTOFERRY_PLACEMENT_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::placement {

/// Requests a prefill engine and the reservation of a decode slot.
struct placement_request {
    base::attempt_id attempt_;
    base::request_id request_;
    base::cell_name cell_;
    base::caller_name caller_;
    base::failure_domain failure_domain_; ///< Of the requesting entry.
    std::uint32_t prompt_tokens_{0};      ///< An estimate.
    std::uint32_t max_output_tokens_{0};
    /// Hashes of the prompt's prefixes, one for each full KV block.
    std::vector<std::uint64_t> prefix_hashes_;
    base::milliseconds first_token_budget_{0}; ///< Remaining when sent.
    std::uint8_t priority_{0};
    bool suspect_{false}; ///< Has a crash mark.
    /// The request was granted before and lost its engine. It is queued until
    /// its budget ends, because an immediate refusal would discard finished
    /// work.
    bool rerun_{false};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.request_, self.cell_, self.caller_,
                        self.failure_domain_, self.prompt_tokens_,
                        self.max_output_tokens_, self.prefix_hashes_,
                        self.first_token_budget_, self.priority_, self.suspect_,
                        self.rerun_);
    }
};

/// The prefill may start; a slot of the decode pool is reserved.
struct placement_grant {
    base::attempt_id attempt_;
    base::upstream_name prefill_;
    /// Provisional: used if the owner becomes unreachable before it binds an
    /// engine.
    base::upstream_name decode_;
    bool prefill_at_decode_{false}; ///< Prefill and decode at `decode_`.

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.prefill_, self.decode_,
                        self.prefill_at_decode_);
    }
};

struct placement_refusal {
    base::attempt_id attempt_;
    base::refusal_code code_{base::refusal_code::overloaded};
    base::milliseconds retry_after_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.code_, self.retry_after_);
    }
};

/// The request is in the owner's queue; a grant or a refusal follows. The owner
/// sends this immediately if it cannot grant immediately, because an entry
/// considers an owner unreachable that has not replied for 300 ms.
struct placement_queued {
    base::attempt_id attempt_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// The prefill ended; the owner replies with `decode_bound`.
struct prefill_finished {
    base::attempt_id attempt_;
    std::uint32_t prompt_tokens_{0};
    std::uint32_t cached_tokens_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.prompt_tokens_,
                        self.cached_tokens_);
    }
};

/// The decode engine to which the KV cache is transferred.
struct decode_bound {
    base::attempt_id attempt_;
    base::upstream_name decode_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.decode_);
    }
};

/// Why a bound engine could not be used.
enum class loss_reason : std::uint8_t {
    refused, ///< The engine was full.
    stalled, ///< The transfer missed its deadline.
    failed,  ///< The engine returned an error or closed the connection.
    crashed, ///< The engine process crashed.
};

/// The attempt lost an engine. After the loss of a decode engine the owner
/// replies with `decode_bound` or `placement_refusal`; the loss of a prefill
/// engine ends the attempt.
struct engine_lost {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    loss_reason reason_{loss_reason::failed};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.engine_, self.reason_);
    }
};

/// The first token arrived; the prefill engine no longer holds resources for
/// the attempt.
struct decode_started {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

enum class release_reason : std::uint8_t { completed, cancelled, failed };

/// The attempt ended, in any stage; the owner frees its resources.
struct placement_release {
    base::attempt_id attempt_;
    release_reason reason_{release_reason::completed};
    std::uint32_t output_tokens_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.reason_, self.output_tokens_);
    }
};

/// Stage of an announced attempt.
enum class announced_stage : std::uint8_t {
    prefilling,
    transferring,
    decoding
};

/// Announces a running attempt to a new owner of the cell.
struct attempt_announcement {
    base::attempt_id attempt_;
    base::cell_name cell_;
    base::caller_name caller_;
    base::upstream_name prefill_;
    base::upstream_name decode_;
    announced_stage stage_{announced_stage::prefilling};
    std::uint32_t prompt_tokens_{0};
    std::uint32_t max_output_tokens_{0};
    bool suspect_{false};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.cell_, self.caller_, self.prefill_,
                        self.decode_, self.stage_, self.prompt_tokens_,
                        self.max_output_tokens_, self.suspect_);
    }
};

/// What an entry sends to a cell owner.
using to_owner = std::variant<placement_request,
                              prefill_finished,
                              engine_lost,
                              decode_started,
                              placement_release,
                              attempt_announcement>;

/// What a cell owner sends to an entry.
using to_entry = std::
    variant<placement_grant, placement_refusal, decode_bound, placement_queued>;

} // namespace pimentoferry::placement

#endif
