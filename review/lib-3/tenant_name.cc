// Case 13: a new version adds a tenant whose name has a space.
//
// Two gateways before three replicas of a plain service. The configuration has
// two tenants. A new version drops the key of the first one and adds a third
// tenant, whose name is "Club Quetzal", and in the test without trouble
// "club-quetzal". Five seconds later than its acknowledgement, requests with the
// dropped key must be refused, and those of the new tenant be served.
#include "replicas.hh"

using namespace review;

namespace {

constexpr int rounds = 20;
constexpr const char* dropped_key = "banfqasnmgkcuyj8pjbv";
constexpr const char* new_key = "kq7v2n0s8w4x1y6z3b5d";

Json::Value tenant(const std::string& name, const std::string& key) {
    Json::Value made;
    made["name"] = name;
    made["api_keys"].append(key);
    made["priority"] = 1;
    made["unit"] = "token_generation";
    made["plain_tokens"] = 200;
    made["requests_per_s"] = 479313;
    made["burst"] = 479313;
    return made;
}

struct told {
    std::string replica_;
    std::string tenant_;
};

struct counts {
    int sent_{0};
    int ran_{0};
    int refused_{0};
    int other_{0};
};

class requests {
public:
    explicit requests(fleet& gateways) : gateways_(gateways) {}
    void ran(const std::string& replica, const message& call) {
        const std::lock_guard guard{mutex_};
        runs_[call.field("X-Request-Id")] = {replica, call.field("X-Tenant")};
    }
    counts send(const std::string& key, const std::string& label) {
        counts found;
        for (int i = 0; i < rounds; ++i) {
            const auto id = new_id();
            conn peer{connect_to(
                gateways_[static_cast<std::size_t>(i) % 2].front_)};
            peer.send("POST /emite/" + std::to_string(i) +
                      " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " +
                      id + "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer " +
                      key + "\r\nX-Tenant: huka271\r\nContent-Length: 4\r\n\r\n" +
                      "book");
            const auto answer = peer.read(clock::now() + ms{3000});
            const int status = answer ? answer->status() : 0;
            ++found.sent_;
            found.refused_ += status == 401 ? 1 : 0;
            found.other_ += status != 401 && status != 200 ? 1 : 0;
            const std::lock_guard guard{mutex_};
            const auto run = runs_.find(id);
            found.ran_ += run != runs_.end() ? 1 : 0;
            if (i < 4) {
                note(label + ": request " + id + " of gateway " +
                     gateways_[static_cast<std::size_t>(i) % 2].name_ +
                     " answered " + std::to_string(status) +
                     (run != runs_.end()
                          ? ", ran at " + run->second.replica_ +
                                " with X-Tenant " + run->second.tenant_
                          : ", did not run"));
            }
        }
        note(label + ": " + std::to_string(found.sent_) + " sent, " +
             std::to_string(found.ran_) + " ran, " +
             std::to_string(found.refused_) + " answered 401, " +
             std::to_string(found.other_) + " answered otherwise");
        return found;
    }

private:
    fleet& gateways_;
    std::mutex mutex_;
    std::map<std::string, told> runs_;
};

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    store kept;
    fleet gateways{2};
    requests asked{gateways};
    replica_set replicas{kept};
    auto first = configuration(7);
    first["tenants"].append(tenant("huka270", "banfqasnmgkcuyj8pjbv"));
    first["tenants"].append(tenant("huka271", "c4h8m2p6r0t5v9x3z7b1"));
    kept.put("op/config", to_json(first));
    for (int i = 0; i < 3; ++i) {
        replica_options options;
        options.entry_.id_ = "i-p" + std::to_string(i);
        options.entry_.service_ = "cert-app";
        options.entry_.slots_ = 6;
        options.on_run_ = [&asked](const std::string& replica,
                                   const message& call) {
            asked.ran(replica, call);
        };
        replicas.add(options);
    }
    Json::Value quotas{Json::objectValue};
    quotas["quotas"]["window_s"] = 8.0;
    quotas["quotas"]["overage"] = 0.1;
    quotas["quotas"]["slack"] = 73000.0;
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways.write_settings(i, kept.port(), 8, quotas);
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    sleep_ms(8000);
    const auto before = asked.send(dropped_key, "version 7, key of huka270");
    auto next = configuration(9);
    const std::string name = trouble ? "Club Quetzal" : "club-quetzal";
    next["tenants"].append(first["tenants"][1]);
    next["tenants"].append(tenant(name, new_key));
    kept.put("op/config", to_json(next));
    note("version 9 acknowledged: huka270 is gone, " + name + " is new");
    sleep_ms(5000);
    const auto dropped = asked.send(dropped_key, "version 9, the dropped key");
    const auto added = asked.send(new_key, "version 9, the key of " + name);
    if (before.ran_ == 0) {
        note("the system did not serve as version 7 says");
        finish(gateways, 2, record_path);
    }
    note(std::to_string(dropped.ran_) + " requests ran with a dropped key, " +
         std::to_string(added.refused_) +
         " were answered 401 though their key is there");
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
    const bool broken = dropped.ran_ > 0 || added.refused_ > 0;
    finish(gateways, broken ? 1 : 0, record_path);
}
