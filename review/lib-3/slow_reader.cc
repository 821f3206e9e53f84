// Case 11: clients that read slowly while their gateway stops as planned.
//
// Twelve clients send a stream request each to one gateway, over new
// connections that they keep. An answer takes about 1.4 s. One second
// later the gateway gets SIGTERM. In the test with trouble each client reads
// nothing for 5 s after its first event, and then goes on. Nobody else is
// disturbed.
#include "replicas.hh"

using namespace review;

namespace {

constexpr std::size_t clients = 12;
constexpr int small_window_bytes = 8192;
constexpr int unread_ms = 5000;
constexpr int grace_ms = 8000;
constexpr int deadline_ms = 14000;

struct outcome {
    std::string request_;
    std::string path_;
    std::string status_{"none"};
    int events_{0};
    bool complete_{false};
    bool reset_{false};
    clock::time_point ended_;
};

outcome read_stream(int port, const std::string& path, bool slow) {
    outcome got;
    got.request_ = new_id();
    got.path_ = path;
    conn peer{connect_to(port, small_window_bytes)};
    const auto until = clock::now() + ms{deadline_ms};
    peer.send(stream_request(path, got.request_));
    if (const auto head = peer.read_head(until)) {
        got.status_ = head->word(1);
    }
    bool paused = false;
    while (got.status_ == "200") {
        const auto chunk = peer.read_chunk(until);
        if (!chunk || chunk->empty()) {
            got.complete_ = chunk.has_value();
            got.reset_ = !chunk && peer.last_errno_ == ECONNRESET;
            break;
        }
        ++got.events_;
        if (slow && !std::exchange(paused, true)) {
            sleep_ms(unread_ms);
        }
    }
    got.ended_ = clock::now();
    return got;
}

} // namespace

int main(int, char** arguments) {
    const std::string record_path = arguments[1];
    const char* chosen = std::getenv("TROUBLE");
    const bool trouble = chosen == nullptr || std::string{chosen} != "0";
    store kept;
    fleet gateways{3};
    replica_set replicas{kept};
    kept.put("op/config", to_json(configuration(1)));
    replica_options engine;
    engine.events_ = 130;
    engine.event_ms_ = 10;
    engine.event_bytes_ = 380;
    add_lima(replicas, engine);
    for (std::size_t i = 0; i < gateways.size(); ++i) {
        gateways.write_settings(i, kept.port(), grace_ms / 1000.0);
        gateways[i].start();
    }
    if (!gateways.wait_ready()) {
        note("the gateways are not ready");
        finish(gateways, 2, record_path);
    }
    // No disruption for longer than stable_window_ms, and the engines have
    // their stages.
    sleep_ms(9000);
    std::vector<outcome> got(clients);
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < clients; ++i) {
        threads.emplace_back([&, i] {
            got[i] = read_stream(gateways[0].front_,
                                 i % 2 == 0 ? "/historia/1" : "/avaluo/1",
                                 trouble);
        });
    }
    note(std::to_string(clients) + " streams sent to " + gateways[0].name_);
    sleep_ms(1000);
    const auto stopped = clock::now();
    gateways[0].process_.signal(SIGTERM);
    note("SIGTERM to " + gateways[0].name_);
    for (auto& each : threads) {
        each.join();
    }
    int broken = 0;
    for (const auto& each : got) {
        const auto runs = replicas.runs().of(each.request_);
        const bool run_complete = !runs.empty() && runs.back().complete_;
        const auto after =
            std::chrono::duration_cast<ms>(each.ended_ - stopped).count();
        // The replica gave its whole answer, no deadline has passed, and the
        // span of the planned work has not ended.
        const bool lost = !each.complete_ && run_complete &&
                          after <= grace_ms + 1000;
        broken += lost ? 1 : 0;
        note("request " + each.request_ + " " + each.path_ + " status " +
             each.status_ + " events " + std::to_string(each.events_) +
             " of 130, " +
             (each.complete_ ? "complete"
              : each.reset_  ? "cut by a reset"
                             : "cut") +
             " " + std::to_string(after) + " ms after SIGTERM; runs " +
             std::to_string(runs.size()) + ", the last one " +
             (run_complete ? "answered whole" : "not answered whole") +
             (lost ? " LOST" : ""));
    }
    note(std::to_string(broken) + " of " + std::to_string(clients) +
         " answers that the replicas had given whole were lost");
    finish(gateways, broken > 0 ? 1 : 0, record_path);
}
