#include "pimentoferry/store/replica_transfer.hpp"

#include <algorithm>
#include <cmath>

namespace pimentoferry::store {

namespace {

// What a sender may have promised: a replica that is turned away asks again
// 500 ms later.
constexpr base::milliseconds longest_backlog{500};
// For the messages and the processor time of both gateways.
constexpr base::milliseconds transfer_margin{300};
// A link also carries requests, and the sender serves several replicas.
constexpr int transfer_slack = 2;
constexpr std::uint32_t max_doublings = 2;

} // namespace

base::milliseconds link_rate::duration_of(std::size_t bytes) const {
    return bytes_per_ms_ > 0
               ? base::milliseconds{static_cast<base::milliseconds::rep>(
                     std::ceil(static_cast<double>(bytes) / bytes_per_ms_))}
               : base::milliseconds{0};
}

link_rate rate_of_mbps(double mbps) {
    constexpr double bytes_per_ms_of_one_mbps = 125;
    return {mbps * bytes_per_ms_of_one_mbps};
}

bool transfer_window::accepts(base::time_point now) const {
    return busy_until_ <= now || busy_until_ - now < longest_backlog;
}

void transfer_window::add(std::size_t bytes, base::time_point now) {
    busy_until_ = std::max(busy_until_, now) + link_.duration_of(bytes);
}

bool transfer_request::may_ask(base::time_point now) const {
    return !awaited_ || now >= awaited_->due_;
}

void transfer_request::asked(base::instance_id peer,
                             position end,
                             std::size_t bytes,
                             base::time_point now) {
    overdue_ = awaited_ ? std::min(overdue_ + 1, max_doublings) : 0;
    const auto time =
        transfer_margin + transfer_slack * link_.duration_of(bytes);
    awaited_ = awaited_delta{peer, end, now + time * (1 << overdue_)};
}

void transfer_request::declined(base::instance_id peer) {
    if (awaited_ && awaited_->peer_ == peer) {
        awaited_.reset();
    }
}

void transfer_request::reached(position at) {
    if (awaited_ && at >= awaited_->end_) {
        awaited_.reset();
        overdue_ = 0;
    }
}

std::optional<base::time_point> transfer_request::expected_until() const {
    return awaited_ && overdue_ == 0 ? std::optional{awaited_->due_}
                                     : std::nullopt;
}

} // namespace pimentoferry::store
