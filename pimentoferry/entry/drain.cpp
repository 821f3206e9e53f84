#include "pimentoferry/entry/drain.hpp"

namespace pimentoferry::entry {

namespace {

// Callers cache the address list for 2 s and may have fetched it just before
// the drain began. Until their copy expires, this entry refuses their calls and
// sends them the addresses of other entries.
constexpr base::milliseconds address_list_grace{2500};

} // namespace

bool drain::signal(base::time_point now) {
    if (began_at_) {
        second_signal_ = true;
        return false;
    }
    began_at_ = now;
    return true;
}

drain_step drain::step(const running_work& work, base::time_point now) const {
    if (!began_at_) {
        return drain_step::serving;
    }
    const bool idle =
        work.calls_ == 0 && work.requests_idle_ && work.once_drained_;
    const auto elapsed = now - *began_at_;
    if (idle && (!work.others_serve_ || elapsed >= address_list_grace)) {
        return drain_step::done;
    }
    return second_signal_ || elapsed >= limit_ ? drain_step::cut_off
                                               : drain_step::draining;
}

} // namespace pimentoferry::entry
