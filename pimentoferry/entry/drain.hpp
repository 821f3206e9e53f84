/// The end of an entry: from the first signal until nothing is running.
///
/// No sockets, no threads and no clock; the control thread asks at each tick.
#ifndef PIMENTOFERRY_ENTRY_DRAIN_HPP
#define PIMENTOFERRY_ENTRY_DRAIN_HPP

#include "pimentoferry/base/time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pimentoferry::entry {

/// What may keep the process from ending.
struct running_work {
    std::size_t calls_{0};     ///< Of callers.
    bool requests_idle_{true}; ///< The request table.
    bool once_drained_{true};  ///< At-most-once records of this entry.
    bool others_serve_{false}; ///< Another entry takes new callers.
};

enum class drain_step : std::uint8_t {
    serving,
    draining,
    done,    ///< Nothing runs: exit with 0.
    cut_off, ///< At the limit or the second signal: exit with 3.
};

class drain {
public:
    explicit drain(base::milliseconds limit) : limit_(limit) {}

    /// A signal arrived. True for the first one.
    bool signal(base::time_point now);

    bool begun() const { return begun_.has_value(); }

    drain_step step(const running_work& work, base::time_point now) const;

private:
    base::milliseconds limit_;
    std::optional<base::time_point> begun_;
    bool second_signal_{false};
};

} // namespace pimentoferry::entry

#endif
