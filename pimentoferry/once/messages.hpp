/// Messages between an entry and the owner of an at-most-once shard.
///
/// The entry that accepted a non-idempotent call claims its key, and sends the
/// call to an upstream only after a `claim_answer` with `verdict::run`.
#ifndef PIMENTOFERRY_ONCE_MESSAGES_HPP
#define PIMENTOFERRY_ONCE_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>

namespace pimentoferry::once {

/// Hash of service, caller and idempotency key, with the key's issue time.
struct key_id {
    std::uint64_t high_{0};
    std::uint64_t low_{0};
    base::wall_time issued_;

    friend bool operator==(const key_id&, const key_id&) = default;
    friend auto operator<=>(const key_id&, const key_id&) = default;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.high_, self.low_, self.issued_);
    }
};

using shard_number = std::uint32_t;

/// Requests permission to send the call. A claim may be resent with the same
/// attempt.
struct claim {
    base::attempt_id attempt_;
    shard_number shard_{0};
    key_id key_;
    std::uint64_t body_hash_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.shard_, self.key_, self.body_hash_);
    }
};

/// The response of an upstream, as stored for replay.
struct stored_result {
    std::uint16_t status_{0};
    std::string content_type_;
    std::string body_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.status_, self.content_type_, self.body_);
    }
};

enum class verdict : std::uint8_t {
    run,         ///< The claim is durable: send the call once.
    replay,      ///< The result is stored and returned in `result_`.
    in_progress, ///< Another attempt holds the key and may still complete.
    unknown,     ///< The key is claimed, but its result is lost.
    key_reused,  ///< The key was claimed with another body.
    key_expired, ///< Issued before the shard's low watermark.
    unavailable, ///< The store is unavailable; the claim may or may not exist.
    not_owner,   ///< Retry at the owner in the membership view.
};

struct claim_answer {
    base::attempt_id attempt_;
    verdict verdict_{verdict::unavailable};
    stored_result result_; ///< Only for `replay`.
    /// Lets an entry that has erased the attempt abandon it after a `run`.
    key_id key_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.verdict_, self.result_, self.key_);
    }
};

/// The upstream's response; the owner stores it for replay. Resent until
/// `report_confirmed`.
struct report_result {
    base::attempt_id attempt_;
    shard_number shard_{0};
    key_id key_;
    stored_result result_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.shard_, self.key_, self.result_);
    }
};

/// The attempt was not sent and never will be. Resent until
/// `abandon_confirmed`.
struct abandon {
    base::attempt_id attempt_;
    shard_number shard_{0};
    key_id key_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.shard_, self.key_);
    }
};

struct abandon_confirmed {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

/// The call was sent and its result was lost: later claims of the key receive
/// `unknown`. Resent until `report_confirmed`.
struct report_lost {
    base::attempt_id attempt_;
    shard_number shard_{0};
    key_id key_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.shard_, self.key_);
    }
};

/// The result, or its loss, is durable; the entry may erase the attempt.
struct report_confirmed {
    base::attempt_id attempt_;
    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_);
    }
};

using to_owner = std::variant<claim, report_result, abandon, report_lost>;
using to_entry =
    std::variant<claim_answer, abandon_confirmed, report_confirmed>;

} // namespace pimentoferry::once

#endif
