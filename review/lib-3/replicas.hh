// Sound replicas of the platform: a plain service, and engines in the prefill
// or the decode stage.
#ifndef REVIEW_3_REPLICAS_HH
#define REVIEW_3_REPLICAS_HH

#include "harness.hh"

namespace review {

/// One run of a request at a replica.
struct run {
    std::string replica_;
    std::string version_;
    clock::time_point began_;
    bool complete_{false};
};

/// All runs and rejections, by the request's id.
class run_table {
public:
    std::size_t began(const std::string& request,
                      const std::string& replica,
                      const std::string& version) {
        const std::lock_guard guard{mutex_};
        runs_[request].push_back({replica, version, clock::now(), false});
        return runs_[request].size() - 1;
    }
    void ended(const std::string& request, std::size_t number) {
        const std::lock_guard guard{mutex_};
        runs_[request][number].complete_ = true;
    }
    std::vector<run> of(const std::string& request) {
        const std::lock_guard guard{mutex_};
        return runs_[request];
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<run>> runs_;
};

struct replica_options {
    entry entry_;
    int work_ms_{15};        ///< Of a plain call, or of a prefill.
    int events_{70};         ///< Of a stream.
    int event_ms_{10};       ///< Between two events.
    int event_bytes_{300};   ///< Of the data of an event.
    int plain_bytes_{800};
    /// Called when a request begins to run.
    std::function<void(const std::string& replica, const message&)> on_run_;
};

class replica {
public:
    replica(replica_options options, run_table& runs)
        : options_(std::move(options)), runs_(runs),
          listener_([this](conn& peer) { serve(peer); }) {
        options_.entry_.port_ = listener_.port();
    }
    const entry& own() const { return options_.entry_; }
    std::string text(const std::string& state) {
        return options_.entry_.text(state, ++beats_);
    }
    int port() const { return listener_.port(); }
    /// The process ends: connections are cut, and no new one is accepted.
    void crash() {
        crashed_ = true;
        listener_.stop();
    }
    bool crashed() const { return crashed_; }
    std::string state_{"ready"};
    /// What every answer says besides.
    std::string extra_fields_;

private:
    void serve(conn& peer) {
        while (!crashed_) {
            const auto call =
                peer.read(clock::now() + std::chrono::seconds{30});
            if (!call || !handle(peer, *call)) {
                return;
            }
        }
    }
    bool handle(conn& peer, const message& call) {
        const auto path = call.path();
        const auto id = call.field("X-Request-Id");
        const auto named =
            (id.empty() ? "" : "X-Request-Id: " + id + "\r\n") + extra_fields_;
        const auto expected = call.field("X-Expect-Instance");
        if (path == "/health") {
            return peer.send(response(
                200, "X-Instance-Id: " + options_.entry_.id_ + "\r\n", ""));
        }
        if (path.starts_with("/api/kv-handle/")) {
            return peer.send(response(200, "", "{}"));
        }
        if (!expected.empty() && expected != options_.entry_.id_) {
            return peer.send(response(421, named + "X-Not-Executed: 1\r\n", ""));
        }
        if (path == "/api/report") {
            Json::Value body;
            body["stage"] = options_.entry_.stage_;
            body["busy"] = false;
            body["sequence"] = sequence_.load();
            body["born"] = static_cast<Json::Int64>(options_.entry_.born_);
            return peer.send(response(
                200, "Content-Type: application/json\r\n", to_json(body)));
        }
        if (path == "/api/order") {
            return order(peer, call);
        }
        const bool prefills = call.field("X-Serving-Stage") == "prefill";
        if (!options_.entry_.stage_.empty() &&
            prefills != (options_.entry_.stage_ == "prefill")) {
            return peer.send(response(421, named + "X-Not-Executed: 1\r\n", ""));
        }
        if (running_ >= options_.entry_.slots_) {
            return peer.send(response(503, named + "X-Not-Executed: 1\r\n", ""));
        }
        if (prefills) {
            return prefill(peer, named);
        }
        return work(peer, call, id, named);
    }
    bool order(conn& peer, const message& call) {
        const auto asked = from_json(call.body_);
        note("order at " + options_.entry_.id_ + " from " +
             asked["holder"].asString() + " token " +
             asked["fencing_token"].asString());
        if (asked["expected"].asInt() != sequence_) {
            return peer.send(response(409, "", "{}"));
        }
        ++sequence_;
        options_.entry_.stage_ = asked["stage"].asString();
        return peer.send(response(202, "", "{}"));
    }
    bool prefill(conn& peer, const std::string& named) {
        sleep_ms(options_.work_ms_);
        Json::Value body;
        body["kv_handle"] = options_.entry_.id_.substr(2) + "h" +
                            std::to_string(++handles_);
        body["tokens"] = 5000;
        body["version"] = 1;
        return peer.send(response(
            200, named + "Content-Type: application/json\r\n", to_json(body)));
    }
    bool work(conn& peer,
              const message& call,
              const std::string& id,
              const std::string& named) {
        ++running_;
        const auto number =
            runs_.began(id, options_.entry_.id_, options_.entry_.version_);
        if (options_.on_run_) {
            options_.on_run_(options_.entry_.id_, call);
        }
        const auto signature =
            "X-Server-Signature: sig-" + options_.entry_.id_ + "\r\n";
        bool sent = false;
        if (options_.entry_.stage_.empty()) {
            sleep_ms(options_.work_ms_);
            sent = !crashed_ &&
                   peer.send(response(200, named + signature,
                                      std::string(options_.plain_bytes_, 'p')));
        } else {
            sent = stream(peer, call, named + signature);
        }
        --running_;
        if (sent) {
            runs_.ended(id, number);
        }
        return sent;
    }
    bool stream(conn& peer, const message& call, const std::string& fields) {
        bool sent = peer.send("HTTP/1.1 200 OK\r\n" + fields +
                              "Content-Type: text/event-stream\r\n"
                              "X-Weight-Versions: 1\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n");
        const auto last = call.field("Last-Event-Id");
        int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
        for (; sent && event <= options_.events_; ++event) {
            const auto text =
                "id: " + std::to_string(event) + "\ndata: " +
                options_.entry_.version_ + " " +
                std::string(static_cast<std::size_t>(options_.event_bytes_),
                            'e') +
                "\n\n";
            char size[20];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            sent = !crashed_ && peer.send(size + text + "\r\n");
            if (options_.event_ms_ > 0) {
                sleep_ms(options_.event_ms_);
            }
        }
        return sent && peer.send("0\r\n\r\n");
    }

