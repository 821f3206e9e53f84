// Polls the engines of the cells that this entry schedules.

#include "pimentoferry/entry/control.hpp"
#include "pimentoferry/entry/engine_reports.hpp"
#include "pimentoferry/entry/log.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pimentoferry::entry {

namespace {

constexpr base::milliseconds poll_timeout{1000};
constexpr int status_ok = 200;

http::request get_request(std::string target) {
    http::request call;
    call.target_ = std::move(target);
    return call;
}

http::call_options poll_options() {
    http::call_options options;
    options.deadline_ = base::clock::now() + poll_timeout;
    return options;
}

base::wall_time wall_now() {
    return std::chrono::time_point_cast<base::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

void control::start_poll(const due_poll& poll) {
    boost::asio::co_spawn(
        io_, [this, poll] { return poll_engine(poll); }, boost::asio::detached);
}

http::awaitable<void> control::poll_engine(due_poll poll) {
    std::uint64_t sequence = poll.cache_after_.value_or(0);
    if (poll.load_) {
        co_await poll_load(poll);
    }
    if (poll.cache_after_) {
        sequence = co_await poll_cache(poll);
    }
    cells_.poll_finished(poll, sequence, base::clock::now());
    handle_queue();
    arm_timer();
}

http::awaitable<void> control::poll_load(due_poll poll) {
    const auto call = get_request("/v1/load");
    const auto options = poll_options();
    const auto result = co_await client_.call(poll.address_, call, options);
    if (const auto* failure = std::get_if<http::call_failure>(&result)) {
        if (failure->kind_ == http::failure_kind::refused) {
            report_engine_crash(poll.engine_);
        }
        co_return;
    }
    const auto& answer = std::get<http::response>(result);
    if (answer.status_ != status_ok) {
        co_return;
    }
    auto load = parse_load(poll.engine_, answer.body_, wall_now());
    if (!load) {
        log_warn("load_malformed", {{"engine", poll.engine_.value_}});
        co_return;
    }
    crashed_engines_.erase(poll.engine_);
    auto& last_instance = engine_instances_[poll.engine_];
    if (!last_instance.empty() && last_instance != load->instance_) {
        report_engine_crash(poll.engine_);
        crashed_engines_.erase(poll.engine_);
    }
    last_instance = load->instance_;
    notify_scheduler(poll.cell_, load->report_);
}

http::awaitable<std::uint64_t> control::poll_cache(due_poll poll) {
    const auto after = poll.cache_after_.value_or(0);
    const auto call =
        get_request("/v1/cache_events?after=" + std::to_string(after));
    const auto options = poll_options();
    const auto result = co_await client_.call(poll.address_, call, options);
    const auto* answer = std::get_if<http::response>(&result);
    if (answer == nullptr || answer->status_ != status_ok) {
        co_return after;
    }
    const auto events = parse_cache_events(poll.engine_, answer->body_);
    if (!events || events->changes_.empty()) {
        co_return after;
    }
    notify_scheduler(poll.cell_, *events);
    co_return events->changes_.back().sequence_;
}

// A crash is reported once until the engine answers again.
void control::report_engine_crash(const base::upstream_name& engine) {
    if (crashed_engines_.insert(engine).second) {
        log_warn("engine_crashed", {{"engine", engine.value_}});
        raise(requests::event{requests::engine_crashed{engine}});
    }
}

} // namespace pimentoferry::entry
