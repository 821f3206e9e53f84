// Case 11: the operator takes all keys away by a version without tenants.
//
// Two gateways before three replicas of a plain service. The configuration has
// two tenants. Clients with a key that no configuration ever held ask all the
// time, and name another tenant in `X-Tenant`. Then a new version comes whose
// list of tenants is empty, and in the test without trouble one in which the
// first tenant is gone and the second one stays. Five seconds later than its
// acknowledgement, requests with the unknown key must still be refused.
#include "replicas.hh"

using namespace review;

namespace {

constexpr int rounds = 20;
constexpr const char* unknown_key = "kq7v2n0s8w4x1y6z3b5d";

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
    const auto served =
        asked.send("c4h8m2p6r0t5v9x3z7b1", "version 7, a key of huka271");
    const auto before = asked.send(unknown_key, "version 7, an unknown key");
    auto next = configuration(9);
    next["tenants"] = Json::Value{Json::arrayValue};
    if (!trouble) {
        next["tenants"].append(first["tenants"][1]);
    }
    kept.put("op/config", to_json(next));
    note(trouble ? "version 9 acknowledged: tenants is an empty list"
                 : "version 9 acknowledged: huka270 is gone");
    sleep_ms(5000);
    const auto after = asked.send(unknown_key, "version 9, an unknown key");
    if (served.ran_ == 0 || before.ran_ > 0) {
        note("the system did not serve as version 7 says");
        finish(gateways, 2, record_path);
    }
    note(std::to_string(after.ran_) +
         " requests ran whose key no configuration ever held");
    finish(gateways, after.ran_ > 0 ? 1 : 0, record_path);
}
