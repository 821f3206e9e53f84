/// Test support: what callers asked and were told, and what upstreams ran.
///
/// The oracle knows nothing of shards, owners and logs. It only compares the
/// answers with the executions.
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

struct asked_request {
    base::request_id request_;
    base::instance_id entry_;
    key_id key_;
    std::uint64_t body_hash_{0};
    base::time_point at_;
};

enum class told_kind : std::uint8_t { nothing, send, replay, refused };

struct request_record {
    asked_request asked_;
    told_kind told_{told_kind::nothing};
    base::refusal refusal_; ///< Also after `send`, when it was not answered.
    bool refused_{false};
    bool ran_{false};
    bool left_{false}; ///< The caller disconnected.
    base::time_point told_at_;
};

struct key_record {
    int executions_{0};
    std::optional<std::uint64_t> bound_body_; ///< Of the first `send_call`.
    std::optional<stored_result> result_;     ///< Of the first execution.
    base::instance_id result_at_; ///< The entry that the result reached.
};

class execution_oracle {
public:
    void on_asked(const asked_request& asked);
    void on_left(base::request_id request);
    void on_send(base::request_id request, base::time_point now);
    /// The upstream runs the call; returns its result.
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
    request_record&
    told(base::request_id request, told_kind kind, base::time_point now);

    std::map<base::request_id, request_record> requests_;
    std::map<key_id, key_record> keys_;
    std::vector<std::string> violations_;
};

} // namespace pimentoferry::once

#endif
