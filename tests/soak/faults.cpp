#include "tests/soak/faults.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <iostream>
#include <numeric>
#include <thread>

namespace pimentoferry::soak {

using process_tests::gateway_fleet;

namespace {

using std::chrono::milliseconds;

constexpr milliseconds poll_interval{20};
// Bounds the drain of a gateway after SIGTERM, and the exit that follows it.
constexpr milliseconds drain_limit{4000};
constexpr milliseconds exit_margin{1000};
// The registration of a crashed replica expires after some heartbeats.
constexpr milliseconds registration_lapse{2000};
// The drain time of the platform: a draining replica serves for this long.
constexpr milliseconds replica_drain{2000};

} // namespace

fault_injector::fault_injector(
    gateway_fleet& fleet,
    std::vector<std::unique_ptr<loopback_proxy>>& store_links,
    std::vector<std::unique_ptr<loopback_proxy>>& replica_links,
    std::uint64_t seed)
    : fleet_(fleet), store_links_(store_links), replica_links_(replica_links),
      random_(seed), start_time_(clock::now()) {}

milliseconds fault_injector::random_duration(int least, int most) {
    return milliseconds{least + static_cast<int>(random_below(
                                    static_cast<std::size_t>(most - least)))};
}

void fault_injector::log_fault(const std::string& what) {
    const auto at =
        std::chrono::duration_cast<milliseconds>(clock::now() - start_time_);
    std::cout << "  " << at.count() << " ms " << what << '\n';
}

void fault_injector::schedule(milliseconds delay, std::function<void()> work) {
    scheduled_.emplace(clock::now() + delay, std::move(work));
}

void fault_injector::run_scheduled(clock::time_point now) {
    while (!scheduled_.empty() && scheduled_.begin()->first <= now) {
        const auto work = std::move(scheduled_.begin()->second);
        scheduled_.erase(scheduled_.begin());
        work();
    }
}

void fault_injector::run(milliseconds time) {
    const auto end = clock::now() + time;
    auto next = clock::now();
    while (clock::now() < end) {
        if (clock::now() >= next) {
            inject();
            next = clock::now() + random_duration(150, 900);
        }
        run_scheduled(clock::now());
        restart_exited_gateways();
        std::this_thread::sleep_for(poll_interval);
    }
}

void fault_injector::supervise_gateways(milliseconds time) {
    const auto end = clock::now() + time;
    while (clock::now() < end) {
        restart_exited_gateways();
        std::this_thread::sleep_for(poll_interval);
    }
}

void fault_injector::inject() {
    switch (random_below(4)) {
    case 0:
        inject_gateway_fault();
        break;
    case 1:
        inject_store_fault();
        break;
    case 2:
        inject_link_fault();
        break;
    default:
        inject_replica_fault();
        break;
    }
}

void fault_injector::inject_gateway_fault() {
    const auto number = random_below(fleet_.gateway_count());
    const auto name = "gateway " + std::to_string(number);
    if (terminating_.contains(number) || paused_[number]) {
        return;
    }
    switch (random_below(8)) {
    case 0:
        terminate_gateway(number);
        break;
    case 1:
        log_fault(name + " is killed");
        fleet_.gateway(number).signal(SIGKILL);
        fleet_.gateway(number).wait(drain_limit);
        fleet_.restart_gateway(number);
        note_disturbed(number);
        break;
    case 2:
        log_fault(name + " is paused");
        paused_[number] = true;
        fleet_.gateway(number).signal(SIGSTOP);
        schedule(random_duration(200, 4000), [this, number] {
            fleet_.gateway(number).signal(SIGCONT);
            paused_[number] = false;
            note_disturbed(number);
        });
        break;
    case 3:
        kill_all_gateways();
        break;
    case 4:
        isolate_gateway(number);
        break;
    case 5:
        leave_behind(number);
        break;
    case 6:
        terminate_all_gateways();
        break;
    default:
        log_fault(name + " reads its settings again");
        fleet_.gateway(number).signal(SIGHUP);
        break;
    }
}

// Cuts the gateway off from all replicas; another process of it is not.
void fault_injector::isolate_gateway(std::size_t number) {
    log_fault("gateway " + std::to_string(number) +
              " is cut off from all replicas");
    const auto process = fleet_.gateway(number).pid();
    const auto note = [this, number] {
        note_disturbed(number);
        for (std::size_t i = 0; i < replica_links_.size(); ++i) {
            note_harmed(i);
        }
    };
    note();
    std::ranges::for_each(replica_links_, [process](const auto& link) {
        link->set_for(process, link_fault::silent);
    });
    schedule(random_duration(1000, 5000), [this, note] {
        std::ranges::for_each(replica_links_, [](const auto& link) {
            link->set(link_fault::none);
            link->reset();
        });
        note();
    });
}

// A replica of another version serves while the gateway stands still without
// its store link. All that knew of it end.
void fault_injector::leave_behind(std::size_t number) {
    log_fault("gateway " + std::to_string(number) + " is left behind");
    paused_[number] = true;
    store_links_[number]->set(link_fault::silent);
    fleet_.gateway(number).signal(SIGSTOP);
    replace_replica(random_below(fleet_.replicas().size()));
    schedule(random_duration(200, 2000), [this, number] {
        kill_gateways([number](std::size_t each) { return each != number; });
        fleet_.gateway(number).signal(SIGCONT);
        paused_[number] = false;
        note_disturbed(number);
        schedule(random_duration(200, 5000), [this, number] {
            store_links_[number]->set(link_fault::none);
        });
    });
}

void fault_injector::terminate_gateway(std::size_t number) {
    if (terminating_.contains(number) || paused_[number]) {
        return;
    }
    log_fault("gateway " + std::to_string(number) + " gets SIGTERM");
    fleet_.gateway(number).signal(SIGTERM);
    terminating_[number] = clock::now();
}

// In a series the next one gets it before the drain of the one before ends.
void fault_injector::terminate_all_gateways() {
    const bool at_once = random_below(2) == 0;
    milliseconds delay{0};
    for (std::size_t i = 0; i < fleet_.gateway_count(); ++i) {
        schedule(delay, [this, i] { terminate_gateway(i); });
        delay += at_once ? milliseconds{0} : random_duration(50, 600);
    }
}

// Gateways that are paused or drain are killed, too.
void fault_injector::kill_all_gateways() {
    kill_gateways([](std::size_t) { return true; });
}

void fault_injector::kill_gateways(
    const std::function<bool(std::size_t gateway)>& chosen) {
    std::vector<std::size_t> numbers(fleet_.gateway_count());
    std::iota(numbers.begin(), numbers.end(), std::size_t{0});
    std::erase_if(numbers, [&](std::size_t each) { return !chosen(each); });
    log_fault(std::to_string(numbers.size()) + " gateways are killed");
    for (const auto i : numbers) {
        fleet_.gateway(i).signal(SIGKILL);
    }
    for (const auto i : numbers) {
        fleet_.gateway(i).wait(drain_limit);
        fleet_.restart_gateway(i);
        terminating_.erase(i);
        note_disturbed(i);
    }
}

void fault_injector::inject_store_fault() {
    static const std::array<const char*, 5> modes{"down", "silent", "slow",
                                                  "declining", "losing"};
    if (random_below(4) == 0) {
        log_fault(
            "the configuration changes and the store forgets its history");
        fleet_.put_configuration();
        gateway_fleet::control(fleet_.store_port(),
                               R"({"forget_history":true})");
        return;
    }
    const std::string mode = modes.at(random_below(modes.size()));
    log_fault("the store is " + mode);
    gateway_fleet::control(fleet_.store_port(), R"({"mode":")" + mode + "\"}");
    schedule(random_duration(300, 3000), [this] {
        gateway_fleet::control(fleet_.store_port(), R"({"mode":"up"})");
    });
}

