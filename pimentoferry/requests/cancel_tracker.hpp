/// Repeats cancels of attempts until they are resolved.
///
/// An engine holds memory for an abandoned attempt until it receives a cancel,
/// and a cancel may be lost. The tracker repeats each cancel with exponential
/// backoff until the engine confirms it, the engine instance has crashed, or
/// the engine frees the memory by itself.
///
///     cancel_tracker cancels{cancel_limits{}};
///     cancels.add({attempt, engine, hold_end, candidate}, now);
///     for (const cancel_attempts& c : cancels.take_added()) { send(c); }
///     cancels.confirm(engine, {attempt});
///     for (const cancel_attempts& c : cancels.take_due(later)) { send(c); }
#ifndef PIMENTOFERRY_REQUESTS_CANCEL_TRACKER_HPP
#define PIMENTOFERRY_REQUESTS_CANCEL_TRACKER_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/requests/events.hpp"
#include "pimentoferry/requests/quarantine.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

namespace pimentoferry::requests {

struct cancel_limits {
    base::milliseconds first_repeat_{200};
    base::milliseconds longest_repeat_{5'000};
};

/// A cancel of one attempt at one engine.
struct cancel_order {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    /// By this time the engine has freed the memory of the attempt, even
    /// without a cancel.
    base::time_point hold_end_;
    /// The request to consider when the engine crashes before it confirms;
    /// empty when the attempt no longer ran there.
    std::optional<crash_candidate> crash_candidate_;
    /// The first call of the attempt to the engine is not answered yet, so it
    /// is not known whether the engine received it.
    bool unanswered_{false};
};

class cancel_tracker {
public:
    explicit cancel_tracker(cancel_limits limits);

    /// Starts a cancel. It replaces a cancel of the same attempt at the same
    /// engine.
    void add(const cancel_order& order, base::time_point now);

    /// The first sends of the cancels that were added since the last call, one
    /// action per engine.
    std::vector<cancel_attempts> take_added();

    /// Resolves the cancels that the engine confirmed. Returns whether any of
    /// them was open.
    bool confirm(const base::upstream_name& engine,
                 const std::vector<base::attempt_id>& attempts);

    /// Records that the open call of a cancelled attempt was answered or
    /// failed. A call that was never sent needs no cancel and cannot have
    /// caused a crash. Without `engine`, the only open call of the attempt is
    /// meant.
    void call_answered(base::attempt_id attempt,
                       const std::optional<base::upstream_name>& engine,
                       bool sent);

    bool awaits_answer(base::attempt_id attempt,
                       const base::upstream_name& engine) const;

    /// Resolves the cancels of these attempts after the engine instance
    /// crashed, which freed their memory. Returns the requests that may still
    /// have run there.
    std::vector<crash_candidate>
    drop_crashed_engine(const base::upstream_name& engine,
                        const std::set<base::attempt_id>& attempts);

    /// The cancels to repeat now. Those whose `hold_end_` has passed are
    /// dropped, so events that are already queued are handled first: one of
    /// them may report that the engine crashed.
    std::vector<cancel_attempts> take_due(base::time_point now);

    /// Whether a cancelled attempt of the fingerprint may still run.
    bool may_run(std::uint64_t fingerprint) const;

    /// When `take_due` is to be called next; empty when no cancel is open.
    std::optional<base::time_point> next_due() const;

    /// The open cancels.
    std::vector<std::pair<base::attempt_id, base::upstream_name>> open() const;
    std::size_t size() const { return entries_.size(); }

private:
    using key = std::pair<base::upstream_name, base::attempt_id>;
    struct entry {
        base::time_point hold_end_;
        base::time_point next_;
        base::milliseconds delay_{0};
        std::optional<crash_candidate> crash_candidate_;
    };

    void erase(const key& k);
    static std::vector<cancel_attempts>
    group_by_engine(const std::set<key>& keys);

    cancel_limits limits_;
    std::set<key> added_;
    std::map<key, entry> entries_;
    std::set<std::pair<base::time_point, key>> timers_;
    /// Attempts and engines of entries whose call is not answered yet.
    std::set<std::pair<base::attempt_id, base::upstream_name>>
        unanswered_calls_;
};

} // namespace pimentoferry::requests

#endif
