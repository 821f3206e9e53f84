/// Grants the calls of a service to replicas that announced a limit.
///
/// One gateway, the owner of the service, decides for the calls of all
/// gateways. A call names the replicas that it may use. It gets one that may be
/// sent a request, waits until one may, or is refused at once if it would wait
/// for too long. Calls are served by urgency, then by arrival; a call that has
/// waited for the urgency step goes before a newer one of the next higher
/// priority, so that none is passed over for good.
///
///     permit_queue queue;
///     perform(queue.request(request, allowances, now));
///     perform(queue.tick(allowances, now));   // about every 50 ms
#ifndef PIMENTOFERRY_REQUESTS_PERMIT_QUEUE_HPP
#define PIMENTOFERRY_REQUESTS_PERMIT_QUEUE_HPP

#include "pimentoferry/base/ids.hpp"
#include "pimentoferry/base/time.hpp"
#include "pimentoferry/requests/allowance.hpp"

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <variant>
#include <vector>

namespace pimentoferry::requests {

/// Replicas that a call names at most.
inline constexpr std::size_t max_permit_candidates = 8;

struct permit_request {
    base::attempt_id attempt_;
    std::vector<base::upstream_name> candidates_;
    std::uint32_t priority_{0}; ///< 0 is the most urgent.
    base::milliseconds longest_wait_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.candidates_, self.priority_,
                        self.longest_wait_);
    }
};

/// One request may be sent to the replica, now.
struct permit_grant {
    base::attempt_id attempt_;
    base::upstream_name replica_;

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.replica_);
    }
};

/// `wait_`: when a later call is expected to be granted.
struct permit_refusal {
    base::attempt_id attempt_;
    base::milliseconds wait_{0};

    template <class Self>
    static auto fields(Self& self) {
        return std::tie(self.attempt_, self.wait_);
    }
};

using permit_decision = std::variant<permit_grant, permit_refusal>;

class permit_queue {
public:
    /// Decisions on the call that was passed and on waiting ones.
    using decisions = std::vector<permit_decision>;

    /// Returns no decision on the call if it waits.
    decisions request(permit_request call,
                      allowance_table& allowances,
                      base::time_point now);

    /// Decides on the calls that wait.
    decisions tick(allowance_table& allowances, base::time_point now);

    std::size_t size() const { return waiting_.size(); }

private:
    struct waiting_call {
        permit_request request_;
        base::time_point rank_;
        base::time_point expires_at_;
    };

    base::milliseconds expected_wait(const permit_request& call,
                                     std::size_t calls_ahead,
                                     const allowance_table& allowances,
                                     base::time_point now) const;

    std::vector<waiting_call> waiting_; ///< By rank.
};

} // namespace pimentoferry::requests

#endif