void fault_injector::inject_link_fault() {
    static const std::array<link_fault, 5> faults{
        link_fault::delayed, link_fault::silent, link_fault::requests_lost,
        link_fault::responses_lost, link_fault::refusing};
    auto& links = random_below(2) == 0 ? store_links_ : replica_links_;
    const auto number = random_below(links.size());
    const bool to_store = &links == &store_links_;
    const std::string side = to_store ? "store" : "replica";
    const auto note = [this, number, to_store] {
        if (!to_store) {
            note_harmed(number);
        }
    };
    note();
    if (random_below(4) == 0) {
        log_fault("connections of " + side + " link " + std::to_string(number) +
                  " are reset");
        links[number]->reset();
        return;
    }
    if (random_below(4) == 0) {
        log_fault("answers of " + side + " link " + std::to_string(number) +
                  " are lost until its connections are reset");
        links[number]->set(link_fault::responses_lost);
        schedule(random_duration(50, 1500), [&links, number, note] {
            links[number]->reset();
            links[number]->set(link_fault::none);
            note();
        });
        return;
    }
    const auto fault = faults.at(random_below(faults.size()));
    log_fault(side + " link " + std::to_string(number) + " has fault " +
              std::to_string(static_cast<int>(fault)));
    links[number]->set(fault);
    schedule(random_duration(200, 2500), [&links, number, note] {
        links[number]->set(link_fault::none);
        note();
    });
}

