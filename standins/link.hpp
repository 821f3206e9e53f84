/// Simulated link or disk with limited bandwidth, shared by all transfers.
///
///     const auto done = link.reserve(bytes, bytes_per_s, steady::now());
///     co_await sleep_until(done);
///
/// Transfers are serialized, so the total throughput never exceeds the rate.
#ifndef PIMENTOFERRY_STANDINS_LINK_HPP
#define PIMENTOFERRY_STANDINS_LINK_HPP

#include <algorithm>
#include <chrono>

namespace pimentoferry::standins {

class link {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Schedules a transfer after all earlier ones and returns its end time. A
    /// rate of 0 is unlimited.
    time_point reserve(double units, double units_per_s, time_point now) {
        const std::chrono::duration<double> duration{
            units_per_s > 0 ? units / units_per_s : 0.0};
        free_at_ =
            std::max(now, free_at_) +
            std::chrono::duration_cast<std::chrono::microseconds>(duration);
        return free_at_;
    }

private:
    time_point free_at_;
};

} // namespace pimentoferry::standins

#endif
