// The configuration and the entries that the scripts write to the store.
#pragma once

#include "world.hh"

namespace world {

struct route_entry {
    std::string name, kind, service;
    int timeout_ms = 1000, target_latency_ms = 100;
    std::string more{}; ///< Further fields, with a comma before each.
};

/// A configuration as `op/config` holds it. Routes have the path `/NAME/` and
/// the host h.example.
inline std::string configuration(int version,
                                 const std::vector<route_entry>& routes) {
    std::string text =
        "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    bool first = true;
    for (const auto& r : routes) {
        text += (first ? "{\"name\":\"" : ",{\"name\":\"") + r.name +
                "\",\"host\":\"h.example\",\"path_prefix\":\"/" + r.name +
                "/\",\"kind\":\"" + r.kind + "\",\"service\":\"" + r.service +
                "\",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
                ",\"target_latency_ms\":" +
                std::to_string(r.target_latency_ms) +
                ",\"max_attempts\":" + (r.kind == "safe" ? "2" : "1") +
                ",\"priority\":2" + r.more + "}";
        first = false;
    }
    return text +
           "],\"services\":[{\"name\":\"desk\",\"health_check_path\":"
           "\"/health\",\"max_connections\":110},{\"name\":\"lm\","
           "\"health_check_path\":\"/health\",\"max_connections\":370,"
           "\"engine\":{\"slots\":64,\"kv_tokens\":107754,\"kv_token_bytes\":"
           "163840,\"stride\":1,\"handle_ttl_s\":0.5,\"stage_switch_s\":6,"
           "\"hold_ms\":2000}}],\"limits\":{\"header_bytes\":16384,"
           "\"body_bytes\":4194304,\"header_timeout_ms\":5000,"
           "\"idle_timeout_ms\":10000}}";
}

inline const std::vector<route_entry>& plain_routes() {
    static const std::vector<route_entry> routes{{"read", "safe", "desk"},
                                                 {"book", "unsafe", "desk"}};
    return routes;
}

inline std::string signature_of(const std::string& id) {
    return "3e1b.07.5a2.600.0." + id;
}

/// A replica of a plain service with `slots` places; other calls wait. `ran`
/// is told each call that it runs.
class plain_replica {
public:
    plain_replica(int slots, long work_ms, std::function<void(const message&)> ran)
        : free_(slots), work_ms_(work_ms), ran_(std::move(ran)),
          server_([this](connection& c) { serve(c); }) {}
    int port() const { return server_.port(); }

private:
    void serve(connection& c) {
        while (true) {
            const auto call = c.read(60000, false);
            if (!call.complete) {
                return;
            }
            const auto id = call.get("X-Request-Id");
            if (id.empty()) {
                c.send(answer(400, {{"X-Not-Executed", "1"}}, ""));
                continue;
            }
            {
                std::unique_lock lock{mutex_};
                changed_.wait(lock, [this] { return free_ > 0; });
                --free_;
            }
            ran_(call);
            sleep_ms(work_ms_);
            {
                const std::lock_guard lock{mutex_};
                ++free_;
            }
            changed_.notify_one();
            if (!c.send(answer(200,
                               {{"X-Request-Id", id},
                                {"X-Server-Signature", signature_of(id)}},
                               "done " + id))) {
                return;
            }
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    int free_;
    long work_ms_;
    std::function<void(const message&)> ran_;
    server server_;
};

} // namespace world