void fault_injector::inject_replica_fault() {
    const auto number = random_below(fleet_.replicas().size());
    const auto name = "replica " + fleet_.replicas()[number].id_;
    switch (random_below(8)) {
    case 0:
        log_fault(name + " is killed and comes back under another id");
        replace_replica(number);
        break;
    case 1:
        log_fault(name + " drains");
        fleet_.register_replica(fleet_.replicas()[number], "draining");
        schedule(replica_drain,
                 [this, number, id = fleet_.replicas()[number].id_] {
                     if (fleet_.replicas()[number].id_ == id) {
                         fleet_.withdraw_replica(id);
                         replace_replica(number);
                     }
                 });
        break;
    case 2:
        pause_replica(number);
        break;
    case 3:
        make_replica_leave(number);
        break;
    case 4:
        exchange_addresses();
        break;
    default:
        make_replica_misbehave(number);
        break;
    }
}

// The registration of the replica that ends lapses later.
void fault_injector::replace_replica(std::size_t number) {
    auto& replica = fleet_.replicas()[number];
    const auto before = replica.id_;
    replica.process_.signal(SIGKILL);
    fleet_.restart_replica(replica);
    fleet_.register_replica(replica);
    // Requests for the earlier id are rejected at the address that both have.
    if (random_below(2) == 0) {
        repeat_rejections(replica.port_);
    }
    schedule(registration_lapse,
             [this, before] { fleet_.withdraw_replica(before); });
}

void fault_injector::make_replica_misbehave(std::size_t number) {
    static const std::array<const char*, 8> counted{
        "lose_next",  "cut_next",    "fail_next",     "reject_next",
        "stray_next", "repeat_next", "cut_head_next", "unframed_next"};
    const auto& replica = fleet_.replicas()[number];
    if (paused_replicas_.contains(replica.id_)) {
        return;
    }
    const std::string fault = counted.at(random_below(counted.size()));
    log_fault("replica " + replica.id_ + " has " + fault);
    // A rejection is repeated only after there was one.
    const std::string before = fault == "repeat_next"
                                   ? R"("reject_next":2,"repeat_without_id":)" +
                                         std::to_string(random_below(2)) + ","
                               : fault == "reject_next" && random_below(2) == 0
                                   ? R"("retry_after":"1.5",)"
                                   : R"("retry_after":"",)";
    gateway_fleet::control(replica.port_,
                           "{" + before + "\"" + fault + "\":3}");
}

