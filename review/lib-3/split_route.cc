// Case 12: streams of a route that is split over three services, two software versions
// of each. One of six gateways is killed while it relays streams. Their clients
// take them up again at the other gateways, once each, as the sheet says.
#include "replicas.hh"

using namespace review;

namespace {

constexpr std::size_t streams = 36;
constexpr int events = 70;
constexpr int deadline_ms = 14000;
const std::vector<std::string> services{"peritaje-a", "peritaje-b",
                                        "peritaje-c"};

struct taken {
    std::string request_;
    std::string version_;
    std::string replica_;
    int events_{0};
    bool complete_{false};
    int status_{0};
    std::string retry_after_;
};

/// Reads a stream until it ends, breaks off or has been refused.
taken read_stream(int port, const std::string& extra, clock::time_point until) {
    taken got;
    got.request_ = new_id();
    conn peer{connect_to(port)};
    if (peer.fd() < 0 ||
        !peer.send(stream_request("/avaluo/1", got.request_, extra))) {
        return got;
    }
    const auto head = peer.read_head(until);
    if (!head) {
        return got;
    }
    got.status_ = head->status();
    got.retry_after_ = head->field("Retry-After");
    got.replica_ = head->field("X-Server-Signature");
    while (got.status_ == 200) {
        const auto chunk = peer.read_chunk(until);
        if (!chunk || chunk->empty()) {
            got.complete_ = chunk.has_value();
            break;
        }
        // Events may come together in one chunk.
        for (auto at = chunk->find("id: "); at != std::string::npos;
             at = chunk->find("id: ", at + 1)) {
            got.events_ = std::atoi(chunk->c_str() + at + 4);
        }
    }
    return got;
}

Json::Value split_configuration(bool is_split) {
    auto made = configuration(7);
    Json::Value engine = made["services"][0];
    made["services"] = Json::Value{Json::arrayValue};
    auto& route = made["routes"][0];
    route.removeMember("service");
    for (const auto& name : services) {
        engine["name"] = name;
        made["services"].append(engine);
        Json::Value share;
        share["service"] = name;
        share["weight"] = 33;
        if (is_split || name == services[0]) {
            route["traffic_split"].append(share);
        }
    }
    made["routes"][1]["service"] = services[0];
    Json::Value plain;
    plain["name"] = "cert-app";
    made["services"].append(plain);
    return made;
}

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    // SPLIT=0 in the environment: the same kill, with one service that has all
    // engines, to see what
    // the split does.
    const char* split = std::getenv("SPLIT");
    const bool is_split = split == nullptr || std::string{split} != "0";
    store kept;
    fleet gateways{6};
    replica_set replicas{kept};
    kept.put("op/config", to_json(split_configuration(is_split)));
    for (const auto& service : services) {
        for (int i = 0; i < 6; ++i) {
            replica_options engine;
            engine.entry_.id_ = "i-" + service.substr(9) + std::to_string(i);
            engine.entry_.service_ = is_split ? service : services[0];
            engine.entry_.stage_ = i < 2 ? "prefill" : "decode";
            engine.entry_.version_ = i % 2 == 0 ? "v1" : "v2";
            engine.work_ms_ = i < 2 ? 40 : 0;
            engine.events_ = events;
            engine.event_ms_ = 60;
            replicas.add(engine);
        }
    }
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways.write_settings(i, kept.port());
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    sleep_ms(12000);
    const auto until = clock::now() + ms{deadline_ms};
    std::vector<taken> first(streams);
    std::vector<taken> again(streams);
    std::vector<taken> fresh(streams);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < streams; ++i) {
        threads.emplace_back([&, i] {
            sleep_ms(static_cast<int>(i) * 15);
            first[i] = read_stream(gateways[0].front_, "", until);
            const auto& begun = first[i];
            if (begun.complete_ || begun.events_ == 0) {
                return;
            }
            again[i] = read_stream(
                gateways[1 + i % 5].front_,
                "Last-Event-Id: " + std::to_string(begun.events_) +
                    "\r\nResumes: " + begun.request_ + "\r\n",
                until);
        });
    }
    // Longer than it takes until the store knows the streams.
    sleep_ms(2500);
    if (trouble) {
        gateways[0].process_.kill_and_wait();
        note("SIGKILL to " + gateways[0].name_);
    }
    for (std::size_t i = 0; i < streams; ++i) {
        threads.emplace_back([&, i] {
            fresh[i] = read_stream(gateways[1 + i % 5].front_, "", until);
        });
    }
    for (auto& each : threads) {
        each.join();
    }
    int broken_off = 0;
    int went_on = 0;
    int began = 0;
    for (std::size_t i = 0; i < streams; ++i) {
        began += fresh[i].events_ > 0 ? 1 : 0;
        if (again[i].request_.empty()) {
            continue;
        }
        ++broken_off;
        went_on += again[i].events_ > first[i].events_ ? 1 : 0;
        note("stream " + first[i].request_ + " begun by " + first[i].replica_ +
             ", " + std::to_string(first[i].events_) + " events; taken up by " +
             again[i].request_ + ": status " +
             std::to_string(again[i].status_) +
             (again[i].events_ > first[i].events_
                  ? ", went on to event " + std::to_string(again[i].events_) +
                        (again[i].complete_ ? ", complete" : "")
                  : ", Retry-After '" + again[i].retry_after_ + "'"));
    }
    note(std::to_string(broken_off) + " streams taken up again, " +
         std::to_string(went_on) + " went on; of " + std::to_string(streams) +
         " new ones " + std::to_string(began) + " began");
    if (trouble && (broken_off < 12 || began == 0)) {
        finish(gateways, 2, record_path);
    }
    const double share =
        broken_off > 0 ? static_cast<double>(went_on) / broken_off : 1;
    const double share_of_new = static_cast<double>(began) / streams;
    finish(gateways, share < share_of_new / 2 ? 1 : 0, record_path);
}
