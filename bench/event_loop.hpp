/// Virtual time for the policy benchmark: callbacks in order of their time,
/// and in order of scheduling at equal times.
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
    /// Since the begin of the run.
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

    void at(double ms, callback what) {
        const base::time_point when = std::max(at_ms(ms), now_);
        queue_.push({when, next_++, std::move(what)});
    }
    void after(double ms, callback what) { at(now_ms() + ms, std::move(what)); }

    void run_until(double ms) {
        const base::time_point end = at_ms(ms);
        while (!queue_.empty() && queue_.top().when_ <= end) {
            entry next = std::move(const_cast<entry&>(queue_.top()));
            queue_.pop();
            now_ = next.when_;
            next.what_();
        }
        now_ = end;
    }

private:
    // Far from zero, so that times before the begin are valid.
    static constexpr std::chrono::hours origin{1};

    struct entry {
        base::time_point when_;
        std::uint64_t number_{0};
        callback what_;
        friend bool operator<(const entry& a, const entry& b) {
            return std::tie(a.when_, a.number_) > std::tie(b.when_, b.number_);
        }
    };

    base::time_point now_{origin};
    std::uint64_t next_{0};
    std::priority_queue<entry> queue_;
};

} // namespace pimentoferry::bench

#endif
