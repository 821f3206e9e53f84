/// A link or disk with a limited rate, shared by all transfers over it.
///
///     const auto done = link.reserve(bytes, bytes_per_s, steady::now());
///     co_await sleep_until(done);
///
/// Transfers follow one another, so the sum of what is transferred in a time
/// never exceeds the rate.
#ifndef PIMENTOFERRY_STANDINS_LINK_HPP
#define PIMENTOFERRY_STANDINS_LINK_HPP

#include <algorithm>
#include <chrono>

namespace pimentoferry::standins {

class link {
public:
    using time_point = std::chrono::steady_clock::time_point;

    /// Reserves the link after all earlier transfers and returns the time at
    /// which this one ends. A rate of 0 is unlimited.
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
