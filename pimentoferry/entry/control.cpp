#include "pimentoferry/entry/control.hpp"

#include "pimentoferry/entry/log.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace pimentoferry::entry {

namespace asio = boost::asio;

namespace {

// Upper bound between two ticks; the decision objects ask for earlier ones.
constexpr base::milliseconds longest_tick{100};

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

base::wall_time wall_now() {
    return std::chrono::time_point_cast<base::milliseconds>(
        std::chrono::system_clock::now());
}

} // namespace

control::control(const config::settings& settings,
                 base::instance_id instance,
                 std::shared_ptr<const routing_table> routing,
                 metrics& counters)
    : settings_(settings), instance_(instance), metrics_(counters), timer_(io_),
      routing_(std::move(routing)), table_(table_settings(settings, instance)),
      once_(once_settings(settings), instance) {
    publish();
}

void control::post(report event) {
    asio::post(io_, [this, event = std::move(event)] {
        std::visit([this](const auto& e) { handle(e); }, event);
        arm_timer();
    });
}

void control::run() {
    const auto work = asio::make_work_guard(io_);
    asio::post(io_, [this] { tick(); });
    io_.run();
}

void control::handle(const requests::event& event) {
    for (const auto& action : table_.handle(event, base::clock::now())) {
        perform(action);
    }
}

void control::handle(const once::event& event) {
    for (const auto& action : once_.handle(event, base::clock::now())) {
        perform(action);
    }
}

void control::tick() {
    handle(requests::event{requests::tick{}});
    handle(once::event{once::tick{wall_now()}});
    arm_timer();
}

void control::arm_timer() {
    auto next = base::clock::now() + longest_tick;
    for (const auto due : {table_.next_deadline(), once_.next_wakeup()}) {
        next = std::min(next, due.value_or(next));
    }
    timer_.expires_at(next);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            tick();
        }
    });
}

void control::publish() {
    auto next = std::make_shared<snapshot>();
    next->routing_ = routing_;
    next->entries_.push_back({settings_.traffic_address_, 1});
    snapshot_ = next;
    for (auto* traffic : traffic_) {
        traffic->use(snapshot_);
    }
}

} // namespace pimentoferry::entry
