// Case 14: a new version splits a route by weights that are no whole numbers.
//
// Two gateways before replicas of two plain services. Version 9 sends a half per
// cent of the route /emite/ to a second service, and drops the route /lee/. In
// the test with trouble the weights are 99.5 and 0.5, else 199 and 1. Five
// seconds later than its acknowledgement the dropped route must be refused.
#include "replicas.hh"

using namespace review;

namespace {

constexpr int rounds = 20;

struct counts {
    int ran_{0};
    int refused_{0};
};

counts send(fleet& gateways,
            run_table& runs,
            const std::string& method,
            const std::string& path,
            const std::string& label) {
    counts found;
    for (int i = 0; i < rounds; ++i) {
        const auto id = new_id();
        auto& gateway = gateways[static_cast<std::size_t>(i) % 2];
        conn peer{connect_to(gateway.front_)};
        peer.send(plain_request(method, path + std::to_string(i), id, 1000,
                                method == "GET" ? "" : "certificate"));
        const auto answer = peer.read(clock::now() + ms{3000});
        const int status = answer ? answer->status() : 0;
        const auto all = runs.of(id);
        found.ran_ += all.empty() ? 0 : 1;
        found.refused_ += status == 404 ? 1 : 0;
        if (i < 4) {
            note(label + ": request " + id + " of " + gateway.name_ +
                 " answered " + std::to_string(status) +
                 (all.empty() ? ", did not run"
                              : ", ran at " + all.front().replica_));
        }
    }
    note(label + ": " + std::to_string(rounds) + " sent, " +
         std::to_string(found.ran_) + " ran, " +
         std::to_string(found.refused_) + " answered 404");
    return found;
}

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    store kept;
    fleet gateways{2};
    replica_set replicas{kept};
    kept.put("op/config", to_json(configuration(7)));
    for (int i = 0; i < 4; ++i) {
        replica_options options;
        options.entry_.id_ = "i-p" + std::to_string(i);
        options.entry_.service_ = i < 3 ? "cert-app" : "cert-app-next";
        options.entry_.slots_ = 6;
        replicas.add(options);
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways.write_settings(i, kept.port());
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    sleep_ms(8000);
    auto& runs = replicas.runs();
    const auto before = send(gateways, runs, "GET", "/lee/", "version 7, /lee/");
    auto next = configuration(9);
    auto& routes = next["routes"];
    auto& split = routes[2];
    split.removeMember("service");
    const std::vector<std::pair<std::string, double>> weights{
        {"cert-app", trouble ? 99.5 : 199}, {"cert-app-next", trouble ? 0.5 : 1}};
    for (const auto& [name, weight] : weights) {
        Json::Value share;
        share["service"] = name;
        share["weight"] = trouble ? Json::Value{weight}
                                  : Json::Value{static_cast<int>(weight)};
        split["traffic_split"].append(share);
    }
    Json::Value added;
    added["name"] = "cert-app-next";
    added["health_check_path"] = "/health";
    added["max_connections"] = 110;
    next["services"].append(added);
    Json::Value dropped;
    routes.removeIndex(3, &dropped);
    kept.put("op/config", to_json(next));
    note("version 9 acknowledged: /lee/ is dropped, /emite/ is split " +
         std::string{trouble ? "99.5 to 0.5" : "199 to 1"});
    sleep_ms(5000);
    const auto after = send(gateways, runs, "GET", "/lee/", "version 9, /lee/");
    send(gateways, runs, "POST", "/emite/", "version 9, /emite/");
    // No part of the check: what a planned restart makes of it.
    gateways[1].process_.signal(SIGTERM);
    for (int i = 0; i < 90 && gateways[1].process_.running(); ++i) {
        sleep_ms(100);
    }
    gateways[1].process_.kill_and_wait();
    gateways[1].start();
    sleep_ms(8000);
    note(gateways[1].name_ + " 8 s after a planned restart: " +
         (gateways[1].is_ready() ? "ready" : "not ready"));
    if (before.ran_ == 0) {
        note("the system did not serve as version 7 says");
        finish(gateways, 2, record_path);
    }
    note(std::to_string(after.ran_) + " requests ran on a dropped route");
    finish(gateways, after.ran_ > 0 ? 1 : 0, record_path);
}
