#include "pimentoferry/requests/retry_budget.hpp"

namespace pimentoferry::requests {

retry_budget::retry_budget(retry_limits limits) : limits_(limits) {}

std::int64_t retry_budget::slice_number(base::time_point now) const {
    const base::clock::duration width =
        limits_.window_ / static_cast<std::int64_t>(slice_count - 1);
    return now.time_since_epoch() / width;
}

retry_budget::slice& retry_budget::current(base::time_point now) {
    const std::int64_t number = slice_number(now);
    slice& found = slices_.at(static_cast<std::size_t>(number) % slice_count);
    if (found.number_ != number) {
        found = slice{number, 0, 0};
    }
    return found;
}

void retry_budget::set_limits(retry_limits limits) {
    limits.window_ = limits_.window_;
    limits_ = limits;
}

void retry_budget::note_request(base::time_point now) {
    ++current(now).requests_;
}

bool retry_budget::take(base::time_point now, std::uint32_t sends) {
    slice& latest = current(now);
    const std::int64_t oldest =
        latest.number_ - static_cast<std::int64_t>(slice_count) + 1;
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const slice& s : slices_) {
        if (s.number_ >= oldest) {
            requests += s.requests_;
            retries += s.retries_;
        }
    }
    const std::uint64_t allowed =
        requests * limits_.percent_of_requests_ / 100 + limits_.constant_;
    if (retries + sends > allowed) {
        return false;
    }
    latest.retries_ += sends;
    return true;
}

} // namespace pimentoferry::requests
