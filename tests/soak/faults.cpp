#include "tests/soak/faults.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <thread>

namespace pimentoferry::soak {

using process_tests::gateway_fleet;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds step{20};
// From SIGTERM to the end of a gateway of the fleet, and for the exit itself.
constexpr milliseconds drain_limit{4000};
constexpr milliseconds exit_margin{1000};
// Registrations of a replica that died lapse after some heartbeats.
constexpr milliseconds registration_lapse{2000};
// The drain time of the platform: a replica serves for that long.
constexpr milliseconds replica_drain{2000};

} // namespace

fault_series::fault_series(
    gateway_fleet& fleet,
    std::vector<std::unique_ptr<loopback_proxy>>& store_links,
    std::vector<std::unique_ptr<loopback_proxy>>& replica_links,
    std::uint64_t seed)
    : fleet_(fleet), store_links_(store_links), replica_links_(replica_links),
      random_(seed), began_(clock::now()) {}

milliseconds fault_series::draw_time(int least, int most) {
    return milliseconds{
        least + static_cast<int>(draw(static_cast<std::size_t>(most - least)))};
}

void fault_series::tell(const std::string& what) {
    const auto at =
        std::chrono::duration_cast<milliseconds>(clock::now() - began_);
    std::cout << "  " << at.count() << " ms " << what << '\n';
}

void fault_series::later(milliseconds delay, std::function<void()> work) {
    due_.emplace(clock::now() + delay, std::move(work));
}

void fault_series::run_due(clock::time_point now) {
    while (!due_.empty() && due_.begin()->first <= now) {
        const auto work = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        work();
    }
}

void fault_series::run(milliseconds time) {
    const auto end = clock::now() + time;
    auto next = clock::now();
    while (clock::now() < end) {
        if (clock::now() >= next) {
            inject();
            next = clock::now() + draw_time(150, 900);
        }
        run_due(clock::now());
        watch_gateways();
        std::this_thread::sleep_for(step);
    }
}

void fault_series::settle(milliseconds time) {
    const auto end = clock::now() + time;
    while (clock::now() < end) {
        watch_gateways();
        std::this_thread::sleep_for(step);
    }
}

void fault_series::inject() {
    switch (draw(4)) {
    case 0:
        disturb_gateway();
        break;
    case 1:
        disturb_store();
        break;
    case 2:
        disturb_link();
        break;
    default:
        disturb_replica();
        break;
    }
}

void fault_series::disturb_gateway() {
    const auto number = draw(fleet_.gateway_count());
    const auto name = "gateway " + std::to_string(number);
    if (ending_.contains(number) || paused_[number]) {
        return;
    }
    switch (draw(4)) {
    case 0:
        tell(name + " gets SIGTERM");
        fleet_.gateway(number).signal(SIGTERM);
        ending_[number] = clock::now();
        break;
    case 1:
        tell(name + " is killed");
        fleet_.gateway(number).signal(SIGKILL);
        fleet_.gateway(number).wait(drain_limit);
        fleet_.restart_gateway(number);
        break;
    case 2:
        tell(name + " is paused");
        paused_[number] = true;
        fleet_.gateway(number).signal(SIGSTOP);
        later(draw_time(200, 4000), [this, number] {
            fleet_.gateway(number).signal(SIGCONT);
            paused_[number] = false;
        });
        break;
    default:
        tell(name + " reads its settings again");
        fleet_.gateway(number).signal(SIGHUP);
        break;
    }
}

void fault_series::disturb_store() {
    static const std::array<const char*, 5> modes{"down", "silent", "slow",
                                                  "declining", "losing"};
    if (draw(4) == 0) {
        tell("the configuration changes and the store forgets its history");
        fleet_.put_configuration();
        gateway_fleet::control(fleet_.store_port(),
                               R"({"forget_history":true})");
        return;
    }
    const std::string mode = modes.at(draw(modes.size()));
    tell("the store is " + mode);
    gateway_fleet::control(fleet_.store_port(), R"({"mode":")" + mode + "\"}");
    later(draw_time(300, 3000), [this] {
        gateway_fleet::control(fleet_.store_port(), R"({"mode":"up"})");
    });
}

