// The event loop of the control thread and its timer.

#include "pimentoferry/entry/control.hpp"

#include "pimentoferry/entry/log.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <numeric>

namespace pimentoferry::entry {

namespace asio = boost::asio;

namespace {

// The failure detector needs a tick about every 50 ms.
constexpr base::milliseconds max_tick_interval{50};
// The ticket log treats an operation as failed after 1 s.
constexpr base::milliseconds store_timeout{1000};
// A wall clock that advances by this much more or less than the steady clock
// indicates a pause of the machine, which stops the steady clock.
constexpr base::milliseconds clock_jump_threshold{2000};

requests::table_settings table_settings(const config::settings& settings,
                                        base::instance_id instance) {
    requests::table_settings result;
    result.instance_ = instance;
    result.failure_domain_ = settings.failure_domain_;
    result.seed_ = instance.value_;
    return result;
}

once::settings once_settings(const config::settings& settings) {
    once::settings result;
    result.shards_ = settings.once_shards_;
    return result;
}

tickets::log_settings ticket_settings(const config::settings& settings,
                                      base::instance_id instance) {
    return {instance, settings.name_, settings.partition_policy_,
            instance.value_};
}

membership::swim_settings swim_settings(const config::settings& settings,
                                        base::instance_id instance) {
    membership::member self;
    self.instance_ = instance;
    self.name_ = settings.name_;
    self.peer_address_ = settings.peer_address_;
    self.traffic_address_ = settings.traffic_address_;
    self.failure_domain_ = settings.failure_domain_;
    self.region_ = settings.region_;
    return {self, instance.value_};
}

base::wall_time wall_now() {
    return std::chrono::time_point_cast<base::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

control::control(const config::settings& settings,
                 base::instance_id instance,
                 metrics& counters)
    : settings_(settings), instance_(instance), metrics_(counters), timer_(io_),
      client_(io_), table_(table_settings(settings, instance)),
      once_(once_settings(settings), instance),
      tickets_(ticket_settings(settings, instance)),
      swim_(swim_settings(settings, instance)),
      store_(io_, {settings.store_address_, store_timeout}),
      registration_(settings.name_, settings.peer_address_),
      drain_(settings.drain_limit_), routing_(make_routing_table(0, {})),
      last_steady_(base::clock::now()), last_wall_(wall_now()) {
    publish();
}

control::~control() = default;

void control::post(report event) {
    asio::post(io_, [this, event = std::move(event)]() mutable {
        std::visit([this](auto& e) { raise(std::move(e)); }, event);
        handle_queue();
        arm_timer();
    });
}

void control::post(std::function<void()> work) {
    asio::post(io_, [this, work = std::move(work)] {
        work();
        handle_queue();
        arm_timer();
    });
}

int control::run() {
    const auto work = asio::make_work_guard(io_);
    post([this] {
        raise(membership::event{membership::start{}});
        raise(tickets::event{tickets::start{}});
        set_seeds();
        start_platform_poll();
        tick();
    });
    io_.run();
    return exit_code_;
}

void control::handle_queue() {
    while (!finished_ && !queue_.empty()) {
        const auto event = std::move(queue_.front());
        queue_.pop_front();
        std::visit([this](const auto& e) { handle(e); }, event);
    }
}

void control::handle(const requests::event& event) {
    if (const auto* crash = std::get_if<requests::engine_crashed>(&event)) {
        notify_all_schedulers(placement::engine_crashed{crash->engine_});
    }
    for (const auto& action : table_.handle(event, base::clock::now())) {
        perform(action);
    }
    if (const auto* crash = std::get_if<requests::engine_crashed>(&event)) {
        for (auto* traffic : traffic_) {
            traffic->crash_handled(crash->engine_);
        }
    }
}

void control::handle(const once::event& event) {
    for (const auto& action : once_.handle(event, base::clock::now())) {
        perform(action);
    }
}

void control::handle(const tickets::event& event) {
    for (const auto& action : tickets_.handle(event, base::clock::now())) {
        perform(action);
    }
}

void control::handle(const membership::event& event) {
    for (const auto& action : swim_.handle(event, base::clock::now())) {
        perform(action);
    }
}

void control::handle(const cell_request& request) {
    handle_cell_message(request.from_, request.message_);
}

void control::tick() {
    if (finished_) {
        return;
    }
    detect_clock_jump();
    raise(tickets::event{tickets::tick{}});
    raise(membership::event{membership::tick{}});
    raise(requests::event{requests::tick{}});
    raise(once::event{once::tick{wall_now()}});
    handle_queue();
    refresh_view();
    step_cells();
    handle_queue();
    const auto now = base::clock::now();
    step_registration(now);
    step_drain(now);
    if (snapshot_changed_) {
        publish();
    }
    for (auto* traffic : traffic_) {
        traffic->note_control_alive(now);
    }
    arm_timer();
}

void control::arm_timer() {
    auto next = base::clock::now() + max_tick_interval;
    for (const auto due :
         {table_.next_deadline(), once_.next_wakeup(), cells_.next_wakeup()}) {
        next = std::min(next, due.value_or(next));
    }
    // Rearming the timer for the same time cancels the pending wait, so the
    // timer would never expire under a steady load of events.
    if (finished_ || (timer_armed_ && timer_.expiry() <= next)) {
        return;
    }
    timer_armed_ = true;
    timer_.expires_at(next);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            timer_armed_ = false;
            tick();
        }
    });
}

void control::detect_clock_jump() {
    const auto steady = base::clock::now();
    const auto wall = wall_now();
    const auto steady_time =
        std::chrono::duration_cast<base::milliseconds>(steady - last_steady_);
    const auto drift = (wall - last_wall_) - steady_time;
    last_steady_ = steady;
    last_wall_ = wall;
    if (std::chrono::abs(drift) > clock_jump_threshold) {
        log_warn("clock_jump", {{"ms", std::to_string(drift.count())}});
        raise(tickets::event{tickets::clock_jump{std::chrono::abs(drift)}});
    }
}

std::size_t control::in_flight() const {
    return std::transform_reduce(
        traffic_.begin(), traffic_.end(), std::size_t{0}, std::plus<>{},
        [](const traffic_thread* t) { return t->in_flight(); });
}

} // namespace pimentoferry::entry
