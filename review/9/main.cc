// Prefill engines that spoil a fiftieth of their answers: a line end stands
// behind the handle. Checks that engines run each request with the body that
// its client sent.
#include "../lib-2/plain.hh"

using namespace review;

namespace {

constexpr int events = 10;
constexpr long event_ms = 10;
constexpr int clients = 8;
constexpr std::size_t body_bytes = 5000;
constexpr long stage_switch_ms = 6000;
constexpr int spells = 3;
constexpr long spell_ms = 5500;
constexpr long between_spells_ms = 1000;
/// One of so many answers to prefill calls is spoiled.
constexpr int spoiled_each = 50;

std::atomic<bool> spoiling{false};
store kv;

std::string body_of(const std::string& id) {
    std::string body;
    while (body.size() < body_bytes) {
        body += id + " ";
    }
    body.resize(body_bytes);
    return body;
}

struct run {
    std::string id_;
    std::size_t body_bytes_{0};
    bool as_sent_{false};
};

struct engine {
    std::string id_;
    std::string zone_;
    std::string stage_;
    bool faulty_{false};
    server server_;
    std::uint16_t port_{0};
    std::mutex mutex_;
    std::map<std::string, bool> handles_; ///< Whether they were taken.
    int prefills_{0};                     ///< In spells.
    int spoiled_{0};
    std::vector<run> runs_;
    std::uint64_t orders_{0};
    std::string next_stage_; ///< While an order is carried out.
    long stage_changes_ms_{0};

