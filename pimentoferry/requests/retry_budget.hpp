/// Limits the retries of one deployment at one entry.
///
/// Unlimited retries would multiply the load of a failing pool. Within a
/// sliding window, retries are limited to a share of the requests plus a
/// constant.
///
///     retry_budget budget{retry_limits{}};
///     budget.note_request(now);
///     if (budget.take(now)) { /* retry the request */ }
#ifndef PIMENTOFERRY_REQUESTS_RETRY_BUDGET_HPP
#define PIMENTOFERRY_REQUESTS_RETRY_BUDGET_HPP

#include "pimentoferry/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pimentoferry::requests {

struct retry_limits {
    std::uint32_t percent_of_requests_{10};
    /// The load of one engine, about twenty requests, with a margin, so that
    /// one engine crash at low traffic loses no request.
    std::uint32_t constant_{24};
    base::milliseconds window_{10'000};
};

class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Replaces the limits but keeps the counts and the length of the window.
    void set_limits(retry_limits limits);

    /// Counts a received request.
    void note_request(base::time_point now);

    /// Takes `sends` repeated sends from the budget; returns false and takes
    /// none when the window does not allow all of them.
    bool take(base::time_point now, std::uint32_t sends = 1);

private:
    // Requests and retries are counted in slices of the window. A slice leaves
    // the window as a whole, up to a tenth of the window after its last count.
    static constexpr std::size_t slice_count = 11;

    struct slice {
        std::int64_t number_{-1};
        std::uint32_t requests_{0};
        std::uint32_t retries_{0};
    };

    slice& current(base::time_point now);
    std::int64_t slice_number(base::time_point now) const;

    retry_limits limits_;
    std::array<slice, slice_count> slices_;
};

} // namespace pimentoferry::requests

#endif
