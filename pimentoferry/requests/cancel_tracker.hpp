/// Cancels that are sent until they are resolved.
///
/// An engine keeps memory for an attempt that nobody wants until it hears a
/// cancel, and a cancel may be lost. Each one stays here and is repeated with
/// backoff until the engine confirms it, the engine instance is gone, or the
/// engine's own hold has ended.
///
///     cancel_tracker cancels{cancel_limits{}};
///     cancels.add({attempt, engine, hold_end, fingerprint}, now);
///     for (const cancel_attempts& c : cancels.added()) { send(c); }
///     cancels.confirmed(engine, {attempt});
///     for (const cancel_attempts& c : cancels.due(later)) { send(c); }
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

/// An attempt to be cancelled at an engine.
struct cancel_order {
    base::attempt_id attempt_;
    base::upstream_name engine_;
    /// The engine holds nothing for the attempt after this, whatever happens.
    base::time_point hold_end_;
    /// What ran, should the engine crash before it confirms; nothing when
    /// the attempt no longer ran there.
    std::optional<crash_candidate> crash_candidate_;
    /// The first call of the attempt to the engine is not answered yet, so it
    /// is not known whether the engine received it.
    bool unanswered_{false};
};

class cancel_tracker {
public:
    explicit cancel_tracker(cancel_limits limits);

    /// Starts a cancel. A cancel of the same attempt at the same engine is
    /// replaced.
    void add(const cancel_order& order, base::time_point now);

    /// First sends of the cancels that were added since the last call, one
    /// action for each engine.
    std::vector<cancel_attempts> take_added();

    /// The engine answered. Returns whether any of them was open.
    bool confirm(const base::upstream_name& engine,
                 const std::vector<base::attempt_id>& attempts);

    /// The open call of a cancelled attempt was answered, or failed. One that
    /// was never sent needs no cancel and takes no blame. Without `engine`,
    /// the answer is of the only open call of the attempt.
    void call_answered(base::attempt_id attempt,
                       const std::optional<base::upstream_name>& engine,
                       bool sent);

    bool awaits_answer(base::attempt_id attempt,
                       const base::upstream_name& engine) const;

    /// The engine instance is gone, and what it held of these attempts with
    /// it. Returns what may still have run there.
    std::vector<crash_candidate>
    drop_crashed_engine(const base::upstream_name& engine,
                        const std::set<base::attempt_id>& attempts);

    /// Cancels to repeat now. Those whose hold has ended are dropped, so this
    /// is called after the events that already wait: one of them may tell
    /// that the engine crashed.
    std::vector<cancel_attempts> take_due(base::time_point now);

    /// Whether a cancelled attempt of the fingerprint may still run.
    bool may_run(std::uint64_t fingerprint) const;

    /// When `due` has something to do next.
    std::optional<base::time_point> next_due() const;

    /// Open cancels.
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
    /// Entries whose call is not answered.
    std::set<std::pair<base::attempt_id, base::upstream_name>>
        unanswered_calls_;
};

} // namespace pimentoferry::requests

#endif