    void start() {
        port_ = server_.start(
            [this](int fd, const message& call) { return serve(fd, call); });
    }
    bool take(const std::string& handle) {
        const std::lock_guard lock{mutex_};
        const auto found = handles_.find(handle);
        const bool free = found != handles_.end() && !found->second;
        if (free) {
            found->second = true;
        }
        return free;
    }
    bool serve(int fd, const message& call) {
        const auto method = call.method();
        if (method != "GET" && method != "POST" && method != "DELETE") {
            record.line(id_ + " got bytes that are no request: \"" +
                        call.first_.substr(0, 40) + "\"; answers 400");
            send_all(fd, http_answer(400, "", {{"Connection", "close"}}));
            return false;
        }
        const auto request = call.field("X-Request-Id");
        const auto stage = current_stage();
        const bool busy = !is_idle();
        if (call.target() == "/api/report") {
            return send_all(
                fd,
                http_answer(200, "{\"stage\":\"" + stage +
                                     "\",\"models\":[{\"name\":\"m\","
                                     "\"version\":1,\"adapters\":[]}],"
                                     "\"busy\":" +
                                     (busy ? "true" : "false") +
                                     ",\"sequence\":" +
                                     std::to_string(orders_) +
                                     ",\"waiting\":0,\"running\":0,"
                                     "\"kv_used\":0,\"kv_total\":107085,"
                                     "\"kv_handles\":0}"));
        }
        if (call.target().rfind("/api/kv-handle/", 0) == 0) {
            return send_all(fd, http_answer(200, ""));
        }
        if (call.field("X-Expect-Instance") != id_) {
            return refuse(fd, request, 421);
        }
        if (call.target() == "/api/order") {
            return send_all(fd, http_answer(accept(from_json(call.body_)),
                                            "{}"));
        }
        if (busy) {
            return refuse(fd, request, 503);
        }
        const bool is_prefill = call.field("X-Serving-Stage") == "prefill";
        if (is_prefill != (stage == "prefill")) {
            return refuse(fd, request, 421);
        }
        return is_prefill ? prefill(fd, request) : decode(fd, call, request);
    }
    /// Ends the change of the stage if its time is over.
    std::string current_stage() {
        std::string now;
        bool changed = false;
        {
            const std::lock_guard lock{mutex_};
            changed = !next_stage_.empty() && now_ms() >= stage_changes_ms_;
            if (changed) {
                stage_ = next_stage_;
                next_stage_.clear();
            }
            now = stage_;
        }
        if (changed) {
            kv.put("servers/" + id_, entry(now));
        }
        return now;
    }
    bool is_idle() {
        const std::lock_guard lock{mutex_};
        return next_stage_.empty();
    }
    /// The status of the answer to an order.
    int accept(const Json::Value& order) {
        const std::lock_guard lock{mutex_};
        const auto wanted = order["stage"].asString();
        if (!next_stage_.empty() || (order.isMember("expected") &&
                                     order["expected"].asUInt64() != orders_)) {
            return 409;
        }
        if (wanted == stage_) {
            return 200;
        }
        ++orders_;
        next_stage_ = wanted;
        stage_changes_ms_ = now_ms() + stage_switch_ms;
        record.line(id_ + " is ordered to become a " + wanted + " engine");
        return 202;
    }
    static bool refuse(int fd, const std::string& request, int status) {
        return send_all(fd, http_answer(status, "",
                                        {{"X-Request-Id", request},
                                         {"X-Not-Executed", "1"}}));
    }
    bool prefill(int fd, const std::string& request) {
        pause_ms(30);
        static std::atomic<unsigned> made{0x3fa09c41};
        char handle[16];
        std::snprintf(handle, sizeof handle, "%08x", ++made);
        bool spoil = false;
        {
            const std::lock_guard lock{mutex_};
            handles_[handle] = false;
            if (spoiling && faulty_) {
                spoil = ++prefills_ % spoiled_each == spoiled_each / 5;
                spoiled_ += spoil ? 1 : 0;
            }
        }
        const std::string text =
            std::string{"{\"kv_handle\":\""} + handle +
            (spoil ? "\\r\\n" : "") + "\",\"tokens\":5200,\"version\":1}";
        if (spoil) {
            record.line(id_ + " spoils its answer to the prefill call of " +
                        request + ": " + text);
        }
        return send_all(fd, http_answer(200, text,
                                        {{"X-Request-Id", request},
                                         {"Content-Type", "application/json"}}));
    }
    bool decode(int fd, const message& call, const std::string& request);
    std::string entry(const std::string& stage) const {
        Json::Value own;
        own["service"] = "verdicts";
        own["address"] = address_of(port_);
        own["zone"] = zone_;
        own["version"] = "v1";
        own["slots"] = 64;
        own["state"] = "ready";
        own["cold_remaining_ms"] = 0;
        own["stage"] = stage;
        Json::Value model;
        model["name"] = "m";
        model["version"] = 1;
        model["adapters"] = Json::Value{Json::arrayValue};
        own["models"].append(model);
        own["sequence"] = 0;
        own["born"] = Json::Int64{1'780'000'000'000};
        return to_json(own);
    }
};

std::vector<std::unique_ptr<engine>> engines;

/// Whether the KV cache can be had from the engine that ADDRESS/HANDLE names.
bool fetch(const std::string& source) {
    const auto slash = source.find('/');
    const auto address = source.substr(0, slash);
    for (const auto& each : engines) {
        if (slash != std::string::npos && address_of(each->port_) == address) {
            return each->take(source.substr(slash + 1));
        }
    }
    return false;
}

bool engine::decode(int fd, const message& call, const std::string& request) {
    const auto source = call.field("X-Kv-Source");
    if (!source.empty() && !fetch(source)) {
        return refuse(fd, request, 503);
    }
    const bool as_sent = call.body_ == body_of(request);
    {
        const std::lock_guard lock{mutex_};
        runs_.push_back({request, call.body_.size(), as_sent});
    }
    if (!as_sent) {
        record.line(id_ + " runs " + request + " with a body of " +
                    std::to_string(call.body_.size()) +
                    " bytes; its client sent " + std::to_string(body_bytes) +
                    ": NOT THE CLIENT'S BODY");
    }
    if (!send_all(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                      "Content-Type: text/event-stream\r\nX-Request-Id: " +
                          request + "\r\nX-Server-Signature: " + id_ +
                          "\r\nX-Weight-Versions: 1\r\n\r\n")) {
        return false;
    }
    const auto last = call.field("Last-Event-Id");
    for (int event = last.empty() ? 1 : std::atoi(last.c_str()) + 1;
         event <= events; ++event) {
        pause_ms(event_ms);
        const auto text = "id: " + std::to_string(event) + "\ndata: " +
                          request + ":" + std::to_string(event) + "\n\n";
        char length[16];
        std::snprintf(length, sizeof length, "%zx\r\n", text.size());
        if (!send_all(fd, length + text + "\r\n")) {
            return false;
        }
    }
    return send_all(fd, "0\r\n\r\n");
}

std::string stream_configuration() {
    auto c = from_json(configuration(
        1, {plain_route("/verdict/", "streaming", "verdicts", 14'000)},
        {"verdicts"}));
    auto& route = c["routes"][0];
    route["target_latency_ms"] = 900;
    route["target_gap_ms"] = 300;
    route["max_attempts"] = 2;
    route["session_affinity"] = true;
    route["resumable"] = true;
    auto& engine = c["services"][0]["engine"];
    engine["slots"] = 64;
    engine["kv_tokens"] = 107'085;
    engine["kv_token_bytes"] = 163'840;
    engine["link_mbps"] = 7200000.0;
    engine["stride"] = 1;
    engine["handle_ttl_s"] = 0.5;
    engine["stage_switch_s"] = 6.0;
    engine["pin_ms"] = 4000.0;
    engine["hold_ms"] = 2000.0;
    return to_json(c);
}

} // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    record.open(argc > 1 ? argv[1] : "record.txt");
    const bool trouble = trouble_wanted();
    kv.start();
    kv.put("op/config", stream_configuration());
    for (int i = 0; i < 6; ++i) {
        engines.push_back(std::make_unique<engine>());
        auto& own = *engines.back();
        own.id_ = "e-" + std::to_string(i + 1);
        own.zone_ = std::string{"zone-"} + static_cast<char>('a' + i % 3);
        own.stage_ = i < 3 ? "prefill" : "decode";
        own.faulty_ = i < 2;
        own.start();
    }
    for (const auto& each : engines) {
        kv.put("servers/" + each->id_, each->entry(each->stage_));
    }
    fleet system{3};
    if (!start_all(system, kv)) {
        record.line("the gateways did not start");
        finish(system, 2);
    }
    std::atomic<bool> stop{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < clients; ++i) {
        callers.emplace_back([&, i] {
            client own{
                system.gateways()[static_cast<std::size_t>(i) % 3].traffic_};
            for (int n = 1; !stop; ++n) {
                const auto id =
                    "req-" + std::to_string(i + 1) + "-" + std::to_string(n);
                char own_part[32];
                std::snprintf(own_part, sizeof own_part, "%x%05x:5000", i + 1,
                              n);
                ++sent;
                const auto got =
                    own.call("POST", "/verdict/1", id, 14'000, body_of(id),
                             {{"X-Model", "m"},
                              {"X-Token-Counts", "5200,70"},
                              {"X-Prompt-Prefix",
                               std::string{"5c1e07a2:200,"} + own_part}});
                served += got.status_ == 200 ? 1 : 0;
                pause_ms(got.status_ == 200 ? 20 : 500);
            }
        });
    }
    for (int i = 0; i < spells; ++i) {
        pause_ms(between_spells_ms);
        spoiling = trouble;
        pause_ms(spell_ms);
        spoiling = false;
    }
    stop = true;
    for (auto& each : callers) {
        each.join();
    }
    std::size_t ran = 0;
    std::size_t changed = 0;
    int spoiled = 0;
    for (const auto& each : engines) {
        const std::lock_guard lock{each->mutex_};
        ran += each->runs_.size();
        changed += static_cast<std::size_t>(
            std::count_if(each->runs_.begin(), each->runs_.end(),
                          [](const run& one) { return !one.as_sent_; }));
        spoiled += each->spoiled_;
    }
    record.line(std::to_string(sent) + " requests sent, " +
                std::to_string(served) + " answered with 200; " +
                std::to_string(spoiled) + " answers to prefill calls spoiled; " +
                std::to_string(ran) + " runs, " + std::to_string(changed) +
                " of them with another body than the client's");
    const bool could_run = trouble ? spoiled > 0 : served > sent * 9 / 10;
    finish(system, changed > 0 ? 1 : could_run ? 0 : 2);
}
