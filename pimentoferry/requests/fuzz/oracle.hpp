/// What the invariant tests know independently of the request table: who
/// asked what, what each caller received, what ran, and what memory is held.
///
/// Each observer function throws `violation` when a promise is broken.
#ifndef PIMENTOFERRY_REQUESTS_FUZZ_ORACLE_HPP
#define PIMENTOFERRY_REQUESTS_FUZZ_ORACLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/requests/events.hpp"
#include "pimentoferry/requests/request_table.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

namespace pimentoferry::requests::fuzz {

struct violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// Where a request brings down the engine that runs it.
enum class poison : std::uint8_t { none, in_prefill, in_decode };

/// The content of a request; the fingerprint stands for its bytes.
struct body {
    std::uint64_t fingerprint_{0};
    bool deterministic_{false};
    poison poison_{poison::none};
    std::uint32_t prompt_tokens_{0};
};

/// A token names the body it answers, the run that made it (0 when the
/// engine is deterministic) and its position.
struct token {
    std::uint64_t fingerprint_{0};
    std::uint64_t run_{0};
    std::uint32_t position_{0};
};

/// Length of the answer of one run.
std::uint32_t answer_length(const body& asked, std::uint64_t run);

enum class outcome : std::uint8_t { none, finished, refused, gone, cut_off };

struct asked {
    body body_;
    outcome outcome_{outcome::none};
    std::vector<token> received_;
    bool sent_{false}; ///< An engine received a call of it.
    std::set<base::attempt_id> started_;
};

/// Crashes of one engine that one entry knows and has not judged.
struct crash_notice {
    std::set<base::attempt_id> culprits_;
    std::vector<memory_hold> ran_;       ///< Of what the engine had received.
    std::set<base::attempt_id> running_; ///< For certain, at the crash.
};

class oracle {
public:
    void arrived_at(base::instance_id entry,
                    base::request_id request,
                    const body& content,
                    base::time_point now);
    void caller_left(base::request_id request) {
        requests_.at(request).outcome_ = outcome::gone;
    }
    /// The entry died: its callers lose their connections.
    void cut_off(base::request_id request);
    void engine_received(base::request_id request,
                         base::attempt_id attempt,
                         const base::upstream_name& engine) {
        requests_.at(request).sent_ = true;
        received_.emplace(attempt, engine);
    }
    void relayed(base::request_id request, const token& t);

    /// Checks the actions that one event caused. `after` is the memory of
    /// the table after it.
    void acted(base::instance_id entry,
               const event& cause,
               const std::vector<action>& actions,
               const std::vector<memory_hold>& after,
               base::time_point now);
    /// An engine crashed, by an attempt or by itself.
    void crashed(const std::optional<base::attempt_id>& culprit,
                 base::time_point now) {
        if (culprit) {
            unjudged_[*culprit] = now;
        }
    }
    /// Announces the crash that the next `engine_crashed` event of the entry
    /// tells of, with the memory of its table before that event.
    void crash_known(base::instance_id entry,
                     const base::upstream_name& engine,
                     std::optional<base::attempt_id> culprit,
                     const std::vector<memory_hold>& memory,
                     const std::set<base::attempt_id>& running);
    /// Checks the retry budget after an event.
    void retried(base::instance_id entry,
                 std::uint64_t reruns,
                 const retry_limits& limits,
                 base::time_point now);

    const asked& request(base::request_id id) const { return requests_.at(id); }
    const std::map<base::request_id, asked>& requests() const {
        return requests_;
    }
    const base::request_id* owner_of(base::attempt_id attempt) const;

private:
    /// What one entry instance may know of crashes, from the events it got.
    struct knowledge {
        std::map<std::uint64_t, base::time_point> marked_; ///< Until.
        /// Crashes by its own attempts of a fingerprint.
        std::map<std::uint64_t, int> crashes_;
        /// Those that no rule prevents: of attempts started before the mark
        /// was known, and of one that ran beside another suspect.
        std::map<std::uint64_t, int> excused_;
        /// Those without another suspect to blame.
        std::map<std::uint64_t, int> counted_;
        std::set<base::attempt_id> declared_;
        std::set<base::attempt_id> started_unmarked_;
        std::deque<base::time_point> arrivals_;
        std::deque<base::time_point> retries_;
        std::uint64_t rerun_starts_{0};
        std::map<base::upstream_name, crash_notice> notices_; ///< Not judged.
    };

    void end(base::request_id id, outcome result);
    void started(knowledge& k,
                 base::attempt_id attempt,
                 base::request_id request,
                 bool from_prompt,
                 const std::vector<memory_hold>& after,
                 base::time_point now);
    void refused(const refuse& r);
    void judge_crash(knowledge& k,
                     const crash_notice& notice,
                     const std::vector<publish_crash_mark>& marks,
                     base::time_point now);
    void judge_crashes(knowledge& k,
                       const std::vector<action>& actions,
                       base::time_point now);
    std::uint64_t fingerprint_of(base::attempt_id attempt) const;
    bool marked(const knowledge& k,
                std::uint64_t fingerprint,
                base::time_point now) const;

    std::map<base::request_id, asked> requests_;
    std::map<base::attempt_id, base::request_id> attempts_;
    std::set<std::pair<base::attempt_id, base::upstream_name>> received_;
    std::map<base::attempt_id, base::time_point> unjudged_;
    std::map<base::instance_id, knowledge> entries_;
};

} // namespace pimentoferry::requests::fuzz

#endif
