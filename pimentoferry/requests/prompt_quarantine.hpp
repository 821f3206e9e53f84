/// Recognises the part of a prompt that crashes each engine which begins to
/// answer it, across requests that have nothing else in common.
///
/// A request that crashes an engine as its answer begins blames those of its
/// parts that no answer has begun with. A part with which an answer began is
/// sound, so parts that many requests share are rarely blamed. A crash makes
/// the soundness of the request's parts void until an answer begins with them
/// again: a part that turned bad later is blamed, one crash later than a new
/// one. Requests that ran beside the crash and had begun are not blamed.
///
/// A part that is blamed for two crashes is quarantined (`quarantine`). Parts
/// that were blamed for the same crashes are tied: any of them may be the
/// cause, so only requests with all of them are refused. A request with some of
/// them decides: an answer that begins clears its parts, another crash raises
/// their marks above the others.
///
/// The part that belongs to one request alone is blamed if all others are
/// sound: it recognises a request that its caller sends again. A call without a
/// prompt has this part alone, its fingerprint.
///
///     prompt_quarantine guard{quarantine_limits{}};
///     publish(guard.record_crash(prompt, now));
///     publish(guard.record_begin(prompt, now));
///     const auto admitted = guard.admit(prompt, now);
///     if (admitted.refused_for_) { /* refuse */ }
#ifndef PIMENTOFERRY_REQUESTS_PROMPT_QUARANTINE_HPP
#define PIMENTOFERRY_REQUESTS_PROMPT_QUARANTINE_HPP

#include "pimentoferry/base/time.hpp"
#include "pimentoferry/requests/quarantine.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace pimentoferry::requests {

/// The parts of a request's prompt, by id.
struct prompt_parts {
    std::vector<std::uint64_t> shared_; ///< Other requests may have them, too.
    std::uint64_t own_{0};              ///< Of this request; 0: unknown.
};

struct admission {
    /// How long requests like this one are refused; unset if it is admitted.
    std::optional<base::milliseconds> refused_for_;
    /// Parts that are tried with this request after their quarantine, for the
    /// other gateways.
    std::vector<std::uint64_t> tried_;
};

/// What became of the mark of another gateway.
enum class merge_result : std::uint8_t {
    changed,
    unchanged,
    /// An answer has begun with the part since the crash, so the other gateway
    /// should drop its mark.
    refuted,
};

class prompt_quarantine {
public:
    explicit prompt_quarantine(quarantine_limits limits) : marks_(limits) {}

    /// How long requests with these parts are refused; unset if they are not.
    std::optional<base::milliseconds> refused_for(const prompt_parts& prompt,
                                                  base::time_point now) const;

    /// As `refused_for`, for a new request. After a quarantine one request at a
    /// time is admitted, until an answer begins or another crash comes.
    admission admit(const prompt_parts& prompt, base::time_point now);

    /// Another gateway tries a part after its quarantine.
    void merge_trial(std::uint64_t part, base::time_point now);

    /// Whether a part that other requests may have was blamed for a crash.
    bool is_suspect(const prompt_parts& prompt, base::time_point now) const;

    /// An upstream crashed as it began to answer a request that was sent at
    /// `run_began`, if that is known. Returns the marks that were set or
    /// raised, for the other gateways.
    std::vector<crash_mark>
    record_crash(const prompt_parts& prompt,
                 base::time_point now,
                 base::time_point run_began = base::time_point::min());

    /// An answer began. Returns the marked parts that this proves sound, for
    /// the other gateways.
    std::vector<std::uint64_t> record_begin(const prompt_parts& prompt,
                                            base::time_point now);

    merge_result merge(const crash_mark& mark, base::time_point now);

    /// Another gateway saw an answer begin with the part.
    void merge_sound(std::uint64_t part, base::time_point now);

    bool is_blamed(std::uint64_t part, base::time_point now) const {
        return marks_.status_of(part, now) != crash_status::clear;
    }

    /// Whether any part has a mark.
    bool any_marks() const { return marks_.size() > 0; }

    bool is_quarantined(std::uint64_t part, base::time_point now) const {
        return marks_.status_of(part, now) == crash_status::quarantined;
    }

    std::vector<crash_mark> marks(base::time_point now) const {
        return marks_.marks(now);
    }

private:
    struct history {
        base::time_point last_begin_;
        /// First crash since `last_begin_`.
        std::optional<base::time_point> doubted_at_;
    };

    bool is_refused(std::uint64_t part,
                    const prompt_parts& prompt,
                    const std::vector<crash_mark>& marks,
                    base::time_point now) const;
    bool is_sound(std::uint64_t part, base::time_point now) const;
    bool counted_already(std::uint64_t part,
                         base::time_point now,
                         base::time_point run_began) const;
    void remember_begin(std::uint64_t part, base::time_point now);

    quarantine marks_;
    std::unordered_map<std::uint64_t, history> shared_parts_;
    /// When the last request was admitted after a quarantine, by part.
    std::unordered_map<std::uint64_t, base::time_point> trials_;
};

} // namespace pimentoferry::requests

#endif
