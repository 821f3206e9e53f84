/// Reference model of the invariant tests, independent of the request table:
/// which requests arrived, what each caller received, which attempts ran and
/// which memory is held.
///
/// Each function that records or checks an event throws `violation` when an
/// invariant of the request table does not hold.
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

/// The stage in which a request crashes the engine that runs it.
enum class poison : std::uint8_t { none, in_prefill, in_decode };

/// The content of a request; the fingerprint stands for its bytes.
struct body {
    std::uint64_t fingerprint_{0};
    bool deterministic_{false};
    poison poison_{poison::none};
    std::uint32_t prompt_tokens_{0};
};

/// A token identifies the body it answers, the run that produced it (0 when the
/// output is deterministic) and its position.
struct token {
    std::uint64_t fingerprint_{0};
    std::uint64_t run_{0};
    std::uint32_t position_{0};
};

/// Output tokens of one run.
std::uint32_t output_length(const body& content, std::uint64_t run);

enum class outcome : std::uint8_t {
    none,
    completed,
    refused,
    caller_disconnected,
    connection_lost
};

struct request_record {
    body body_;
    outcome outcome_{outcome::none};
    std::vector<token> received_;
    bool sent_{false}; ///< An engine received a call for it.
    std::set<base::attempt_id> started_;
};

/// Crashes of one engine that were reported to one entry and that the entry has
/// not yet attributed to a request.
struct crash_report {
    std::set<base::attempt_id> crashing_attempts_;
    /// Memory of the attempts that the engine had received a call of.
    std::vector<memory_hold> memory_;
    std::set<base::attempt_id> running_; ///< Ran for certain at the crash.
};

class oracle {
public:
    void record_arrival(base::instance_id entry,
                        base::request_id request,
                        const body& content,
                        base::time_point now);
    void record_disconnect(base::request_id request) {
        requests_.at(request).outcome_ = outcome::caller_disconnected;
    }
    /// The entry of the request crashed, so the caller lost its connection.
    void record_connection_loss(base::request_id request);
    void record_call(base::request_id request,
                     base::attempt_id attempt,
                     const base::upstream_name& engine) {
        requests_.at(request).sent_ = true;
        received_calls_.emplace(attempt, engine);
    }
    void record_token(base::request_id request, const token& t);

    /// Checks the actions that the table returned for one event. `after` is
    /// the memory of the table after the event.
    void check_actions(base::instance_id entry,
                       const event& cause,
                       const std::vector<action>& actions,
                       const std::vector<memory_hold>& after,
                       base::time_point now);
    /// An engine crashed, caused by an attempt or on its own.
    void record_crash(const std::optional<base::attempt_id>& crashing_attempt,
                      base::time_point now) {
        if (crashing_attempt) {
            unattributed_crashes_[*crashing_attempt] = now;
        }
    }
    /// Must be called before each `engine_crashed` event of an entry, with the
    /// memory of its table before that event.
    void record_crash_report(base::instance_id entry,
                             const base::upstream_name& engine,
                             std::optional<base::attempt_id> crashing_attempt,
                             const std::vector<memory_hold>& memory,
                             const std::set<base::attempt_id>& running);
    /// Checks the retry budget after an event.
    void check_retry_budget(base::instance_id entry,
                            std::uint64_t reruns,
                            const retry_limits& limits,
                            base::time_point now);

    const request_record& request(base::request_id id) const {
        return requests_.at(id);
    }
    const std::map<base::request_id, request_record>& requests() const {
        return requests_;
    }
    const base::request_id* owner_of(base::attempt_id attempt) const;

private:
    /// Crashes as one entry instance can derive them from its events.
    struct entry_view {
        /// When the crash mark of a fingerprint expires.
        std::map<std::uint64_t, base::time_point> marked_until_;
        /// Crashes caused by the entry's own attempts, by fingerprint.
        std::map<std::uint64_t, int> crashes_;
        /// Of these, crashes that no rule prevents: by attempts that started
        /// before the mark was received, or beside another suspect.
        std::map<std::uint64_t, int> unavoidable_crashes_;
        /// Crashes without another suspect at the engine, since a request with
        /// the fingerprint last completed.
        std::map<std::uint64_t, int> sole_suspect_crashes_;
        std::set<base::attempt_id> declared_suspects_;
        std::set<base::attempt_id> started_unmarked_;
        std::deque<base::time_point> arrivals_;
        std::deque<base::time_point> retries_;
        std::uint64_t rerun_starts_{0};
        std::map<base::upstream_name, crash_report> unattributed_reports_;
    };

    void set_outcome(base::request_id id, outcome result);
    void attempt_started(entry_view& view,
                         base::attempt_id attempt,
                         base::request_id request,
                         bool from_prompt,
                         const std::vector<memory_hold>& after,
                         base::time_point now);
    void request_refused(const refuse& r);
    void check_attribution(entry_view& view,
                           const crash_report& report,
                           const std::vector<publish_crash_mark>& marks,
                           base::time_point now);
    void check_attributions(entry_view& view,
                            const std::vector<action>& actions,
                            base::time_point now);
    std::uint64_t fingerprint_of(base::attempt_id attempt) const;
    bool marked(const entry_view& view,
                std::uint64_t fingerprint,
                base::time_point now) const;

    std::map<base::request_id, request_record> requests_;
    std::map<base::attempt_id, base::request_id> attempts_;
    std::set<std::pair<base::attempt_id, base::upstream_name>> received_calls_;
    std::map<base::attempt_id, base::time_point> unattributed_crashes_;
    std::map<base::instance_id, entry_view> entries_;
};

} // namespace pimentoferry::requests::fuzz

#endif
