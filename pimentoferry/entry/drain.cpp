#include "pimentoferry/entry/drain.hpp"

namespace pimentoferry::entry {

namespace {

// Callers keep the address list for 2 s and may have fetched it just before
// the drain began; until then they get a refusal with other addresses.
constexpr base::milliseconds linger{2500};

} // namespace

bool drain::signal(base::time_point now) {
    if (begun_) {
        second_signal_ = true;
        return false;
    }
    begun_ = now;
    return true;
}

drain_step drain::step(const running_work& work, base::time_point now) const {
    if (!begun_) {
        return drain_step::serving;
    }
    const bool idle =
        work.calls_ == 0 && work.requests_idle_ && work.once_drained_;
    const auto time = now - *begun_;
    if (idle && (!work.others_serve_ || time >= linger)) {
        return drain_step::done;
    }
    return second_signal_ || time >= limit_ ? drain_step::cut_off
                                            : drain_step::draining;
}

} // namespace pimentoferry::entry
