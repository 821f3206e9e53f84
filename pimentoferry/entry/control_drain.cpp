// Drains the entry and ends the process.

#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/daemon.hpp"
#include "pimentoferry/entry/log.hpp"

#include <algorithm>

namespace pimentoferry::entry {

void control::signal() {
    if (!drain_.signal(base::clock::now())) {
        log_warn("second_signal", {{"in_flight", std::to_string(in_flight())}});
        return;
    }
    log_info("drain", {{"in_flight", std::to_string(in_flight())}});
    publish();
    publish_self();
    raise(requests::event{requests::drain_started{}});
    raise(once::event{once::drain_started{}});
    handle_queue();
}

void control::step_drain(base::time_point now) {
    running_work work;
    work.calls_ = in_flight();
    work.requests_idle_ = table_.idle();
    work.once_drained_ = once_.drained();
    work.others_serve_ =
        std::ranges::any_of(swim_.live(), [this](const auto& member) {
            return member.instance_ != instance_ && !member.draining_;
        });
    const auto step = drain_.step(work, now);
    if (step == drain_step::done) {
        finish(exit_done);
    } else if (step == drain_step::cut_off) {
        log_error("cut_off",
                  {{"calls", std::to_string(work.calls_)},
                   {"once_open", std::to_string(once_.open_calls())}});
        finish(exit_cut_off);
    }
}

void control::finish(int exit_code) {
    exit_code_ = exit_code;
    raise(membership::event{membership::leave{}});
    handle_queue();
    if (auto request = registration_.release()) {
        store_.submit({{}, *std::move(request)}, [](const store::result&) {});
    }
    log_info("exit", {{"code", std::to_string(exit_code)}});
    // The last messages are sent in the next iteration of the event loop, which
    // has to run once more.
    constexpr base::milliseconds final_send_delay{100};
    timer_.expires_after(final_send_delay);
    timer_.async_wait([this](const auto&) { io_.stop(); });
    finished_ = true;
}

} // namespace pimentoferry::entry
