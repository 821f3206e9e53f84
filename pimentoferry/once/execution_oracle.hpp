/// Test support: records the calls of callers, the responses to them and the
/// executions at upstreams, and reports violations of at-most-once execution.
///
/// The oracle is independent of shards, owners and logs. It only compares the
/// responses with the executions.
#ifndef PIMENTOFERRY_ONCE_EXECUTION_ORACLE_HPP
#define PIMENTOFERRY_ONCE_EXECUTION_ORACLE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/refusal.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/once/messages.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentoferry::once {

struct submitted_call {
    base::request_id request_;
    base::instance_id entry_;
    key_id key_;
    std::uint64_t body_hash_{0};
    base::time_point submitted_at_;
};

enum class response_kind : std::uint8_t { none, send, replay, refused };

struct request_record {
    submitted_call call_;
    response_kind response_{response_kind::none};
    base::refusal refusal_; ///< Also set if a `send` ended without a result.
    bool refused_{false};
    bool ran_{false};
    bool disconnected_{false}; ///< The caller disconnected.
    base::time_point responded_at_;
};

struct key_record {
    int executions_{0};
    /// Body hash of the first `send_call`.
    std::optional<std::uint64_t> bound_body_;
    std::optional<stored_result> result_; ///< Result of the first execution.
    base::instance_id result_entry_; ///< The entry that received the result.
};

class execution_oracle {
public:
    void on_submitted(const submitted_call& call);
    void on_disconnected(base::request_id request);
    void on_send(base::request_id request, base::time_point now);
    /// Records an execution at the upstream and returns its result.
    stored_result on_execution(base::request_id request);
    void on_result_received(base::request_id request);
    void on_replay(base::request_id request,
                   const stored_result& result,
                   base::time_point now);
    void on_refused(base::request_id request,
                    const base::refusal& refusal,
                    base::time_point now);
    void fail(const std::string& what) { violations_.push_back(what); }

    [[nodiscard]] const std::vector<std::string>& violations() const {
        return violations_;
    }
    [[nodiscard]] const request_record& request(base::request_id id) const {
        return requests_.at(id);
    }
    [[nodiscard]] const std::map<base::request_id, request_record>&
    requests() const {
        return requests_;
    }
    [[nodiscard]] const std::map<key_id, key_record>& keys() const {
        return keys_;
    }

private:
    request_record& record_response(base::request_id request,
                                    response_kind kind,
                                    base::time_point now);

    std::map<base::request_id, request_record> requests_;
    std::map<key_id, key_record> keys_;
    std::vector<std::string> violations_;
};

} // namespace pimentoferry::once

#endif