    replica_options options_;
    run_table& runs_;
    std::atomic<bool> crashed_{false};
    std::atomic<int> running_{0};
    std::atomic<int> sequence_{0};
    std::atomic<int> handles_{0};
    std::atomic<int> beats_{0};
    listener listener_;
};

/// All replicas, which write to the store every 1,200 ms.
class replica_set {
public:
    explicit replica_set(store& kept) : store_(kept) {
        beats_ = std::thread{[this] {
            while (!ended_) {
                beat();
                for (int i = 0; i < 24 && !ended_; ++i) {
                    sleep_ms(50);
                }
            }
        }};
    }
    ~replica_set() {
        ended_ = true;
        beats_.join();
        for (auto& each : all_) {
            each->crash();
        }
        sleep_ms(200);
    }
    replica& add(replica_options options) {
        auto made = std::make_unique<replica>(std::move(options), runs_);
        const std::lock_guard guard{mutex_};
        all_.push_back(std::move(made));
        store_.put("servers/" + all_.back()->own().id_,
                   all_.back()->text("ready"));
        return *all_.back();
    }
    run_table& runs() { return runs_; }
    std::vector<std::unique_ptr<replica>>& all() { return all_; }

private:
    void beat() {
        const std::lock_guard guard{mutex_};
        for (auto& each : all_) {
            if (!each->crashed() && each->state_ != "gone") {
                store_.put("servers/" + each->own().id_,
                           each->text(each->state_));
            }
        }
    }
    store& store_;
    run_table runs_;
    std::mutex mutex_;
    std::vector<std::unique_ptr<replica>> all_;
    std::thread beats_;
    std::atomic<bool> ended_{false};
};

/// The replicas of abp-lima: 9 engines and 3 of the plain service.
inline void add_lima(replica_set& replicas,
                     replica_options engine = {},
                     int prefill_engines = 4,
                     int engines = 9) {
    const std::vector<std::string> zones{"zona-norte", "zona-centro",
                                         "zona-sur"};
    for (int i = 0; i < engines; ++i) {
        auto options = engine;
        options.entry_.id_ = "i-e" + std::to_string(i);
        options.entry_.service_ = "peritaje-lm";
        options.entry_.zone_ = zones[static_cast<std::size_t>(i) % 3];
        options.entry_.stage_ = i < prefill_engines ? "prefill" : "decode";
        options.work_ms_ = 90;
        replicas.add(options);
    }
    for (int i = 0; i < 3; ++i) {
        replica_options options;
        options.entry_.id_ = "i-p" + std::to_string(i);
        options.entry_.service_ = "cert-app";
        options.entry_.zone_ = zones[static_cast<std::size_t>(i)];
        options.entry_.slots_ = 6;
        replicas.add(options);
    }
}

/// The head of a stream request with a deadline of 14 s.
inline std::string stream_request(const std::string& path,
                                  const std::string& id,
                                  const std::string& extra = "") {
    const std::string body(5000, 'q');
    return "POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\n" +
           "X-Request-Id: " + id + "\r\nX-Model: m\r\n" +
           "X-Token-Counts: 5200,5040\r\n" +
           "X-Prompt-Prefix: 5c1e07a2:200," + id.substr(0, 8) + ":5000\r\n" +
           "X-Deadline-Ms: 14000\r\n" + extra +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string plain_request(const std::string& method,
                                 const std::string& path,
                                 const std::string& id,
                                 int deadline_ms,
                                 const std::string& body) {
    return method + " " + path +
           " HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + std::to_string(deadline_ms) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
}

inline std::string new_id() {
    static std::atomic<std::uint64_t> next{
        static_cast<std::uint64_t>(unix_ms()) << 16U};
    char text[20];
    std::snprintf(text, sizeof text, "%016llx",
                  static_cast<unsigned long long>(
                      (++next) * 0x9E3779B97F4A7C15ULL));
    return text;
}

} // namespace review

#endif
