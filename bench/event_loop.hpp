/// Event loop on virtual time for the policy benchmark. Runs callbacks in order
/// of their time, and in order of scheduling at equal times. Not thread-safe.
#ifndef PIMENTOFERRY_BENCH_EVENT_LOOP_HPP
#define PIMENTOFERRY_BENCH_EVENT_LOOP_HPP

#include "pimentoferry/base/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace pimentoferry::bench {

class event_loop {
public:
    using callback = std::function<void()>;

    [[nodiscard]] base::time_point now() const { return now_; }
    /// Milliseconds since the start of the run.
    [[nodiscard]] double now_ms() const { return to_ms(now_); }

    static base::time_point at_ms(double ms) {
        return base::time_point{origin} + duration_of(ms);
    }
    static double to_ms(base::time_point at) {
        const auto since = at - base::time_point{origin};
        return std::chrono::duration<double, std::milli>(since).count();
    }
    static base::clock::duration duration_of(double ms) {
        return std::chrono::duration_cast<base::clock::duration>(
            std::chrono::duration<double, std::milli>(ms));
    }

    /// Schedules a callback at `ms` after the start of the run, or at the
    /// current time if that has passed.
    void at(double ms, callback work) {
        const base::time_point when = std::max(at_ms(ms), now_);
        queue_.push({when, next_number_++, std::move(work)});
    }
    void after(double ms, callback work) { at(now_ms() + ms, std::move(work)); }

    /// Runs all callbacks that are due up to and including `ms`.
    void run_until(double ms) {
        const base::time_point end = at_ms(ms);
        while (!queue_.empty() && queue_.top().when_ <= end) {
            scheduled_callback next =
                std::move(const_cast<scheduled_callback&>(queue_.top()));
            queue_.pop();
            now_ = next.when_;
            next.work_();
        }
        now_ = end;
    }

private:
    // Far from zero, so that times before the start of the run are valid.
    static constexpr std::chrono::hours origin{1};

    struct scheduled_callback {
        base::time_point when_;
        std::uint64_t number_{0};
        callback work_;
        friend bool operator<(const scheduled_callback& a,
                              const scheduled_callback& b) {
            return std::tie(a.when_, a.number_) > std::tie(b.when_, b.number_);
        }
    };

    base::time_point now_{origin};
    std::uint64_t next_number_{0};
    std::priority_queue<scheduled_callback> queue_;
};

} // namespace pimentoferry::bench

#endif