void fault_series::disturb_link() {
    static const std::array<link_fault, 5> faults{
        link_fault::delayed, link_fault::silent, link_fault::requests_lost,
        link_fault::answers_lost, link_fault::refusing};
    auto& links = draw(2) == 0 ? store_links_ : replica_links_;
    const auto number = draw(links.size());
    const std::string side = &links == &store_links_ ? "store" : "replica";
    if (draw(4) == 0) {
        tell("connections of " + side + " link " + std::to_string(number) +
             " are reset");
        links[number]->reset();
        return;
    }
    const auto fault = faults.at(draw(faults.size()));
    tell(side + " link " + std::to_string(number) + " has fault " +
         std::to_string(static_cast<int>(fault)));
    links[number]->set(fault);
    later(draw_time(200, 2500),
          [&links, number] { links[number]->set(link_fault::none); });
}

void fault_series::disturb_replica() {
    static const std::array<const char*, 5> counted{
        "lose_next", "cut_next", "fail_next", "reject_next", "stray_next"};
    const auto number = draw(fleet_.replicas().size());
    auto& replica = fleet_.replicas()[number];
    const auto name = "replica " + replica.id_;
    switch (draw(3)) {
    case 0: {
        tell(name + " is killed and comes back under another id");
        const auto before = replica.id_;
        replica.process_.signal(SIGKILL);
        fleet_.restart_replica(replica);
        fleet_.register_replica(replica);
        later(registration_lapse,
              [this, before] { fleet_.withdraw_replica(before); });
        break;
    }
    case 1:
        tell(name + " drains");
        fleet_.register_replica(replica, "draining");
        later(replica_drain, [this, number, id = replica.id_] {
            auto& leaving = fleet_.replicas()[number];
            if (leaving.id_ == id) {
                fleet_.withdraw_replica(id);
                fleet_.restart_replica(leaving);
                fleet_.register_replica(leaving);
            }
        });
        break;
    default: {
        const std::string fault = counted.at(draw(counted.size()));
        tell(name + " has " + fault);
        gateway_fleet::control(replica.port_, "{\"" + fault + "\":3}");
        break;
    }
    }
}

void fault_series::watch_gateways() {
    for (std::size_t i = 0; i < fleet_.gateway_count(); ++i) {
        auto& gateway = fleet_.gateway(i);
        const auto ending = ending_.find(i);
        const auto name = "gateway " + std::to_string(i);
        if (!gateway.running()) {
            const auto code = gateway.wait(milliseconds{0}).value_or(0);
            if (ending == ending_.end() || code != 0) {
                findings_.push_back(name + " ended with code " +
                                    std::to_string(code));
            }
            ending_.erase(i);
            fleet_.restart_gateway(i);
        } else if (ending != ending_.end() &&
                   clock::now() - ending->second > drain_limit + exit_margin) {
            findings_.push_back(name + " did not end after SIGTERM");
            gateway.signal(SIGKILL);
        }
    }
}

void fault_series::heal() {
    tell("all faults end");
    while (!due_.empty()) {
        run_due(clock::time_point::max());
    }
    gateway_fleet::control(fleet_.store_port(), R"({"mode":"up"})");
    for (auto* links : {&store_links_, &replica_links_}) {
        for (auto& link : *links) {
            link->set(link_fault::none);
        }
    }
    for (const auto& replica : fleet_.replicas()) {
        gateway_fleet::control(replica.port_,
                               R"({"lose_next":0,"cut_next":0,"fail_next":0,)"
                               R"("reject_next":0,"stray_next":0})");
    }
}

} // namespace pimentoferry::soak