void fault_injector::repeat_rejections(std::uint16_t port) {
    static const std::array<const char*, 3> moments{"before", "after",
                                                    "rejection"};
    gateway_fleet::control(
        port, R"({"repeat_next":20,"repeat_without_id":0,)"
              R"("repeat_when":")" +
                  std::string{moments.at(random_below(moments.size()))} +
                  "\"}");
}

void fault_injector::pause_replica(std::size_t number) {
    auto& replica = fleet_.replicas()[number];
    if (!paused_replicas_.insert(replica.id_).second) {
        return;
    }
    log_fault("replica " + replica.id_ + " is paused");
    replica.process_.signal(SIGSTOP);
    note_harmed(number);
    schedule(random_duration(200, 4000), [this, number, id = replica.id_] {
        paused_replicas_.erase(id);
        harmed_.emplace(id, clock::now());
        if (fleet_.replicas()[number].id_ == id) {
            fleet_.replicas()[number].process_.signal(SIGCONT);
        }
    });
}

// The store may be away, so the replica says so in its answers, too.
void fault_injector::make_replica_leave(std::size_t number) {
    const auto& replica = fleet_.replicas()[number];
    if (paused_replicas_.contains(replica.id_)) {
        return;
    }
    log_fault("replica " + replica.id_ + " leaves and says so");
    gateway_fleet::control(replica.port_, R"({"leaving":"1"})");
    const bool registers = random_below(2) == 0;
    if (registers) {
        fleet_.register_replica(replica, "draining");
    }
    const auto lingers =
        registers ? random_duration(0, 1500) : random_duration(1000, 4000);
    schedule(replica_drain + lingers, [this, number, id = replica.id_] {
        if (fleet_.replicas()[number].id_ == id) {
            replace_replica(number);
        }
    });
}

// Two replicas end, and each address is used by one of the other kind.
void fault_injector::exchange_addresses() {
    const auto first = random_below(fleet_.replicas().size());
    const auto second = random_below(fleet_.replicas().size());
    auto& one = fleet_.replicas()[first];
    auto& other = fleet_.replicas()[second];
    if (one.stage_ == other.stage_) {
        return;
    }
    log_fault("replicas " + one.id_ + " and " + other.id_ +
              " end and their addresses are exchanged");
    std::swap(one.stage_, other.stage_);
    replace_replica(first);
    replace_replica(second);
}

void fault_injector::note_harmed(std::size_t replica) {
    harmed_.emplace(fleet_.replicas().at(replica).id_, clock::now());
}

void fault_injector::note_disturbed(std::size_t gateway) {
    disturbed_.emplace(fleet_.ports(gateway).traffic_, clock::now());
}

void fault_injector::restart_exited_gateways() {
    for (std::size_t i = 0; i < fleet_.gateway_count(); ++i) {
        auto& gateway = fleet_.gateway(i);
        const auto terminating = terminating_.find(i);
        const auto name = "gateway " + std::to_string(i);
        if (!gateway.running()) {
            const auto code = gateway.wait(milliseconds{0}).value_or(0);
            if (terminating == terminating_.end() || code != 0) {
                violations_.push_back(name + " ended with code " +
                                      std::to_string(code));
            }
            terminating_.erase(i);
            fleet_.restart_gateway(i);
            note_disturbed(i);
        } else if (terminating != terminating_.end() &&
                   clock::now() - terminating->second >
                       drain_limit + exit_margin) {
            violations_.push_back(name + " did not end after SIGTERM");
            gateway.signal(SIGKILL);
        }
    }
}

void fault_injector::clear_faults() {
    log_fault("all faults end");
    while (!scheduled_.empty()) {
        run_scheduled(clock::time_point::max());
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
                               R"("reject_next":0,"stray_next":0,)"
                               R"("repeat_next":0,"cut_head_next":0,)"
                               R"("unframed_next":0,"leaving":""})");
    }
}

} // namespace pimentoferry::soak
