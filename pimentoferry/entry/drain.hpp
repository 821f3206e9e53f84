/// The drain of an entry: from the first signal until no work is running.
///
/// Uses no sockets, threads or clock; the control thread calls `step` at each
/// tick.
#ifndef PIMENTOFERRY_ENTRY_DRAIN_HPP
#define PIMENTOFERRY_ENTRY_DRAIN_HPP

#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::entry {

/// What may keep the process from exiting.
struct running_work {
    std::size_t calls_{0};     ///< Calls of callers in flight.
    bool requests_idle_{true}; ///< The request table has no work.
    bool once_drained_{true};  ///< The at-most-once service has drained.
    bool others_serve_{false}; ///< Another entry accepts new callers.
};

enum class drain_step : std::uint8_t {
    serving,
    draining,
    done,    ///< No work is running: exit with 0.
    cut_off, ///< At the limit or the second signal: exit with 3.
};

class drain {
public:
    explicit drain(base::milliseconds limit) : limit_(limit) {}

    /// Handles a signal to drain. Returns true for the first one.
    bool signal(base::time_point now);

    bool begun() const { return began_at_.has_value(); }

    /// What the process should do next, given the work that is running.
    drain_step step(const running_work& work, base::time_point now) const;

private:
    base::milliseconds limit_;
    std::optional<base::time_point> began_at_;
    bool second_signal_{false};
};

} // namespace pimentoferry::entry

#endif
