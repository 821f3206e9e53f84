/// Messages between an entry and a cell owner.
///
/// An entry asks for a place once per attempt; the owner answers with a grant
/// or a refusal. All are addressed by attempt id, so a late or repeated
/// message of an earlier attempt is recognised and dropped.
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

/// Asks for a prefill engine and a promised decode place.
struct placement_request {
    base::attempt_id attempt_;
    base::request_id request_;
    base::cell_name cell_;
    base::caller_name caller_;
    base::failure_domain failure_domain_; ///< Of the asking entry.
    std::uint32_t prompt_tokens_{0};      ///< An estimate.
    std::uint32_t max_output_tokens_{0};
    /// Hashes of the prompt's prefixes, one for each full KV block.
    std::vector<std::uint64_t> prefix_hashes_;
    base::milliseconds first_token_budget_{0}; ///< Left at the time of sending.
    std::uint8_t priority_{0};
    bool suspect_{false}; ///< Carries a crash mark.
    /// Was granted a place before and lost its engine. It is queued up to its
    /// budget: a refusal at the door would throw away work already done.
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

/// The prefill may start now; a decode place is promised in the pool.
struct placement_grant {
    base::attempt_id attempt_;
    base::upstream_name prefill_;
    /// Provisional: used when the owner is lost before it binds one.
    base::upstream_name decode_;
    bool prefill_at_decode_{false}; ///< Prefill and decode on `decode_`.

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

/// The request waits in the owner's queue; a grant or a refusal follows.
/// Sent at once when a place request cannot be granted at once, because an
/// entry takes an owner that is silent for 300 ms for lost.
struct placement_queued {
    base::attempt_id attempt_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// The prefill is done; the owner answers with `decode_bound`.
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

/// The decode engine to which the KV cache goes.
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
    failed,  ///< The engine gave an error or closed the connection.
    crashed, ///< The engine instance is gone.
};

/// An engine was lost for this attempt. For a lost decode engine the owner
/// answers `decode_bound` or `placement_refusal`; a lost prefill engine ends
/// the attempt.
struct engine_lost {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    loss_reason reason_{loss_reason::failed};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.engine_, self.reason_);
    }
};

/// The first token arrived: the prefill engine holds nothing for it any more.
struct decode_started {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

enum class release_reason : std::uint8_t { completed, cancelled, failed };

/// The attempt ended, in any state; the owner forgets it.
struct placement_release {
    base::attempt_id attempt_;
    release_reason reason_{release_reason::completed};
    std::uint32_t output_tokens_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.reason_, self.output_tokens_);
    }
};

/// How far an announced attempt has come.
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
