/// Messages between an entry and the owner of an at-most-once shard.
///
/// The entry that took a non-idempotent call claims its key; it sends the
/// call to an upstream only after `claim_answer` with `verdict::run`.
#ifndef PIMENTOFERRY_ONCE_MESSAGES_HPP
#define PIMENTOFERRY_ONCE_MESSAGES_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <string>
#include <tuple>
#include <variant>

namespace pimentoferry::once {

/// Hash of service, caller and idempotency key, with the key's time of issue.
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

/// Asks whether the call may run. Repeating a claim with the same attempt is
/// safe.
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

/// A stored answer of an upstream.
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
    run,         ///< The record stands: send the call, once.
    replay,      ///< The result is known; `result_` holds it.
    in_progress, ///< Another attempt holds the record and may still answer.
    unknown,     ///< The record stands, its result is lost.
    key_reused,  ///< The key stands for another body.
    key_expired, ///< Issued before the shard's floor.
    unavailable, ///< The store does not answer; the record is not certain.
    not_owner,   ///< Ask the owner that the membership view names.
};

struct claim_answer {
    base::attempt_id attempt_;
    verdict verdict_{verdict::unavailable};
    stored_result result_; ///< Only for `replay`.
    /// An entry that no longer knows the attempt of a `run` abandons it.
    key_id key_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.verdict_, self.result_, self.key_);
    }
};

/// The upstream's answer; the owner stores it for replay. Repeated until
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

/// The attempt will never be sent. Repeated until `abandon_confirmed`.
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

/// The call was sent and its result was lost: the answer stays `unknown`.
/// Repeated until `report_confirmed`.
struct report_lost {
    base::attempt_id attempt_;
    shard_number shard_{0};
    key_id key_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.shard_, self.key_);
    }
};

/// The result, or its loss, is durable; the entry may forget the attempt.
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
