#include "pimentoferry/routing/write_turn.hpp"

namespace pimentoferry::routing {

namespace {

// A question and its answer cross the fleet's network once each.
constexpr base::milliseconds answer_limit{150};
// A keeper that did not write once is not waited for again for this long.
constexpr base::milliseconds distrust{5000};

} // namespace

void write_turn::asked(base::time_point now) {
    if (!asked_at_) {
        asked_at_ = now;
    }
}

void write_turn::answered() {
    asked_at_.reset();
    silent_ = false;
}

void write_turn::reset() {
    *this = {};
}

bool write_turn::find_silent(base::time_point now) {
    if (silent_ || !asked_at_ || now - *asked_at_ < answer_limit) {
        return false;
    }
    silent_ = true;
    return true;
}

base::time_point write_turn::due_before(std::size_t rank,
                                        base::time_point now) const {
    const bool overdue = overdue_until_ && now < *overdue_until_;
    return rank == 0 || silent_ || overdue
               ? now
               : now - patience * static_cast<int>(rank);
}

void write_turn::wrote(std::size_t rank, base::time_point now) {
    const bool overdue = overdue_until_ && now < *overdue_until_;
    if (rank > 0 && !silent_ && !overdue) {
        overdue_until_ = now + distrust;
    }
}

} // namespace pimentoferry::routing
