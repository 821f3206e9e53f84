/// Limits the retries of one deployment at one entry.
///
/// Retries of a failing pool would multiply its load, so within a sliding
/// window they are at most a share of the requests plus a constant.
///
///     retry_budget budget{retry_limits{}};
///     budget.note_request(now);
///     if (budget.take(now)) { /* run again */ }
#ifndef PIMENTOFERRY_REQUESTS_RETRY_BUDGET_HPP
#define PIMENTOFERRY_REQUESTS_RETRY_BUDGET_HPP

#include "pimentoferry/base/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace pimentoferry::requests {

struct retry_limits {
    std::uint32_t percent_of_requests_{10};
    /// The load of one engine, about twenty, with a margin: one engine crash
    /// at low traffic loses no request.
    std::uint32_t constant_{24};
    base::milliseconds window_{10'000};
};

class retry_budget {
public:
    explicit retry_budget(retry_limits limits);

    /// Replaces the limits; what was counted stays. The window stays, too.
    void set_limits(retry_limits limits);

    /// Counts a request that arrived.
    void note_request(base::time_point now);

    /// Takes one retry; false when the window allows no more.
    bool take(base::time_point now);

private:
    // Counts are kept in slices; a slice leaves the window as a whole, which
    // is up to a tenth of the window later than its last count.
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
